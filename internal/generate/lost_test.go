package generate_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/config"
	"guavapaddle/core/forward"
	"guavapaddle/core/outcome"
	"guavapaddle/core/retry"
	"guavapaddle/core/suspect"
	"guavapaddle/internal/engines"
	"guavapaddle/internal/generate"
	"guavapaddle/internal/suspects"
)

// noGuard allows every request and counts crashes.
type noGuard struct{ crashes int }

func (g *noGuard) Begin(context.Context, suspect.Fingerprint, string, bool) (suspects.Run, error) {
	return suspects.Run{}, nil
}
func (g *noGuard) Succeeded(suspects.Run)                        {}
func (g *noGuard) NotRun(suspects.Run)                           {}
func (g *noGuard) Crashed(context.Context, suspects.Run, string) { g.crashes++ }

// brokenOwner fails every job with a lost engine.
type brokenOwner struct{ jobs int }

func (o *brokenOwner) RunJob(context.Context, string, forward.Job, engines.Sink) error {
	o.jobs++
	return outcome.Fail(outcome.BackendLost, "EOF")
}

// TestLostServerIsSkipped checks that a server that broke a connection and does
// not respond gets no further request during its cooldown, and that requests
// which arrive after its crash are not blamed for it.
func TestLostServerIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner, guard := &brokenOwner{}, &noGuard{}
		r := newRouter(owner, "s1")
		r.Guard = guard
		r.BootID = func(context.Context, string) (string, error) { return "", errors.New("no answer") }
		r.Init(1, &retry.Budget{})
		for range 3 {
			q := generate.Request{
				ID: "r", Team: "c", Item: item, MaxTokens: 1, Deadline: time.Now().Add(200 * time.Millisecond),
				Kind: config.Kind{Name: "k", Urgency: config.Urgent, Repeatable: true},
			}
			err := r.Do(t.Context(), q, func(forward.Reply, forward.ResumeToken) error { return nil })
			require.NotNil(t, outcome.From(err))
		}
		require.Equal(t, 1, owner.jobs)
		require.Equal(t, 1, guard.crashes)
	})
}
