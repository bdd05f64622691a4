package route

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"guavapaddle/core/config"
)

const (
	defaultRemoteMS     = 2.0
	defaultAffinityLoad = 1.25
	defaultSeconds      = 1.0
)

// Home picks the holder with the least estimated wait. The zero value of a field
// selects its default.
type Home struct {
	// RemoteMS is the round-trip time added to the wait at a server in another
	// data centre, in milliseconds, default 2.
	RemoteMS float64
	// AffinityLoad is the maximum load of the server that a prefix hashes to, as
	// a multiple of the mean load of the candidates, default 1.25.
	AffinityLoad float64
	// Seconds is the service time assumed if the request has no estimate, default
	// 1 s.
	Seconds float64
}

// Name returns "home".
func (*Home) Name() string { return NameHome }

// Pick returns the server that the request's prefix hashes to, if its load
// permits, or the holder with the least estimated wait.
func (p *Home) Pick(now time.Time, r Request, cs []Candidate, random *rand.Rand) (Selection, bool) {
	var buf [stackBufferSize]int
	in := filter(r, cs, buf[:0])
	switch len(in) {
	case 0:
		return noSelection(r, cs)
	case 1:
		return Selection{Index: in[0], Reason: OnlyHolder, WaitMS: int64(p.wait(r, &cs[in[0]]))}, true
	}
	if i, ok := p.pickAffine(r, cs, in); ok {
		return Selection{Index: i, Reason: Affinity}, true
	}
	i, wait := p.lowest(r, cs, in, random)
	c := Selection{Index: i, Reason: LeastWait, WaitMS: int64(wait)}
	if !r.Deadline.IsZero() && wait+p.seconds(r)*1000 > float64(r.Deadline.Sub(now).Milliseconds()) {
		c.Reason = LateAnyway
	}
	return c, true
}

// lowest returns the candidate with the lowest wait and, among equal waits, the
// lowest load. Ties are broken at random so that nodes don't all pick the same
// server.
func (p *Home) lowest(r Request, cs []Candidate, in []int, random *rand.Rand) (index int, wait float64) {
	index, wait = -1, math.Inf(1)
	lowest, ties := math.Inf(1), 0
	for _, i := range in {
		w, l := p.wait(r, &cs[i]), load(&cs[i])
		switch {
		case w < wait || w == wait && l < lowest:
			index, wait, lowest, ties = i, w, l, 1
		case w == wait && l == lowest:
			ties++
			if random.IntN(ties) == 0 {
				index = i
			}
		}
	}
	return index, wait
}

// wait estimates the wait at c in milliseconds, including the round trip to
// another data centre.
func (p *Home) wait(r Request, c *Candidate) float64 {
	var remote float64
	if !c.SameDataCentre {
		remote = p.RemoteMS
		if remote == 0 {
			remote = defaultRemoteMS
		}
	}
	slots := max(1, c.Slots)
	excess := c.Running + c.Queued + c.OwnRecent + 1 - slots
	if excess <= 0 {
		return remote
	}
	service := p.seconds(r) * 1000
	wait := float64(c.WaitMS)
	if r.Urgency == config.Urgent && c.Queued == 0 {
		// The view's wait is the one of normal work, but urgent work preempts.
		wait /= 2
	}
	return remote + max(wait+float64(c.OwnRecent)*service/float64(slots), service/float64(2*slots))
}

func (p *Home) seconds(r Request) float64 {
	switch {
	case r.Seconds > 0:
		return r.Seconds
	case p.Seconds > 0:
		return p.Seconds
	default:
		return defaultSeconds
	}
}

// pickAffine returns the server that the prefix hashes to, and whether it has a
// free slot and its load is not much above the mean.
func (p *Home) pickAffine(r Request, cs []Candidate, in []int) (int, bool) {
	if r.PrefixHash == 0 {
		return 0, false
	}
	maxLoad := p.AffinityLoad
	if maxLoad == 0 {
		maxLoad = defaultAffinityLoad
	}
	var sum float64
	for _, i := range in {
		sum += load(&cs[i])
	}
	i := rendezvous(r.PrefixHash, cs, in)
	c := &cs[i]
	free := c.Running+c.Queued+c.OwnRecent < c.Slots
	return i, free && load(c) <= maxLoad*sum/float64(len(in))+1/float64(max(1, c.Slots))
}

// load returns the number of requests per slot at c, including own recent ones.
func load(c *Candidate) float64 {
	return float64(c.Running+c.Queued+c.OwnRecent) / float64(max(1, c.Slots))
}

// rendezvous returns the candidate of in with the highest rendezvous weight for
// hash (Thaler and Ravishankar 1998).
func rendezvous(hash uint64, cs []Candidate, in []int) int {
	var buf [96]byte
	best, maxHash := in[0], uint64(0)
	for _, i := range in {
		key := binary.LittleEndian.AppendUint64(buf[:0], hash)
		key = append(key, cs[i].Server.Server...)
		if h := xxhash.Sum64(key); h > maxHash {
			best, maxHash = i, h
		}
	}
	return best
}
