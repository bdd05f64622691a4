package admission_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/admission"
)

// dialTimeout is how long a dial of the play may take.
const dialTimeout = 500 * time.Millisecond

// dial is a dial to a peer that would be completed at a time.
type dial struct {
	id          uint64
	began, done time.Time
}

// linkQueue plays dials to eight peers, one each 25 ms, through a link whose queue delays each dial by what it was when the dial began. A dial that
// takes longer than its timeout is given up.
type linkQueue struct {
	trips admission.RoundTrips
	dials []dial
}

// step plays the dial that begins at a time, and the end of earlier ones.
func (q *linkQueue) step(now time.Time, n int, queue time.Duration) {
	peer := n % 8
	q.dials = append(q.dials, dial{id: q.trips.Begin(now, strconv.Itoa(peer)), began: now, done: now.Add(distance(peer) + queue)})
	open := q.dials[:0]
	for _, d := range q.dials {
		switch {
		case !now.Before(d.done):
			q.trips.End(d.done, d.id, true)
		case now.Sub(d.began) >= dialTimeout:
			q.trips.End(now, d.id, false)
		default:
			open = append(open, d)
		}
	}
	q.dials = open
}

// TestQueueBeyondDialTimeoutIsSeen guards against a link whose delay reads zero once its queue is longer than dials may take, so that the node
// admits everything.
func TestQueueBeyondDialTimeoutIsSeen(t *testing.T) {
	const (
		growth  = 400 * time.Millisecond // of the queue, per second
		longest = 1200 * time.Millisecond
		unseen  = dialTimeout + 400*time.Millisecond // after which a longer queue must show: a dial shows the one that it began with
	)
	var q linkQueue
	var l admission.Limiter
	for n := range 40 * 10 {
		at := time.Duration(n) * interval
		queue := min(max(0, time.Duration(float64(growth)*(at-time.Second).Seconds())), longest)
		now := start.Add(at)
		q.step(now, n, queue)
		delay := q.trips.Delay(now)
		l.Observe(admission.Sample{Link: delay})
		if at > time.Second+unseen {
			before := min(max(0, time.Duration(float64(growth)*(at-time.Second-unseen).Seconds())), longest)
			require.GreaterOrEqual(t, delay, min(before, dialTimeout)*9/10, "after %v the queue is %v long", at, queue)
		}
		if at > 4*time.Second {
			require.Greater(t, l.Probability(), 0.75, "after %v", at)
		}
	}
}
