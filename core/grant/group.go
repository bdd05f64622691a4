package grant

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"guavapaddle/core/balance"
)

// dueWithin is how long before its target a request becomes due. Until then it lets other requests
// go first that would otherwise become late. This applies to batches with a target of seconds,
// which arrive in bursts of four times their usual number for three seconds.
const dueWithin = time.Second

// raisedEvery is the number of urgent requests of which one goes with those of the most urgent priority, so that no
// priority starves while more urgent ones take all slots. A kind is then served at least a quarter as often as the most
// urgent one, and never more often.
const raisedEvery = 4

type (
	// groupKey identifies the requests that wait in one group. Requests of different classes wait apart, as do those
	// that exclude servers and may wait for another copy, so that none is held up by a head that can't start. Ordinary
	// requests of an item wait together.
	groupKey struct {
		item     Item
		class    Class
		excluded string // IDs of excluded servers, separated by spaces
	}

	// group holds the waiting requests for one item. Both lists are sorted by precedes.
	group struct {
		key       groupKey
		item      Item
		onTime    []Request      // requests that can still start within their target, all that wait if they are deferrable
		late      []Request      // requests that have missed their target
		reason    balance.Reason // why the last attempt to grant the head failed
		limitRate float64        // grants per second that the servers' rate limits allow the group while reason is Limited
		reserve   float64        // the fewest slots that the last attempt had to leave free at a server
		triedAt   time.Time      // when the last attempt was made to grant the head
		headRank  int            // rank of the head during Next
		openTaken bool           // whether the share of slots that is open to due deferrable requests is taken
	}
)

// groupKey returns the key of the group in which the request waits.
func (r *Request) groupKey() groupKey {
	k := groupKey{item: r.item(), class: r.Class}
	if r.Class != Ordinary && len(r.Pick.Exclude) > 0 {
		k.excluded = strings.Join(slices.Sorted(maps.Keys(r.Pick.Exclude)), " ")
	}
	return k
}

// item returns what the request needs.
func (r *Request) item() Item {
	return Item{r.Pick.Service, r.Pick.Model, r.Pick.Adapter, r.Pick.Software}
}

// rateKey returns the key of the rates at which the group's requests start.
func (g *group) rateKey() rateKey { return rateKey{g.item, g.key.class} }

// groupQueue is a heap of groups with waiting requests, ordered by the urgency of their heads. A
// linear search for the most urgent of hundreds of groups, repeated for each of them, took
// milliseconds for each change, while other requests waited for their reply.
type groupQueue struct{ groups []*group }

// Len implements heap.Interface.
func (u *groupQueue) Len() int { return len(u.groups) }

// Less implements heap.Interface.
func (u *groupQueue) Less(i, j int) bool { return u.groups[i].urgentThan(u.groups[j]) }

// Swap implements heap.Interface.
func (u *groupQueue) Swap(i, j int) { u.groups[i], u.groups[j] = u.groups[j], u.groups[i] }

// Push implements heap.Interface.
func (u *groupQueue) Push(x any) { u.groups = append(u.groups, x.(*group)) }

// Pop implements heap.Interface.
func (u *groupQueue) Pop() any {
	last := len(u.groups) - 1
	g := u.groups[last]
	u.groups = u.groups[:last]
	return g
}

// waiting returns the number of waiting requests.
func (g *group) waiting() int { return len(g.onTime) + len(g.late) }

// insert adds a request to a sorted list.
func insert(list []Request, r Request) []Request {
	i := sort.Search(len(list), func(i int) bool { return precedes(&r, &list[i]) })
	list = append(list, Request{})
	copy(list[i+1:], list[i:])
	list[i] = r
	return list
}

// precedes orders requests by whether they exceed their team's usual rate, by priority, by whether their team is over
// its fair share, and by arrival. Deferrable requests are ordered by when they are due.
func precedes(a, b *Request) bool {
	switch {
	case a.overUsual != b.overUsual:
		return b.overUsual
	case a.Class == Deferrable && b.Class == Deferrable && !a.TargetStart.Equal(b.TargetStart):
		return a.TargetStart.Before(b.TargetStart)
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	case a.OverShare != b.OverShare:
		return b.OverShare
	case !a.ArrivedAt.Equal(b.ArrivedAt):
		return a.ArrivedAt.Before(b.ArrivedAt)
	default:
		return a.ID < b.ID
	}
}

// remove returns the list without the request that has an ID.
func remove(list []Request, id uint64) []Request {
	for i, r := range list {
		if r.ID == id {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// urgentThan reports whether the head of a group goes before the head of another.
func (g *group) urgentThan(o *group) bool {
	if g.headRank != o.headRank {
		return g.headRank < o.headRank
	}
	return precedes(g.head(), o.head())
}

const (
	rankCatchUp  = iota // deferrable, due, within the share of slots that is open to them
	rankDue             // would become late
	rankEarly           // can wait without becoming late
	rankDeferred        // deferrable, not due
	rankLate            // has missed its target
)

// rank orders heads regardless of their priority.
func (g *group) rank(now time.Time) int {
	switch {
	case g.key.class != Deferrable && len(g.onTime) == 0:
		return rankLate
	case g.key.class != Deferrable && g.onTime[0].TargetStart.Sub(now) > dueWithin:
		return rankEarly
	case g.key.class != Deferrable:
		return rankDue
	case !g.isDue(now):
		return rankDeferred
	case g.openTaken:
		return rankDue
	default:
		return rankCatchUp
	}
}

// needsAttempt reports whether a change that may concern any group calls for an attempt to grant the head. Deferrable
// requests that aren't due and wait for room wait for the end of a request at a holder of their model, and else for the
// next plan: there may be hundreds of groups of them.
func (g *group) needsAttempt(now time.Time) bool {
	return g.key.class != Deferrable || g.reason != balance.Busy || now.Sub(g.triedAt) >= planPeriod || g.isDue(now)
}

// isDue reports whether the head of a group of deferrable requests should have started. What is left until its deadline
// is for those behind it.
func (g *group) isDue(now time.Time) bool { return !now.Before(g.head().TargetStart) }

// head returns the request of the group that goes first.
func (g *group) head() *Request {
	if len(g.onTime) > 0 {
		return &g.onTime[0]
	}
	return &g.late[0]
}

// pop removes the head.
func (g *group) pop() {
	if len(g.onTime) > 0 {
		g.onTime = g.onTime[1:]
		return
	}
	g.late = g.late[1:]
}
