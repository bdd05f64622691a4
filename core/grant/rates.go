package grant

import (
	"time"

	"guavapaddle/core/balance"
)

const (
	// comeBack is when a refused client may come back where the queue doesn't
	// tell: a model may be loaded by then.
	comeBack = time.Second
	// comeBackLeast and comeBackMost bound what the queue tells: a client that
	// comes back sooner meets the same queue, one that comes later may have no
	// time left.
	comeBackLeast = 400 * time.Millisecond
	comeBackMost  = 4 * time.Second
	// comeBackParts is how many different times clients are told in a row.
	comeBackParts = 8
	// rateWindow is over which the grants for an item are counted.
	rateWindow = time.Second
	// rateLeast is how many grants in it tell a rate.
	rateLeast = 3
	// lateLeast is how long requests that are late must have been seen before it
	// is known how many of them still begin.
	lateLeast = 600 * time.Millisecond
	// lateHope is added to the late requests that begin in a second, since none
	// in one second doesn't mean none in the next: with 0, requests of a calm day
	// were refused in bursts that passed (refused 0.7 in 100 against 0.3).
	lateHope = 1.0
	// lateGap is how long there may be none in between: after those that wait in
	// vain were refused, others become late a target's time later. With 0.2 s all
	// that waited were refused at once, each 1.2 s.
	lateGap = time.Second
	// overloadGap is how long no request may be refused during an overload.
	overloadGap = 2 * time.Second
)

type (
	// rate counts the grants for an item.
	rate struct {
		first  time.Time // begin of the first window of a row of them
		since  time.Time // begin of the present window
		now    int       // in it
		before int       // in the one before
	}

	// rates counts the grants for an item and those of them that went to requests
	// that were late.
	rates struct {
		all      rate
		late     rate
		lateFrom time.Time // since when there were late ones all the time
		lateSeen time.Time // when there were some last

		refusedFrom time.Time // since when requests are refused
		refused     time.Time // when one was last
	}
)

// doomed tells whether a request that isn't late yet will be, and won't begin
// then either. Where servers name rates, what a rate leaves goes to requests that
// aren't late, and of those behind others none begins once it is.
func (v *rates) doomed(now time.Time, g *group, r Request, fresh, late int) (time.Duration, bool) {
	perSecond, known := v.known(now, g)
	if !known || after(fresh, perSecond) <= r.Target.Sub(now) {
		return 0, false
	}
	back, never := v.hopeless(now, g, r, fresh, late)
	return back, never || g.why == balance.Limited && fresh+late > 0
}

// hopeless tells whether a request behind so many others won't begin before it
// expires, by the rate at which its item was granted of late, and when its
// client may come back: after the queue ahead of it, and not before an overload has
// lasted as long again as it has by now. Requests that are late begin only as fast
// as others of them did. To refuse it at once is better for its caller than to hold
// it until it expires.
func (v *rates) hopeless(now time.Time, g *group, r Request, fresh, late int) (time.Duration, bool) {
	if now.After(r.Expire) {
		return comeBack, true
	}
	perSecond, known := v.known(now, g)
	if !known {
		return 0, false
	}
	wait := after(fresh+late, perSecond)
	back := max(wait, v.overloaded(now))
	if now.Sub(v.lateFrom) >= lateLeast && now.Sub(v.lateSeen) <= lateGap {
		rest, _ := v.late.get(now)
		wait = max(wait, after(late, rest+lateHope))
	}
	return apart(r, min(back, comeBackMost)), wait > r.Expire.Sub(now)
}

// known returns how many requests of a group begin in a second, if that is known.
func (v *rates) known(now time.Time, g *group) (float64, bool) {
	switch g.why {
	case balance.Limited:
		return g.limit, true
	case balance.Busy:
		return v.all.get(now)
	default:
		return 0, false
	}
}

// overloaded returns for how long requests have been refused by now.
func (v *rates) overloaded(now time.Time) time.Duration {
	if now.Sub(v.refused) > overloadGap {
		return 0
	}
	return now.Sub(v.refusedFrom)
}

// sawRefusal notes that a request was refused.
func (v *rates) sawRefusal(now time.Time) {
	if now.Sub(v.refused) > overloadGap {
		v.refusedFrom = now
	}
	v.refused = now
}

// apart spreads the times at which refused clients come back over a quarter to
// either side.
func apart(r Request, back time.Duration) time.Duration {
	back = back*3/4 + back*time.Duration(r.ID%comeBackParts)/(2*comeBackParts)
	return min(max(back, comeBackLeast), comeBackMost)
}

// after returns when a request behind so many others begins at a rate.
func after(ahead int, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return time.Hour
	}
	return time.Duration(float64(ahead+1) / perSecond * float64(time.Second))
}

// sawLate notes that requests are late.
func (v *rates) sawLate(now time.Time) {
	if now.Sub(v.lateSeen) > lateGap {
		v.lateFrom, v.late = now, rate{first: now, since: now}
	}
	v.lateSeen = now
}

// count notes a grant.
func (v *rate) count(now time.Time) {
	v.roll(now)
	v.now++
}

// roll begins a new window if the present one has passed.
func (v *rate) roll(now time.Time) {
	switch age := now.Sub(v.since); {
	case age >= 2*rateWindow:
		v.first, v.since, v.now, v.before = now, now, 0, 0
	case age >= rateWindow:
		v.since, v.now, v.before = v.since.Add(rateWindow), 0, v.now
	}
}

// get returns the grants a second of late, if there were enough to tell.
func (v *rate) get(now time.Time) (float64, bool) {
	v.roll(now)
	part := float64(now.Sub(v.since)) / float64(rateWindow)
	n := float64(v.now) + float64(v.before)*(1-part)
	if n == 0 {
		return 0, false
	}
	span := min(rateWindow, now.Sub(v.first))
	return n / span.Seconds(), n >= rateLeast && span >= rateWindow/4
}
