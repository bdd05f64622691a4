package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/balance"
)

func TestAServerThatRestsIsNeverPicked(t *testing.T) {
	p := picture(engine("a", false, "a1"), engine("b", false, "a1"))
	r := balance.Request{Service: "llm", Model: "m", Adapter: "a1"}
	p.Rest("a", now.Add(2*time.Second))
	p.Rest("a", now.Add(time.Second)) // a shorter one doesn't end the longer one
	require.Equal(t, []string{"a"}, p.Resting(now.Add(1500*time.Millisecond), "llm"))
	for range 20 {
		c, why := p.Pick(now.Add(1500*time.Millisecond), r)
		require.Equal(t, balance.Picked, why)
		require.Equal(t, "b", c.Server.ID)
	}
	p.Rest("b", now.Add(3*time.Second))
	c, why := p.Pick(now, r)
	require.Equal(t, balance.Resting, why)
	require.Equal(t, 2*time.Second, c.Wait)
	_, why = p.Pick(now.Add(2*time.Second), r)
	require.Equal(t, balance.Picked, why)
	p.Rest("gone", now)
}
