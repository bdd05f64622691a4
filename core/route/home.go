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

// Home takes the holder with the least estimated wait. The zero value of each
// field stands for its default.
type Home struct {
	// RemoteMS is the wait that a server in another data centre is charged for
	// the way there and back, milliseconds, default 2.
	RemoteMS float64
	// AffinityLoad bounds how busy the server of a prefix may be: this many
	// times the mean load of the candidates, default 1.25.
	AffinityLoad float64
	// Seconds is the service time assumed if the request names none, default 1 s.
	Seconds float64
}

// Name returns "home".
func (*Home) Name() string { return NameHome }

// Pick returns the holder of the request's prefix, if its load allows, or the
// holder with the least estimated wait.
func (p *Home) Pick(now time.Time, r Request, cs []Candidate, random *rand.Rand) (Choice, bool) {
	var buf [stackCandidates]int
	in := filter(r, cs, buf[:0])
	switch len(in) {
	case 0:
		return none(r, cs)
	case 1:
		return Choice{Index: in[0], Reason: OnlyHolder, WaitMS: int64(p.wait(r, &cs[in[0]]))}, true
	}
	if i, ok := p.affine(r, cs, in); ok {
		return Choice{Index: i, Reason: Affinity}, true
	}
	i, wait := p.least(r, cs, in, random)
	c := Choice{Index: i, Reason: LeastWait, WaitMS: int64(wait)}
	if !r.Deadline.IsZero() && wait+p.seconds(r)*1000 > float64(r.Deadline.Sub(now).Milliseconds()) {
		c.Reason = LateAnyway
	}
	return c, true
}

// least returns the candidate with the least wait and, of those, the least
// load; equal ones are drawn at random so that nodes don't agree on one.
func (p *Home) least(r Request, cs []Candidate, in []int, random *rand.Rand) (index int, wait float64) {
	index, wait = -1, math.Inf(1)
	least, same := math.Inf(1), 0
	for _, i := range in {
		w, l := p.wait(r, &cs[i]), load(&cs[i])
		switch {
		case w < wait || w == wait && l < least:
			index, wait, least, same = i, w, l, 1
		case w == wait && l == least:
			same++
			if random.IntN(same) == 0 {
				index = i
			}
		}
	}
	return index, wait
}

// wait estimates the wait at c in milliseconds, with the way there.
func (p *Home) wait(r Request, c *Candidate) float64 {
	var remote float64
	if !c.SameDataCentre {
		remote = p.RemoteMS
		if remote == 0 {
			remote = defaultRemoteMS
		}
	}
	slots := max(1, c.Slots)
	over := c.Running + c.Queued + c.OwnRecent + 1 - slots
	if over <= 0 {
		return remote
	}
	service := p.seconds(r) * 1000
	wait := float64(c.WaitMS)
	if r.Urgency == config.Urgent && c.Queued == 0 {
		// The view's wait is that of normal work; urgent work preempts.
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

// affine returns the server that the prefix hashes to, if it has a free slot
// and is not much busier than the mean.
func (p *Home) affine(r Request, cs []Candidate, in []int) (int, bool) {
	if r.PrefixHash == 0 {
		return 0, false
	}
	bound := p.AffinityLoad
	if bound == 0 {
		bound = defaultAffinityLoad
	}
	var sum float64
	for _, i := range in {
		sum += load(&cs[i])
	}
	i := rendezvous(r.PrefixHash, cs, in)
	c := &cs[i]
	free := c.Running+c.Queued+c.OwnRecent < c.Slots
	return i, free && load(c) <= bound*sum/float64(len(in))+1/float64(max(1, c.Slots))
}

// load returns the requests a slot at c, own recent ones included.
func load(c *Candidate) float64 {
	return float64(c.Running+c.Queued+c.OwnRecent) / float64(max(1, c.Slots))
}

// rendezvous returns the candidate of in whose name and the hash give the
// highest weight (Thaler and Ravishankar 1998).
func rendezvous(hash uint64, cs []Candidate, in []int) int {
	var buf [96]byte
	best, most := in[0], uint64(0)
	for _, i := range in {
		key := binary.LittleEndian.AppendUint64(buf[:0], hash)
		key = append(key, cs[i].Server.Server...)
		if h := xxhash.Sum64(key); h > most {
			best, most = i, h
		}
	}
	return best
}
