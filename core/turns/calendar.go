package turns

import "time"

const (
	// earlyTolerance is by how much a return may precede its turn: clients round the delay that they are given.
	earlyTolerance = 50 * time.Millisecond
	// lateTolerance is how long after its turn a return has its standing. A client opens a new connection, for which
	// it may have to send its first packet twice.
	lateTolerance = 500 * time.Millisecond
	// maxRefused bounds the refused requests that are remembered. One takes about 200 bytes.
	maxRefused = 20000
	// burst is how many returns may be ahead of the rate when they are admitted: promises of one
	// turn may be used late and then meet those of the next ones.
	burst = 4
	// minPerSecond is the lowest rate at which turns are promised. A rate of zero would put the next turn at infinity.
	minPerSecond = 0.1
)

const (
	// None means that the request isn't known to have been refused before.
	None Standing = iota
	// Unpromised means that the request was refused without a turn.
	Unpromised
	// Early means that the request came before its turn, which it has lost.
	Early
	// Kept means that the request came at its turn and has the standing of its first arrival.
	Kept
	// Displaced means that the request came at its turn, but fewer start now than when it was promised.
	Displaced
	// Lapsed means that the request came after its turn.
	Lapsed
)

type (
	// Standing is what a promise is worth to the request that claims it.
	Standing int

	// Key identifies a request among the attempts of its client.
	Key struct {
		Team string
		Copy string // identifies the content
	}

	// Offer describes a refused request.
	Offer struct {
		First     time.Time     // when it first arrived
		Earliest  time.Duration // from now until room is expected
		Latest    time.Duration // from now until when the caller can wait
		PerSecond float64       // rate at which returns of the item start
	}

	// Turn is a promise as it is claimed.
	Turn struct {
		Standing Standing
		First    time.Time // first arrival of the request; zero for None
		At       time.Time // promised time; zero for None
	}

	// Calendar is the schedule of returns, by item. The zero value is ready to use.
	Calendar[I comparable] struct {
		items   map[I]*schedule
		refused int // refused requests that are remembered, of all items
		cleaned time.Time
	}

	// schedule is the schedule of one item.
	schedule struct {
		next     time.Time // earliest time of the next turn to promise
		admitted time.Time // theoretical time of the next admission of a return
		promises map[Key][]promise
	}

	// promise is what a refused request was given.
	promise struct {
		at, first time.Time
		turn      bool // false if no turn was left
	}
)

// String returns the name of the standing for logs.
func (s Standing) String() string {
	names := [...]string{"none", "unpromised", "early", "kept", "displaced", "lapsed"}
	if s < 0 || int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// Promise returns the delay after which a refused caller may come back, and whether a turn is kept for it then. Without a
// turn the delay is the latest one.
func (c *Calendar[I]) Promise(now time.Time, item I, k Key, o Offer) (time.Duration, bool) {
	c.clean(now)
	if c.items == nil {
		c.items = map[I]*schedule{}
	}
	s := c.items[item]
	if s == nil {
		s = &schedule{promises: map[Key][]promise{}}
		c.items[item] = s
	}
	p := promise{at: later(now.Add(o.Earliest), s.next), first: o.First, turn: true}
	if c.refused >= maxRefused {
		return max(o.Earliest, o.Latest), false
	}
	if p.at.After(now.Add(o.Latest)) {
		p.at, p.turn = now.Add(max(o.Earliest, o.Latest)), false
	} else {
		s.next = p.at.Add(interval(o.PerSecond))
	}
	s.promises[k] = append(s.promises[k], p)
	c.refused++
	return p.at.Sub(now), p.turn
}

// Return claims the promise of a request that arrives. perSecond is the rate at which returns of the item start now.
func (c *Calendar[I]) Return(now time.Time, item I, k Key, perSecond float64) Turn {
	c.clean(now)
	s := c.items[item]
	if s == nil || len(s.promises[k]) == 0 {
		return Turn{}
	}
	p := s.promises[k][0]
	if s.promises[k] = s.promises[k][1:]; len(s.promises[k]) == 0 {
		delete(s.promises, k)
	}
	c.refused--
	t := Turn{First: p.first, At: p.at}
	switch {
	case !p.turn:
		t.Standing = Unpromised
	case now.Before(p.at.Add(-earlyTolerance)):
		t.Standing = Early
	case now.After(p.at.Add(lateTolerance)):
		t.Standing = Lapsed
	case !s.admit(now, perSecond):
		t.Standing = Displaced
	default:
		t.Standing = Kept
	}
	return t
}

// Refused returns the number of refused requests that are remembered: they haven't come back, and still may.
func (c *Calendar[I]) Refused() int { return c.refused }

// admit reports whether the rate admits another return now, and counts it if it does.
func (s *schedule) admit(now time.Time, perSecond float64) bool {
	step := interval(perSecond)
	at := later(now, s.admitted)
	if at.Sub(now) > burst*step {
		return false
	}
	s.admitted = at.Add(step)
	return true
}

// clean removes expired promises, at most once within lateTolerance, as it visits all of them.
func (c *Calendar[I]) clean(now time.Time) {
	if now.Sub(c.cleaned) < lateTolerance {
		return
	}
	c.cleaned = now
	for item, s := range c.items {
		for k, list := range s.promises {
			n := 0
			for n < len(list) && now.After(list[n].at.Add(2*lateTolerance)) {
				n++
			}
			c.refused -= n
			if s.promises[k] = list[n:]; n == len(list) {
				delete(s.promises, k)
			}
		}
		if len(s.promises) == 0 && now.After(s.next) && now.After(s.admitted) {
			delete(c.items, item)
		}
	}
}

// interval returns the time between two turns at a rate.
func interval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / max(perSecond, minPerSecond))
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
