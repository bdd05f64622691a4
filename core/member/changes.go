package member

import "container/list"

type (
	// changes holds the keys of records that are still to be pushed, in levels
	// by the pushes that remain, so that what was pushed least goes first even
	// while very many records change.
	changes struct {
		levels []*list.List // of *change, by pushes that remain
		at     map[string]*list.Element
	}

	change struct {
		key  string
		left int // pushes that remain
	}
)

func newChanges() changes { return changes{at: map[string]*list.Element{}} }

func (c *changes) len() int { return len(c.at) }

// put makes a key be pushed n times.
func (c *changes) put(key string, n int) {
	c.drop(key)
	for len(c.levels) <= n {
		c.levels = append(c.levels, list.New())
	}
	c.at[key] = c.levels[n].PushBack(&change{key: key, left: n})
}

// take takes the key out that was pushed least, the oldest of equals.
func (c *changes) take() (change, bool) {
	for i := len(c.levels) - 1; i >= 0; i-- {
		if e := c.levels[i].Front(); e != nil {
			one := *e.Value.(*change)
			c.drop(one.key)
			return one, true
		}
	}
	return change{}, false
}

func (c *changes) drop(key string) {
	if e := c.at[key]; e != nil {
		c.levels[e.Value.(*change).left].Remove(e)
		delete(c.at, key)
	}
}
