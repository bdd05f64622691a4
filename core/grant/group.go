package grant

import (
	"sort"
	"time"

	"guavapaddle/core/balance"
)

// dueWithin is how long before its target a request is due. Until then it lets
// others go first that would become late: batches with a target of seconds,
// which come in bursts of four times their usual number for three seconds.
const dueWithin = time.Second

// group is the requests for one item that wait, each list by urgency and arrival.
type group struct {
	item  Item
	fresh []Request // can still begin within their target
	late  []Request
	why   balance.Why // of the last look
	limit float64     // grants a second that the servers' named rates leave it, where why is Limited
}

// urgency is a heap of groups in which requests wait, the most urgent head first: with
// hundreds of groups to look for the first again for each of them took milliseconds for
// each change, in which others waited for their answer.
type urgency struct {
	now    time.Time
	groups []*group
}

// Len implements heap.Interface.
func (u *urgency) Len() int { return len(u.groups) }

// Less implements heap.Interface.
func (u *urgency) Less(i, j int) bool { return u.groups[i].urgent(u.now, u.groups[j]) }

// Swap implements heap.Interface.
func (u *urgency) Swap(i, j int) { u.groups[i], u.groups[j] = u.groups[j], u.groups[i] }

// Push implements heap.Interface.
func (u *urgency) Push(x any) { u.groups = append(u.groups, x.(*group)) }

// Pop implements heap.Interface.
func (u *urgency) Pop() any {
	last := len(u.groups) - 1
	g := u.groups[last]
	u.groups = u.groups[:last]
	return g
}

// waiting returns how many requests wait.
func (g *group) waiting() int { return len(g.fresh) + len(g.late) }

// insert keeps a list in order.
func insert(list []Request, r Request) []Request {
	i := sort.Search(len(list), func(i int) bool { return before(&r, &list[i]) })
	list = append(list, Request{})
	copy(list[i+1:], list[i:])
	list[i] = r
	return list
}

// before orders requests by urgency, by what their teams have used, and by arrival.
func before(a, b *Request) bool {
	switch {
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	case a.Greedy != b.Greedy:
		return b.Greedy
	case !a.Since.Equal(b.Since):
		return a.Since.Before(b.Since)
	default:
		return a.ID < b.ID
	}
}

// without takes a request out of a list.
func without(list []Request, id uint64) []Request {
	for i, r := range list {
		if r.ID == id {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// urgent tells whether a group's head goes before another's.
func (g *group) urgent(now time.Time, o *group) bool {
	if a, b := g.rank(now), o.rank(now); a != b {
		return a < b
	}
	return before(g.head(), o.head())
}

// rank returns where a group's head stands whatever its priority: first what is
// due, then what can wait without becoming late, then what is late.
func (g *group) rank(now time.Time) int {
	switch {
	case len(g.fresh) == 0:
		return 2
	case g.fresh[0].Target.Sub(now) > dueWithin:
		return 1
	default:
		return 0
	}
}

// head returns the request of a group that goes first.
func (g *group) head() *Request {
	if len(g.fresh) > 0 {
		return &g.fresh[0]
	}
	return &g.late[0]
}

// pop takes the head off.
func (g *group) pop() {
	if len(g.fresh) > 0 {
		g.fresh = g.fresh[1:]
		return
	}
	g.late = g.late[1:]
}
