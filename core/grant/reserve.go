package grant

import (
	"time"

	"guavapaddle/core/balance"
	"guavapaddle/core/headroom"
)

const (
	// planPeriod is how long a plan of the slots kept for urgent requests is used, unless servers or their residency
	// change.
	planPeriod = 200 * time.Millisecond
	// minPlanPeriod is how long a plan is used at least.
	minPlanPeriod = 50 * time.Millisecond
	// pressedPeriod is how long engines count as pressed after urgent requests for one of their models were late or
	// refused.
	pressedPeriod = time.Second
	// copyGrowth is the factor by which a model's copies may increase while deferrable requests wait for it. They wait
	// longer than a model takes to load.
	copyGrowth = 3.0
)

type (
	// reserve is the state by which the scheduler keeps slots free for urgent requests. The zero value works.
	reserve struct {
		meter   headroom.Meter
		plans   map[string]datedPlan // by service
		changes int                  // number of changes of servers or their residency
		running map[string]running   // by server
	}

	// datedPlan is a plan, when it was made, and the servers that hold a model of which urgent requests were recently
	// late or refused.
	datedPlan struct {
		headroom.Plan
		at      time.Time
		changes int // before it
		pressed map[string]bool
	}

	// running counts the granted requests of a server by their class.
	running struct{ urgent, deferrable int }
)

// began counts a grant.
func (v *reserve) began(a activeGrant) { v.count(a, 1) }

// ended removes a grant from the counts and records its slot time.
func (v *reserve) ended(now time.Time, a activeGrant, r balance.Result) {
	v.count(a, -1)
	if a.key.class == Urgent && r == balance.Succeeded {
		v.meter.Ended(a.key.item.Service, a.key.item.Model, now.Sub(a.at))
	}
}

// count adds to the count of a grant's class at its server.
func (v *reserve) count(a activeGrant, n int) {
	c := v.running[a.server]
	switch a.key.class {
	case Urgent:
		c.urgent += n
	case Deferrable:
		c.deferrable += n
	default:
		return
	}
	if v.running == nil {
		v.running = map[string]running{}
	}
	if v.running[a.server] = c; c == (running{}) {
		delete(v.running, a.server)
	}
}

// plan returns the plan of the slots that are kept at a service's servers.
func (s *Scheduler) plan(now time.Time, service string) datedPlan {
	p, ok := s.reserve.plans[service]
	if age := now.Sub(p.at); ok && (age < minPlanPeriod || age < planPeriod && p.changes == s.reserve.changes) {
		return p
	}
	holders := func(model string) []string { return s.picker.Holders(now, service, model) }
	p = datedPlan{at: now, changes: s.reserve.changes, Plan: s.reserve.meter.Plan(now, service, holders), pressed: map[string]bool{}}
	for k, v := range s.rates {
		if k.class != Urgent || k.item.Service != service || !v.isPressed(now) {
			continue
		}
		for _, id := range holders(k.item.Model) {
			p.pressed[id] = true
		}
	}
	if s.reserve.plans == nil {
		s.reserve.plans = map[string]datedPlan{}
	}
	s.reserve.plans[service] = p
	return p
}

// isPressed reports whether requests were recently late or refused.
func (v *rates) isPressed(now time.Time) bool {
	return now.Sub(v.lateSeen) < pressedPeriod || now.Sub(v.lastRefused) < pressedPeriod
}

// kept returns how many of a server's slots a deferrable request that isn't due must leave free. At a pressed server
// each slot that it took would be missing for an urgent request.
func (p datedPlan) kept(id string, slots int, n running) float64 {
	if p.pressed[id] {
		return float64(slots) * (1 - headroom.OpenShare)
	}
	return p.Kept(id, slots, n.urgent)
}

// bounds returns the bounds within which the head of a group is granted. Deferrable requests leave room for urgent
// ones. Those that are due first take the share of the slots that is open to them, and then compete like urgent ones.
func (s *Scheduler) bounds(now time.Time, g *group) balance.Bounds {
	b := balance.Bounds{Tokens: s.settings.MaxUnreadTokens, SlotFraction: s.settings.SlotFraction}
	g.reserve = 0
	var reserved func(id string, slots int, n running) float64
	switch g.headRank {
	case rankCatchUp:
		reserved = func(_ string, slots int, n running) float64 {
			if float64(n.deferrable) < headroom.OpenShare*float64(slots) {
				return 0
			}
			return float64(slots)
		}
	case rankDeferred:
		p := s.plan(now, g.item.Service)
		reserved = func(id string, slots int, n running) float64 { return p.kept(id, slots, n) }
	default:
		return b
	}
	first := true
	b.Reserved = func(id string) float64 {
		f, _ := s.picker.Server(id)
		kept := reserved(id, f.Slots, s.reserve.running[id])
		if first || kept < g.reserve {
			first, g.reserve = false, kept
		}
		return kept
	}
	return b
}

// tickDeferrable refuses the requests of a group that won't start before their deadline, at the rate at which slots that
// urgent requests leave to them become free.
func (s *Scheduler) tickDeferrable(now time.Time, g *group, out []Decision) []Decision {
	v := s.rate(now, g.rateKey())
	perSecond := s.deferrableRate(now, g, v.slotTime)
	kept := g.onTime[:0]
	for _, r := range g.onTime {
		wait := time.Duration(0)
		if perSecond > 0 && g.reason == balance.Busy {
			wait = waitBehind(len(kept), perSecond*copyGrowth)
		}
		if now.Add(wait).After(r.Deadline) {
			v.recordRefusal(now)
			out = s.refuse(now, out, g, r, jitter(r, min(max(wait, v.overloadDuration(now)), maxRetryAfter)))
			continue
		}
		kept = append(kept, r)
	}
	g.onTime = kept
	if g.waiting() > 0 && g.needsAttempt(now) {
		s.marked[g] = true
	}
	s.removeIfEmpty(g)
	return out
}

// deferrableRate returns the requests per second that a group of deferrable requests can start in the slots that urgent
// requests leave in the mean, or 0 if the slot time is unknown. A burst of urgent requests is taken to end before their
// deadline, so that a fixed share of the slots counts at least.
func (s *Scheduler) deferrableRate(now time.Time, g *group, slotTime time.Duration) float64 {
	if slotTime == 0 {
		return 0
	}
	p := s.plan(now, g.item.Service)
	left := 0.0
	for _, id := range s.picker.Holders(now, g.item.Service, g.item.Model) {
		f, _ := s.picker.Server(id)
		left += max(p.Left(id, f.Slots), headroom.FixedShare*float64(f.Slots))
	}
	return left / slotTime.Seconds()
}
