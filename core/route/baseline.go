package route

import (
	"math/rand/v2"
	"time"

	"guavapaddle/core/backend"
)

type (
	// RoundRobin takes the holders of an item in turn, whatever their load.
	RoundRobin struct {
		next map[backend.Item]int
	}

	// Static takes a random holder, whatever its load.
	Static struct{}
)

// stackCandidates is how many candidates are handled without allocation.
const stackCandidates = 64

// Name returns "round-robin".
func (*RoundRobin) Name() string { return NameRoundRobin }

// Pick returns the holder whose turn it is.
func (p *RoundRobin) Pick(_ time.Time, r Request, cs []Candidate, _ *rand.Rand) (Choice, bool) {
	var buf [stackCandidates]int
	in := filter(r, cs, buf[:0])
	if len(in) == 0 {
		return none(r, cs)
	}
	if p.next == nil {
		p.next = map[backend.Item]int{}
	}
	n := p.next[r.Item]
	p.next[r.Item] = n + 1
	return Choice{Index: in[n%len(in)], Reason: InTurn}, true
}

// Name returns "static".
func (Static) Name() string { return NameStatic }

// Pick returns a random holder.
func (Static) Pick(_ time.Time, r Request, cs []Candidate, random *rand.Rand) (Choice, bool) {
	var buf [stackCandidates]int
	in := filter(r, cs, buf[:0])
	if len(in) == 0 {
		return none(r, cs)
	}
	return Choice{Index: in[random.IntN(len(in))], Reason: AtRandom}, true
}
