package generate_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/backend"
	"guavapaddle/core/config"
	"guavapaddle/core/forward"
	"guavapaddle/core/outcome"
	"guavapaddle/core/retry"
	"guavapaddle/core/route"
	"guavapaddle/core/view"
	"guavapaddle/internal/engines"
	"guavapaddle/internal/generate"
	"guavapaddle/internal/views"
)

var item = backend.Item{Name: "m", Version: "1"}

// newRouter returns a router to servers that hold the item and have the same
// owner.
func newRouter(owner generate.Owners, servers ...string) *generate.Router {
	known := views.New()
	for _, s := range servers {
		known.Put(view.Server{Server: s, Owner: "n2", Epoch: 1, Sequence: 1, Resident: []backend.Item{item}, Slots: 8, Reachable: true})
	}
	return &generate.Router{
		Self: "n1", Views: known, Owners: owner, Policy: &route.Home{}, Forward: true, Guard: &noGuard{},
		DataCentreOf: func(string) string { return "" },
		Engine:       func(string) engines.Engine { return nil },
		BootID:       func(context.Context, string) (string, error) { return "", nil },
		Trace:        func(generate.Event) {},
		AddWaiting:   func(backend.Item, int) {},
	}
}

// failingOwner fails every job with the same error.
type failingOwner struct {
	err  *outcome.Error
	jobs int
}

func (f *failingOwner) RunJob(context.Context, string, forward.Job, engines.Sink) error {
	f.jobs++
	return f.err
}

// TestInvariantTrueOutcome guards against an outcome that contradicts the
// attempts: the caller is told that a request did not run although it may have,
// or a request that may not be repeated is sent again.
func TestInvariantTrueOutcome(t *testing.T) {
	lost := outcome.Fail(outcome.PeerLost, "")
	broke := outcome.Fail(outcome.BackendLost, "")
	full := outcome.Refuse(outcome.QueueFull, "", time.Second)
	failed := outcome.Fail(outcome.BackendFailed, "")
	for _, test := range []struct {
		name       string
		err        *outcome.Error
		repeatable bool
		want       outcome.Outcome
		maxJobs    int
	}{
		{"owner lost, may be repeated", lost, true, outcome.FailedAfterStart, 3},
		{"owner lost, may not be repeated", lost, false, outcome.Unknown, 1},
		{"engine lost, may not be repeated", broke, false, outcome.Unknown, 1},
		{"engine failed, may not be repeated", failed, false, outcome.FailedAfterStart, 1},
		{"refused", full, false, outcome.RefusedNotRun, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				owner := &failingOwner{err: test.err}
				r := newRouter(owner, "s1", "s2", "s3")
				r.Init(1, &retry.Budget{})
				err := r.Do(t.Context(), generate.Request{
					ID: "r", Team: "c", Item: item, MaxTokens: 1, Deadline: time.Now().Add(10 * time.Second),
					Kind: config.Kind{Name: "k", Urgency: config.Urgent, Repeatable: test.repeatable},
				}, func(forward.Reply, forward.ResumeToken) error { return nil })
				e := outcome.From(err)
				require.NotNil(t, e)
				require.Equal(t, test.want, e.Outcome, e.Error())
				require.LessOrEqual(t, owner.jobs, test.maxJobs)
			})
		})
	}
}

// flakyOwner fails every second job after its start; the others succeed.
type flakyOwner struct{ jobs int }

func (f *flakyOwner) RunJob(_ context.Context, _ string, _ forward.Job, sink engines.Sink) error {
	f.jobs++
	if f.jobs%2 == 1 {
		return outcome.Fail(outcome.BackendFailed, "")
	}
	return sink(forward.Reply{Finish: "stop"})
}

// TestRetryShare checks that the configured share bounds retries after the burst
// is used up.
func TestRetryShare(t *testing.T) {
	for _, test := range []struct {
		share                  float64
		minRetries, maxRetries int // retries in 200 requests
	}{{-1, 0, 15}, {1, 60, 200}} {
		synctest.Test(t, func(t *testing.T) {
			owner := &flakyOwner{}
			r := newRouter(owner, "s1")
			r.Init(1, &retry.Budget{PerSecond: -1})
			r.SetRetryShare(test.share)
			for range 200 {
				_ = r.Do(t.Context(), generate.Request{
					ID: "r", Team: "c", Item: item, MaxTokens: 1, Deadline: time.Now().Add(10 * time.Second),
					Kind: config.Kind{Name: "k", Urgency: config.Urgent, Repeatable: true},
				}, func(forward.Reply, forward.ResumeToken) error { return nil })
			}
			retries := owner.jobs - 200
			require.GreaterOrEqual(t, retries, test.minRetries, "share %v", test.share)
			require.LessOrEqual(t, retries, test.maxRetries, "share %v", test.share)
		})
	}
}
