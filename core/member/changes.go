package member

import "container/list"

type (
	// changeQueue holds the keys of the records that still have to be pushed, in levels by the
	// number of remaining pushes. Records with the fewest pushes so far go first, even while very
	// many records change.
	changeQueue struct {
		levels []*list.List // of *change, by remaining pushes
		byKey  map[string]*list.Element
	}

	change struct {
		key       string
		remaining int // number of pushes
	}
)

func newChangeQueue() changeQueue { return changeQueue{byKey: map[string]*list.Element{}} }

func (c *changeQueue) len() int { return len(c.byKey) }

// put sets the number of pushes that remain for a key.
func (c *changeQueue) put(key string, n int) {
	c.remove(key)
	for len(c.levels) <= n {
		c.levels = append(c.levels, list.New())
	}
	c.byKey[key] = c.levels[n].PushBack(&change{key: key, remaining: n})
}

// take removes and returns the key with the most remaining pushes, the oldest of equals.
func (c *changeQueue) take() (change, bool) {
	for i := len(c.levels) - 1; i >= 0; i-- {
		if e := c.levels[i].Front(); e != nil {
			next := *e.Value.(*change)
			c.remove(next.key)
			return next, true
		}
	}
	return change{}, false
}

func (c *changeQueue) remove(key string) {
	if e := c.byKey[key]; e != nil {
		c.levels[e.Value.(*change).remaining].Remove(e)
		delete(c.byKey, key)
	}
}
