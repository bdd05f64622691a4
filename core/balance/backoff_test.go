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
	p.Rest("a", now.Add(2*time.Second))
	p.Rest("a", now.Add(time.Second)) // a shorter backoff doesn't replace a longer one
	require.Equal(t, []string{"a"}, p.Resting(now.Add(1500*time.Millisecond), "llm"))
	for range 20 {
		c, reason := p.Pick(now.Add(1500*time.Millisecond), r)
		require.Equal(t, balance.Picked, reason)
		require.Equal(t, "b", c.Server.ID)
	}
	p.Rest("b", now.Add(3*time.Second))
	c, reason := p.Pick(now, r)
	require.Equal(t, balance.Resting, reason)
	require.Equal(t, 2*time.Second, c.Wait)
	_, reason = p.Pick(now.Add(2*time.Second), r)
	require.Equal(t, balance.Picked, reason)
	p.Rest("gone", now)
}

// TestBackoffAndLimitSurviveLostEntry removes a server from the list, as happens when the store
// loses its entry, and adds it again.
func TestBackoffAndLimitSurviveLostEntry(t *testing.T) {
	a := engine("a", false)
	a.Born = 1
	p := newPicker(a)
	r := balance.Request{Service: "llm", Model: "m", Tokens: 500}
	p.Rest("a", now.Add(time.Second))
	p.LearnLimit("a", throttle.Named(now, 1.5))
	ticket := p.Sent(now, "a", r)
	p.Update(nil)
	p.Update([]fleet.Server{a})
	require.Equal(t, []string{"a"}, p.Resting(now, "llm"))
	require.Len(t, p.KnownLimits(now), 1)
	require.Equal(t, 1, p.Own(0)["a"].Pending)
	p.Done(now, ticket, balance.Good)
	require.Empty(t, p.Own(0))

	p.Update(nil)
	a.Born = 2
	p.Update([]fleet.Server{a})
	require.Empty(t, p.Resting(now, "llm"), "the server has restarted")
	require.Empty(t, p.KnownLimits(now))
	for i := range 1000 {
		p.Update([]fleet.Server{engine(fmt.Sprint(i), false)})
	}
	p.Update([]fleet.Server{a})
	require.Empty(t, p.Own(0))
}
