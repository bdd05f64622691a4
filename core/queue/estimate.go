package queue

import (
	"math"
	"time"

	"guavapaddle/core/config"
)

const (
	stepsPerDoubling = 2
	leastSeconds     = 0.001
)

// mean is an exponentially weighted mean.
type mean struct {
	value float64
	known bool
}

// estimator learns how long requests take.
type estimator struct {
	assumed  float64         // seconds a request, before anything is learned
	step     float64         // seconds a token, before anything is learned
	all      mean            // seconds a request
	perToken mean            // seconds a token, all kinds
	kinds    map[string]mean // seconds a token, or a request without tokens, by kind
	whole    map[string]mean // seconds a request, by kind
}

func newEstimator(set Settings) estimator {
	return estimator{assumed: set.Seconds, step: set.StepSeconds, kinds: map[string]mean{}, whole: map[string]mean{}}
}

// add returns the mean with one more value.
func (m mean) add(v float64) mean {
	if !m.known {
		return mean{value: v, known: true}
	}
	m.value += learnRate * (v - m.value)
	return m
}

// learn takes in the service time of a request of a kind.
func (e *estimator) learn(kind string, tokens int, seconds float64) {
	e.all = e.all.add(seconds)
	e.whole[kind] = e.whole[kind].add(seconds)
	unit := seconds
	if tokens > 0 {
		unit = seconds / float64(tokens)
		e.perToken = e.perToken.add(unit)
	}
	key := kindKey(kind, tokens)
	e.kinds[key] = e.kinds[key].add(unit)
}

// seconds returns the estimated service time of a request of a kind.
func (e *estimator) seconds(kind string, tokens int) float64 {
	unit := e.kinds[kindKey(kind, tokens)]
	switch {
	case tokens > 0 && unit.known:
		return unit.value * float64(tokens)
	case tokens > 0 && e.perToken.known:
		return e.perToken.value * float64(tokens)
	case tokens > 0:
		return e.step * float64(tokens)
	case unit.known:
		return unit.value
	case e.all.known:
		return e.all.value
	default:
		return e.assumed
	}
}

// worth returns the step of an entry's value for each second of service, by the
// mean of its kind. A step is a factor of the square root of two, so that
// entries of one kind share a step and go by their deadlines.
func (e *estimator) worth(w Entry) int {
	seconds := e.assumed
	if m := e.whole[w.Kind]; m.known {
		seconds = m.value
	} else if w.Tokens > 0 {
		seconds = e.seconds(w.Kind, w.Tokens)
	}
	if w.Value <= 0 {
		return math.MinInt
	}
	return int(math.Round(stepsPerDoubling * math.Log2(w.Value/max(seconds, leastSeconds))))
}

// kindKey keeps requests with and without a token count apart.
func kindKey(kind string, tokens int) string {
	if tokens > 0 {
		return kind + "\x00tokens"
	}
	return kind
}

// waitOf estimates the wait of w, which may be in the queue or not.
func (q *Queue) waitOf(now time.Time, w *waiting) time.Duration {
	slots, busy := q.set.Slots, len(q.running)
	switch {
	case w.class == classOf(config.Deferrable):
		slots -= q.set.Reserve
	case w.Urgency == config.Urgent:
		busy -= q.deferred
	}
	ahead := q.tree.secondsBefore(w)
	if busy < slots && ahead == 0 {
		return 0
	}
	wait := ahead / float64(slots)
	if busy >= slots {
		wait += q.firstFree(now, w)
	}
	return time.Duration(wait * float64(time.Second))
}

// firstFree returns the shortest remaining service time, in seconds, of the
// running entries that w has to wait for.
func (q *Queue) firstFree(now time.Time, w *waiting) float64 {
	least := -1.0
	for _, r := range q.running {
		if w.Urgency == config.Urgent && r.Urgency == config.Deferrable {
			continue
		}
		left := max(0, r.seconds-now.Sub(r.started).Seconds())
		if least < 0 || left < least {
			least = left
		}
	}
	return max(0, least)
}

// drainTime estimates how long half of the waiting work takes.
func (q *Queue) drainTime() time.Duration {
	seconds, _ := q.tree.root.sums()
	t := time.Duration(seconds / 2 / float64(q.set.Slots) * float64(time.Second))
	return max(t, minRetryAfter)
}
