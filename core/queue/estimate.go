package queue

import (
	"math"
	"time"

	"guavapaddle/core/config"
)

const (
	stepsPerDoubling = 2
	minSeconds       = 0.001
)

// mean is an exponentially weighted moving average.
type mean struct {
	value float64
	known bool
}

// estimator predicts service times from those of completed requests.
type estimator struct {
	assumed         float64         // seconds per request, used until one has completed
	assumedPerToken float64         // seconds per token, used until a request with tokens has completed
	perRequest      mean            // seconds per request, all kinds
	perToken        mean            // seconds per token, all kinds
	unitByKind      map[string]mean // seconds per token, or per request without a token count, by kindKey
	requestByKind   map[string]mean // seconds per request, by kind
}

func newEstimator(set Settings) estimator {
	return estimator{assumed: set.Seconds, assumedPerToken: set.StepSeconds, unitByKind: map[string]mean{}, requestByKind: map[string]mean{}}
}

// add returns the mean updated with the sample v.
func (m mean) add(v float64) mean {
	if !m.known {
		return mean{value: v, known: true}
	}
	m.value += learnRate * (v - m.value)
	return m
}

// learn updates the means with the service time of a completed request.
func (e *estimator) learn(kind string, tokens int, seconds float64) {
	e.perRequest = e.perRequest.add(seconds)
	e.requestByKind[kind] = e.requestByKind[kind].add(seconds)
	unit := seconds
	if tokens > 0 {
		unit = seconds / float64(tokens)
		e.perToken = e.perToken.add(unit)
	}
	key := kindKey(kind, tokens)
	e.unitByKind[key] = e.unitByKind[key].add(unit)
}

// seconds returns the estimated service time of a request of a kind, in seconds.
func (e *estimator) seconds(kind string, tokens int) float64 {
	unit := e.unitByKind[kindKey(kind, tokens)]
	switch {
	case tokens > 0 && unit.known:
		return unit.value * float64(tokens)
	case tokens > 0 && e.perToken.known:
		return e.perToken.value * float64(tokens)
	case tokens > 0:
		return e.assumedPerToken * float64(tokens)
	case unit.known:
		return unit.value
	case e.perRequest.known:
		return e.perRequest.value
	default:
		return e.assumed
	}
}

// valueRate returns the entry's value per second of service time on a logarithmic
// scale, using the mean service time of its kind. Successive steps differ by a
// factor of the square root of two, so that entries of one kind and value fall
// into the same step and are ordered by deadline.
func (e *estimator) valueRate(w Entry) int {
	seconds := e.assumed
	if m := e.requestByKind[w.Kind]; m.known {
		seconds = m.value
	} else if w.Tokens > 0 {
		seconds = e.seconds(w.Kind, w.Tokens)
	}
	if w.Value <= 0 {
		return math.MinInt
	}
	return int(math.Round(stepsPerDoubling * math.Log2(w.Value/max(seconds, minSeconds))))
}

// kindKey returns the key of a kind in estimator.unitByKind, which is distinct
// for requests with and without a token count.
func kindKey(kind string, tokens int) string {
	if tokens > 0 {
		return kind + "\x00tokens"
	}
	return kind
}

// estimateWait estimates the wait of w for a slot. w need not be in the queue.
func (q *Queue) estimateWait(now time.Time, w *waiting) time.Duration {
	slots, busy := q.settings.Slots, len(q.running)
	switch {
	case w.class == classOf(config.Deferrable):
		slots -= q.settings.Reserve
	case w.Urgency == config.Urgent:
		busy -= q.runningDeferrable
	}
	ahead := q.tree.secondsBefore(w)
	if busy < slots && ahead == 0 {
		return 0
	}
	wait := ahead / float64(slots)
	if busy >= slots {
		wait += q.shortestRemaining(now, w)
	}
	return time.Duration(wait * float64(time.Second))
}

// shortestRemaining returns the shortest remaining service time, in seconds, of the
// running entries that w can't preempt, or zero if there are none.
func (q *Queue) shortestRemaining(now time.Time, w *waiting) float64 {
	shortest := -1.0
	for _, r := range q.running {
		if w.Urgency == config.Urgent && r.Urgency == config.Deferrable {
			continue
		}
		left := max(0, r.seconds-now.Sub(r.started).Seconds())
		if shortest < 0 || left < shortest {
			shortest = left
		}
	}
	return max(0, shortest)
}

// drainTime estimates the time to process half of the waiting work, for use as
// the retry delay of refused requests.
func (q *Queue) drainTime() time.Duration {
	seconds, _ := q.tree.root.sums()
	t := time.Duration(seconds / 2 / float64(q.settings.Slots) * float64(time.Second))
	return max(t, minRetryAfter)
}
