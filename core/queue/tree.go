package queue

import (
	"math/rand/v2"
	"time"

	"guavapaddle/core/config"
)

// waiting is a queued entry with its position in the tree and the two heaps.
type waiting struct {
	Entry
	seconds     float64 // estimated service time
	arrived     time.Time
	class       int // 0 is the most urgent; decremented by each promotion
	valueRate   int // see estimator.valueRate
	sequence    uint64
	latestStart time.Time // zero if the entry has no deadline
	ageAt       time.Time // time of the next promotion
	expiryIndex int       // index in Queue.expiry, -1 if absent
	ageIndex    int       // index in Queue.ages, -1 if absent
}

// node is a treap node with the aggregates of its subtree.
type node struct {
	w           *waiting
	priority    uint64
	left, right *node
	seconds     float64 // total estimated service time of the subtree
	count       int     // number of entries in the subtree
}

// tree is a treap of the waiting entries in dispatch order.
type tree struct {
	root   *node
	random *rand.Rand
}

// classOf returns the class of an urgency, 0 for the most urgent.
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

// before reports whether a is dispatched before b.
func before(a, b *waiting) bool {
	if a.class != b.class {
		return a.class < b.class
	}
	if a.valueRate != b.valueRate {
		return a.valueRate > b.valueRate
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

// split divides n into the entries before w and the remaining ones.
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

// merge returns the union of l and r. All entries of l must precede those of r.
func merge(l, r *node) *node {
	switch {
	case l == nil:
		return r
	case r == nil:
		return l
	case l.priority > r.priority:
		l.right = merge(l.right, r)
		l.update()
		return l
	default:
		r.left = merge(l, r.left)
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
	t.root = merge(merge(l, n), r)
}

// remove removes w, which must be in the tree.
func (t *tree) remove(w *waiting) { t.root = remove(t.root, w) }

func remove(n *node, w *waiting) *node {
	switch {
	case n == nil:
		return nil
	case n.w == w:
		return merge(n.left, n.right)
	case before(w, n.w):
		n.left = remove(n.left, w)
	default:
		n.right = remove(n.right, w)
	}
	n.update()
	return n
}

// first returns the entry to dispatch first, or nil if the tree is empty.
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

// last returns the entry to dispatch last, or nil if the tree is empty.
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

// secondsBefore returns the total estimated service time of the entries before w.
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
