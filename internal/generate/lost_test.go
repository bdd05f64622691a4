package generate_test

import (
	"context"
	"errors"
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
	"guavapaddle/core/suspect"
	"guavapaddle/core/view"
	"guavapaddle/internal/engines"
	"guavapaddle/internal/generate"
	"guavapaddle/internal/suspects"
	"guavapaddle/internal/views"
)

// noGuard lets every request run and counts crashes.
type noGuard struct{ crashes int }

func (g *noGuard) Begin(context.Context, suspect.Fingerprint, string, bool) (suspects.Run, error) {
	return suspects.Run{}, nil
}
func (g *noGuard) Succeeded(suspects.Run)                        {}
func (g *noGuard) NotRun(suspects.Run)                           {}
func (g *noGuard) Crashed(context.Context, suspects.Run, string) { g.crashes++ }

// brokenOwner loses the engine in the middle of every job.
type brokenOwner struct{ jobs int }

func (o *brokenOwner) Do(context.Context, string, forward.Job, engines.Sink) error {
	o.jobs++
	return outcome.Fail(outcome.BackendLost, "EOF")
}

// TestLostServerIsPassedOver shows that a server that broke a connection off
// and does not answer gets no further request for a while, and that requests
// sent after its loss are not taken for its cause.
func TestLostServerIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		item := backend.Item{Name: "m", Version: "1"}
		known := views.New()
		known.Put(view.Server{Server: "s1", Owner: "n2", Epoch: 1, Sequence: 1, Resident: []backend.Item{item}, Slots: 8, Reachable: true})
		owner, guard := &brokenOwner{}, &noGuard{}
		r := &generate.Router{
			Self: "n1", Views: known, Owners: owner, Policy: &route.Home{}, Forward: true, Guard: guard,
			Place:  func(string) string { return "" },
			Engine: func(string) engines.Engine { return nil },
			Boot:   func(context.Context, string) (string, error) { return "", errors.New("no answer") },
			Note:   func(generate.Event) {},
			Wanted: func(backend.Item, int) {},
		}
		r.Init(1, &retry.Budget{})
		for range 3 {
			q := generate.Request{
				ID: "r", Customer: "c", Item: item, MaxTokens: 1, Deadline: time.Now().Add(200 * time.Millisecond),
				Kind: config.Kind{Name: "k", Urgency: config.Urgent, Repeatable: true},
			}
			err := r.Do(t.Context(), q, func(forward.Reply, forward.Token) error { return nil })
			require.NotNil(t, outcome.From(err))
		}
		require.Equal(t, 1, owner.jobs)
		require.Equal(t, 1, guard.crashes)
	})
}
