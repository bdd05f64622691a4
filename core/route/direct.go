package route

import (
	"math/rand/v2"
	"time"
)

// Direct takes the less busy of two random holders, by the engine's lagging
// report and this node's own requests in flight. One of the two is the server
// that the request's prefix hashes to, if it has a prefix.
type Direct struct{}

// Name returns "direct".
func (*Direct) Name() string { return NameDirect }

// Pick returns the less busy of two holders.
func (p *Direct) Pick(_ time.Time, r Request, cs []Candidate, random *rand.Rand) (Choice, bool) {
	var buf [stackCandidates]int
	in := filter(r, cs, buf[:0])
	switch len(in) {
	case 0:
		return none(r, cs)
	case 1:
		return Choice{Index: in[0], Reason: OnlyHolder}, true
	}
	first, reason := in[random.IntN(len(in))], TwoChoices
	if r.PrefixHash != 0 {
		first, reason = rendezvous(r.PrefixHash, cs, in), Affinity
	}
	second := in[random.IntN(len(in))]
	for second == first {
		second = in[random.IntN(len(in))]
	}
	if busy(&cs[second]) < busy(&cs[first]) {
		return Choice{Index: second, Reason: TwoChoices}, true
	}
	return Choice{Index: first, Reason: reason}, true
}

// busy returns the requests a slot that a lagging report and the node's own
// requests tell of. The report counts own requests too, so the larger counts.
func busy(c *Candidate) float64 {
	return float64(max(c.Running+c.Queued, c.OwnInFlight)) / float64(max(1, c.Slots))
}
