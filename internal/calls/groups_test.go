package calls_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/calls"
)

// TestLossOfOneNodeLeavesCallsAtOthers guards against a slot request at the leader that is canceled because a
// relay was lost.
func TestLossOfOneNodeLeavesCallsAtOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g calls.Groups
		relay, endRelay := g.WithCancel(t.Context(), "relay")
		second, endSecond := g.WithCancel(t.Context(), "relay")
		leader, endLeader := g.WithCancel(t.Context(), "leader")
		g.CancelAll("relay")
		synctest.Wait()
		require.ErrorIs(t, relay.Err(), context.Canceled)
		require.ErrorIs(t, second.Err(), context.Canceled)
		require.NoError(t, leader.Err())

		later, endLater := g.WithCancel(t.Context(), "relay")
		endRelay()
		endSecond()
		synctest.Wait()
		require.NoError(t, later.Err(), "a call that began after the loss")
		g.CancelAll("relay")
		synctest.Wait()
		require.ErrorIs(t, later.Err(), context.Canceled)
		endLater()
		endLeader()
		require.ErrorIs(t, leader.Err(), context.Canceled)
	})
}

// TestReleaseWithoutCancel checks that a call that has ended, and its context, don't affect later ones.
func TestReleaseWithoutCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g calls.Groups
		g.CancelAll("none")
		first, end := g.WithCancel(t.Context(), "leader")
		end()
		require.ErrorIs(t, first.Err(), context.Canceled)
		parent, cancel := context.WithCancel(t.Context())
		next, end := g.WithCancel(parent, "leader")
		defer end()
		require.NoError(t, next.Err())
		cancel()
		synctest.Wait()
		require.ErrorIs(t, next.Err(), context.Canceled)
	})
}
