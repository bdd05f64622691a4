package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/balance"
	"guavapaddle/core/fleet"
	"guavapaddle/core/throttle"
)

func TestServerInBackoffIsNotPicked(t *testing.T) {
	p := newPicker(engine("a", false, "a1"), engine("b", false, "a1"))
	r := balance.Request{Service: "llm", Model: "m", Adapter: "a1"}
	p.BackOff("a", now.Add(2*time.Second))
	p.BackOff("a", now.Add(time.Second)) // a shorter backoff doesn't replace a longer one
	require.Equal(t, []string{"a"}, p.InBackoff(now.Add(1500*time.Millisecond), "llm"))
	for range 20 {
		c, reason := p.Pick(now.Add(1500*time.Millisecond), r)
		require.Equal(t, balance.Picked, reason)
		require.Equal(t, "b", c.Server.ID)
	}
	p.BackOff("b", now.Add(3*time.Second))
	c, reason := p.Pick(now, r)
	require.Equal(t, balance.Backoff, reason)
	require.Equal(t, 2*time.Second, c.Wait)
	_, reason = p.Pick(now.Add(2*time.Second), r)
	require.Equal(t, balance.Picked, reason)
	p.BackOff("gone", now)
}

// TestBackoffAndLimitSurviveLostEntry removes a server from the list, as happens when the store
// loses its entry, and adds it again.
func TestBackoffAndLimitSurviveLostEntry(t *testing.T) {
	a := engine("a", false)
	a.StartedAtMS = 1
	p := newPicker(a)
	r := balance.Request{Service: "llm", Model: "m", Tokens: 500}
	p.BackOff("a", now.Add(time.Second))
	p.LearnLimit("a", throttle.NewLimit(now, 1.5))
	ticket := p.RecordSent(now, "a", r)
	p.Update(nil)
	p.Update([]fleet.Server{a})
	require.Equal(t, []string{"a"}, p.InBackoff(now, "llm"))
	require.Len(t, p.KnownLimits(now), 1)
	require.Equal(t, 1, p.LocalCounts(0)["a"].Pending)
	p.RecordDone(now, ticket, balance.Succeeded)
	require.Empty(t, p.LocalCounts(0))

	p.Update(nil)
	a.StartedAtMS = 2
	p.Update([]fleet.Server{a})
	require.Empty(t, p.InBackoff(now, "llm"), "the server has restarted")
	require.Empty(t, p.KnownLimits(now))
	for i := range 1000 {
		p.Update([]fleet.Server{engine(fmt.Sprint(i), false)})
	}
	p.Update([]fleet.Server{a})
	require.Empty(t, p.LocalCounts(0))
}
