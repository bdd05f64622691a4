package route

import (
	"math/rand/v2"
	"time"
)

// Direct picks the less loaded of two random holders, by the engine's delayed
// report and this node's own requests in flight. If the request has a prefix, one
// of the two is the server that the prefix hashes to.
type Direct struct{}

// Name returns "direct".
func (*Direct) Name() string { return NameDirect }

// Pick returns the less loaded of two holders.
func (p *Direct) Pick(_ time.Time, r Request, cs []Candidate, random *rand.Rand) (Selection, bool) {
	var buf [stackBufferSize]int
	in := filter(r, cs, buf[:0])
	switch len(in) {
	case 0:
		return noSelection(r, cs)
	case 1:
		return Selection{Index: in[0], Reason: OnlyHolder}, true
	}
	first, reason := in[random.IntN(len(in))], TwoChoices
	if r.PrefixHash != 0 {
		first, reason = rendezvous(r.PrefixHash, cs, in), Affinity
	}
	second := in[random.IntN(len(in))]
	for second == first {
		second = in[random.IntN(len(in))]
	}
	if relativeLoad(&cs[second]) < relativeLoad(&cs[first]) {
		return Selection{Index: second, Reason: TwoChoices}, true
	}
	return Selection{Index: first, Reason: reason}, true
}

// relativeLoad returns the number of requests per slot at c. It takes the larger
// of the delayed report and the node's own requests in flight, because the report
// includes own requests too.
func relativeLoad(c *Candidate) float64 {
	return float64(max(c.Running+c.Queued, c.OwnInFlight)) / float64(max(1, c.Slots))
}
