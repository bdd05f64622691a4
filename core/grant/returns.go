package grant

import (
	"time"

	"guavapaddle/core/balance"
	"guavapaddle/core/turns"
)

const (
	// returnShare is the share of the recent starts of an item for which turns are promised to refused requests. The
	// rest is for requests that can still be in time.
	returnShare = 0.25
	// keptWait is how long a request that comes back at its turn goes before others: a few streams of its item end in
	// that time.
	keptWait = time.Second
)

// claimTurn gives a request of a group that was refused before the standing of its promise, and reports whether it is late
// by now: its target counts from its first arrival. Deferrable requests are ordered by their targets and never late.
func (s *Scheduler) claimTurn(g *group, r Request) (Request, bool) {
	if r.Class == Ordinary || r.Copy == "" {
		return r, false
	}
	now := r.ArrivedAt
	t := s.calendar.Return(now, g.rateKey(), r.turnKey(), s.returnRate(now, g))
	if r.turn = t.Standing; t.Standing == turns.None {
		return r, false
	}
	target := t.First.Add(r.TargetStart.Sub(now))
	if t.Standing == turns.Kept && r.Class == Urgent {
		r.ArrivedAt, r.TargetStart = t.First, target
		if kept := now.Add(keptWait); kept.After(target) {
			r.TargetStart = kept
		}
		return r, false
	}
	r.TargetStart = target
	return r, r.Class == Urgent && now.After(target)
}

// promiseTurn returns the retry delay of a refused request, and whether a turn is kept for it then. The given delay is the
// time until room is expected. Early returns get no other turn.
func (s *Scheduler) promiseTurn(now time.Time, g *group, r Request, delay time.Duration) (time.Duration, bool) {
	if r.Class == Ordinary || r.Copy == "" || g.reason != balance.Busy {
		return delay, false
	}
	if r.turn == turns.Early {
		return max(delay, r.Patience), false
	}
	return s.calendar.Promise(now, g.rateKey(), r.turnKey(), turns.Offer{First: r.ArrivedAt, Earliest: delay, Latest: r.Patience, PerSecond: s.returnRate(now, g)})
}

// returnRate returns the rate per second at which requests of a group that come back may start.
func (s *Scheduler) returnRate(now time.Time, g *group) float64 {
	perSecond, _ := s.rate(now, g.rateKey()).all.recent(now)
	return returnShare * perSecond
}

// turnKey identifies the request in the calendar.
func (r *Request) turnKey() turns.Key { return turns.Key{Team: r.Team, Copy: r.Copy} }
