package grant

import (
	"time"

	"guavapaddle/core/balance"
)

const (
	// defaultRetryAfter is the retry delay for a refused client when it can't be derived from the
	// queue. A missing model may be loaded by then.
	defaultRetryAfter = time.Second
	// minRetryAfter and maxRetryAfter bound the retry delay derived from the queue: a client that
	// retries sooner meets the same queue, one that retries later may have no time left.
	minRetryAfter = 400 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// retryAfterSteps is the number of different retry delays given to consecutive requests.
	retryAfterSteps = 8
	// rateWindow is the window in which the grants for an item are counted.
	rateWindow = time.Second
	// minRateGrants is the number of grants in a window from which a rate can be derived.
	minRateGrants = 3
	// minLatePeriod is how long there must have been late requests before the rate at which they
	// start is used.
	minLatePeriod = 600 * time.Millisecond
	// lateRateMargin is added to the rate, per second, at which late requests start, because none
	// in one second doesn't mean none in the next. With a margin of 0, short bursts of requests were
	// refused in a simulated run at low load (0.7 in 100 requests instead of 0.3).
	lateRateMargin = 1.0
	// maxLateGap is the longest time without late requests within one period of lateness. After
	// late requests have been refused, the next ones become late only when their target passes.
	// With 0.2 s all waiting requests were refused at once every 1.2 s.
	maxLateGap = time.Second
	// overloadGap is the longest time without a refusal within one overload.
	overloadGap = 2 * time.Second
)

type (
	// rate counts the grants for an item in two consecutive windows.
	rate struct {
		seriesStart time.Time // start of the first of an unbroken series of windows
		windowStart time.Time // start of the current window
		now         int       // grants in the current window
		previous    int       // grants in the previous window
	}

	// rates counts the grants for an item, and separately those for requests that were late.
	rates struct {
		all       rate
		late      rate
		lateSince time.Time // start of the current period with late requests
		lateSeen  time.Time // when there was last a late request

		refusedSince time.Time // start of the current overload
		lastRefused  time.Time // when a request was last refused
	}
)

// willMissTarget reports whether a request that is still on time will miss its target and will not
// start after that either. Under a rate limit the rate goes to requests that are on time first, so
// a request behind others doesn't start once it is late. It also returns the delay after which the
// client may retry.
func (v *rates) willMissTarget(now time.Time, g *group, r Request, onTime, late int) (time.Duration, bool) {
	perSecond, known := v.known(now, g)
	if !known || waitBehind(onTime, perSecond) <= r.TargetStart.Sub(now) {
		return 0, false
	}
	retryAfter, expires := v.willExpire(now, g, r, onTime, late)
	return retryAfter, expires || g.reason == balance.Limited && onTime+late > 0
}

// willExpire reports whether a request with the given numbers of requests ahead of it won't start
// before its deadline, judged by the recent rate of grants for its item. Late requests start only
// at the rate at which other late requests did. Refusing such a request at once is better for its
// caller than holding it until its deadline.
//
// It also returns the delay after which the client may retry: the time until the queue ahead is
// served, but no less than the time for which the overload has lasted so far.
func (v *rates) willExpire(now time.Time, g *group, r Request, onTime, late int) (time.Duration, bool) {
	if now.After(r.Deadline) {
		return defaultRetryAfter, true
	}
	perSecond, known := v.known(now, g)
	if !known {
		return 0, false
	}
	wait := waitBehind(onTime+late, perSecond)
	retryAfter := max(wait, v.overloadDuration(now))
	if now.Sub(v.lateSince) >= minLatePeriod && now.Sub(v.lateSeen) <= maxLateGap {
		lateRate, _ := v.late.recent(now)
		wait = max(wait, waitBehind(late, lateRate+lateRateMargin))
	}
	return jitter(r, min(retryAfter, maxRetryAfter)), wait > r.Deadline.Sub(now)
}

// known returns the rate per second at which requests of a group start, if it is known.
func (v *rates) known(now time.Time, g *group) (float64, bool) {
	switch g.reason {
	case balance.Limited:
		return g.limitRate, true
	case balance.Busy:
		return v.all.recent(now)
	default:
		return 0, false
	}
}

// overloadDuration returns how long requests have been refused so far.
func (v *rates) overloadDuration(now time.Time) time.Duration {
	if now.Sub(v.lastRefused) > overloadGap {
		return 0
	}
	return now.Sub(v.refusedSince)
}

// recordRefusal records that a request was refused.
func (v *rates) recordRefusal(now time.Time) {
	if now.Sub(v.lastRefused) > overloadGap {
		v.refusedSince = now
	}
	v.lastRefused = now
}

// jitter spreads the retry delays of refused clients by up to a quarter in both directions.
func jitter(r Request, retryAfter time.Duration) time.Duration {
	retryAfter = retryAfter*3/4 + retryAfter*time.Duration(r.ID%retryAfterSteps)/(2*retryAfterSteps)
	return min(max(retryAfter, minRetryAfter), maxRetryAfter)
}

// waitBehind returns the time until a request with a number of requests ahead of it starts at a
// given rate.
func waitBehind(ahead int, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return time.Hour
	}
	return time.Duration(float64(ahead+1) / perSecond * float64(time.Second))
}

// recordLate records that there are late requests.
func (v *rates) recordLate(now time.Time) {
	if now.Sub(v.lateSeen) > maxLateGap {
		v.lateSince, v.late = now, rate{seriesStart: now, windowStart: now}
	}
	v.lateSeen = now
}

// count records a grant.
func (v *rate) count(now time.Time) {
	v.roll(now)
	v.now++
}

// roll starts a new window if the current one has passed.
func (v *rate) roll(now time.Time) {
	switch age := now.Sub(v.windowStart); {
	case age >= 2*rateWindow:
		v.seriesStart, v.windowStart, v.now, v.previous = now, now, 0, 0
	case age >= rateWindow:
		v.windowStart, v.now, v.previous = v.windowStart.Add(rateWindow), 0, v.now
	}
}

// recent returns the recent grants per second, and whether there were enough of them to derive a
// rate.
func (v *rate) recent(now time.Time) (float64, bool) {
	v.roll(now)
	fraction := float64(now.Sub(v.windowStart)) / float64(rateWindow)
	n := float64(v.now) + float64(v.previous)*(1-fraction)
	if n == 0 {
		return 0, false
	}
	span := min(rateWindow, now.Sub(v.seriesStart))
	return n / span.Seconds(), n >= minRateGrants && span >= rateWindow/4
}
