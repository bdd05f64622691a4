package route

import (
	"math/rand/v2"
	"time"

	"guavapaddle/core/backend"
)

type (
	// RoundRobin picks the holders of an item in turn, regardless of their load.
	RoundRobin struct {
		next map[backend.Item]int
	}

	// Static picks a random holder, regardless of its load.
	Static struct{}
)

// stackBufferSize is the number of candidates up to which Pick does not allocate.
const stackBufferSize = 64

// Name returns "round-robin".
func (*RoundRobin) Name() string { return NameRoundRobin }

// Pick returns the next holder in turn.
func (p *RoundRobin) Pick(_ time.Time, r Request, cs []Candidate, _ *rand.Rand) (Selection, bool) {
	var buf [stackBufferSize]int
	in := filter(r, cs, buf[:0])
	if len(in) == 0 {
		return noSelection(r, cs)
	}
	if p.next == nil {
		p.next = map[backend.Item]int{}
	}
	n := p.next[r.Item]
	p.next[r.Item] = n + 1
	return Selection{Index: in[n%len(in)], Reason: InTurn}, true
}

// Name returns "static".
func (Static) Name() string { return NameStatic }

// Pick returns a random holder.
func (Static) Pick(_ time.Time, r Request, cs []Candidate, random *rand.Rand) (Selection, bool) {
	var buf [stackBufferSize]int
	in := filter(r, cs, buf[:0])
	if len(in) == 0 {
		return noSelection(r, cs)
	}
	return Selection{Index: in[random.IntN(len(in))], Reason: AtRandom}, true
}
