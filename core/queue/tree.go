package queue

import (
	"math/rand/v2"
	"time"

	"guavapaddle/core/config"
)

// waiting is an entry in the tree and in the two heaps.
type waiting struct {
	Entry
	seconds     float64 // estimated service time
	arrived     time.Time
	class       int // 0 is the most urgent; falls with age
	worth       int // step of its kind's value for each second of service
	sequence    uint64
	latestStart time.Time // zero if the entry has no deadline
	ageAt       time.Time // when class falls next
	expiryIndex int       // in the expiry heap, -1 if not there
	ageIndex    int       // in the ageing heap, -1 if not there
}

// node is a node of a treap that sums the service times below it.
type node struct {
	w           *waiting
	priority    uint64
	left, right *node
	seconds     float64 // of the subtree
	count       int     // of the subtree
}

// tree holds the waiting entries in the order of dispatch.
type tree struct {
	root   *node
	random *rand.Rand
}

// classOf returns the class of an urgency: 0 for the most urgent.
func classOf(u config.Urgency) int {
	switch u {
	case config.Urgent:
		return 0
	case config.Deferrable:
		return 2
	default:
		return 1
	}
}

// before tells whether a is dispatched before b.
func before(a, b *waiting) bool {
	if a.class != b.class {
		return a.class < b.class
	}
	if a.worth != b.worth {
		return a.worth > b.worth
	}
	if !a.Deadline.Equal(b.Deadline) {
		if a.Deadline.IsZero() || b.Deadline.IsZero() {
			return b.Deadline.IsZero()
		}
		return a.Deadline.Before(b.Deadline)
	}
	return a.sequence < b.sequence
}

func (n *node) sums() (seconds float64, count int) {
	if n == nil {
		return 0, 0
	}
	return n.seconds, n.count
}

func (n *node) update() {
	ls, lc := n.left.sums()
	rs, rc := n.right.sums()
	n.seconds = ls + rs + n.w.seconds
	n.count = lc + rc + 1
}

// split divides n into entries before w and the rest.
func split(n *node, w *waiting) (l, r *node) {
	if n == nil {
		return nil, nil
	}
	if before(n.w, w) {
		n.right, r = split(n.right, w)
		n.update()
		return n, r
	}
	l, n.left = split(n.left, w)
	n.update()
	return l, n
}

// join returns the tree of l and r, all of l being before all of r.
func join(l, r *node) *node {
	switch {
	case l == nil:
		return r
	case r == nil:
		return l
	case l.priority > r.priority:
		l.right = join(l.right, r)
		l.update()
		return l
	default:
		r.left = join(l, r.left)
		r.update()
		return r
	}
}

func (t *tree) len() int {
	_, n := t.root.sums()
	return n
}

func (t *tree) insert(w *waiting) {
	l, r := split(t.root, w)
	n := &node{w: w, priority: t.random.Uint64()}
	n.update()
	t.root = join(join(l, n), r)
}

// remove takes w out; w must be in the tree.
func (t *tree) remove(w *waiting) { t.root = remove(t.root, w) }

func remove(n *node, w *waiting) *node {
	switch {
	case n == nil:
		return nil
	case n.w == w:
		return join(n.left, n.right)
	case before(w, n.w):
		n.left = remove(n.left, w)
	default:
		n.right = remove(n.right, w)
	}
	n.update()
	return n
}

// first returns the entry to dispatch first, nil if there is none.
func (t *tree) first() *waiting {
	n := t.root
	if n == nil {
		return nil
	}
	for n.left != nil {
		n = n.left
	}
	return n.w
}

// last returns the entry to dispatch last, nil if there is none.
func (t *tree) last() *waiting {
	n := t.root
	if n == nil {
		return nil
	}
	for n.right != nil {
		n = n.right
	}
	return n.w
}

// secondsBefore returns the summed service time of entries before w.
func (t *tree) secondsBefore(w *waiting) float64 {
	var sum float64
	for n := t.root; n != nil; {
		if !before(n.w, w) {
			n = n.left
			continue
		}
		s, _ := n.left.sums()
		sum += s + n.w.seconds
		n = n.right
	}
	return sum
}
