package loads_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/loads"
)

const (
	window        = 5 * time.Second
	orderLifetime = 13 * time.Second
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func newBudget() *loads.Budget { return &loads.Budget{Window: window, OrderLifetime: orderLifetime} }

func TestLoadCountsForOneWindowAfterStart(t *testing.T) {
	b := newBudget()
	b.Plan(start, "a")
	require.Equal(t, 1, b.Count(start))
	b.Send(start, "a", 3)
	b.Accept(at(time.Second), "a", 3, true)
	require.Equal(t, 1, b.Count(at(6*time.Second)))
	require.Zero(t, b.Count(at(7*time.Second)))
}

func TestRefusedOrUnsentLoadDoesNotCount(t *testing.T) {
	b := newBudget()
	b.Plan(start, "a")
	b.Cancel("a")
	require.Zero(t, b.Count(start))
	b.Plan(start, "a")
	b.Send(start, "a", 3)
	b.Refuse(start, "a", 3, true)
	require.Zero(t, b.Count(start), "the only attempt was refused, so nothing has started")
	b.Refuse(start, "a", 3, true)
	b.Cancel("a")
	require.Zero(t, b.Count(start))
}

func TestUnackedOrderCountsUntilResolved(t *testing.T) {
	sentBudget := func() *loads.Budget {
		b := newBudget()
		b.Plan(start, "a")
		b.Send(start, "a", 3)
		return b
	}
	for _, c := range []struct {
		name      string
		resolve   func(b *loads.Budget)
		countsFor time.Duration // how long the load counts
	}{
		{"never", func(*loads.Budget) {}, orderLifetime + window},
		{"later attempt accepted", func(b *loads.Budget) {
			b.Send(at(time.Second), "a", 3)
			b.Accept(at(time.Second), "a", 3, true)
		}, time.Second + window},
		{"later attempt refused with a conflict", func(b *loads.Budget) {
			b.Send(at(time.Second), "a", 3)
			b.Refuse(at(time.Second), "a", 3, true)
		}, time.Second + window},
		{"later attempt refused for another reason", func(b *loads.Budget) {
			b.Send(at(time.Second), "a", 3)
			b.Refuse(at(time.Second), "a", 3, false)
		}, time.Second + orderLifetime + window},
		{"another order with the same number accepted", func(b *loads.Budget) { b.Accept(at(time.Second), "a", 3, false) }, 0},
		{"another order with a higher number accepted", func(b *loads.Budget) { b.Accept(at(time.Second), "a", 4, false) }, time.Second + window},
		{"engine reports more accepted orders", func(b *loads.Budget) { b.Acknowledged(at(time.Second), "a", 4) }, time.Second + window},
		{"engine reports an unchanged count", func(b *loads.Budget) { b.Acknowledged(at(time.Second), "a", 3) }, orderLifetime + window},
		{"another engine reports more orders", func(b *loads.Budget) { b.Acknowledged(at(time.Second), "b", 9) }, orderLifetime + window},
		{"cancelling has no effect on a sent load", func(b *loads.Budget) { b.Cancel("a") }, orderLifetime + window},
	} {
		b := sentBudget()
		c.resolve(b)
		if c.countsFor > 0 {
			require.Equal(t, 1, b.Count(at(c.countsFor)), c.name)
		}
		require.Zero(t, b.Count(at(c.countsFor+time.Second)), c.name)
	}
}

func TestOrdersWithSameNumberCountOnce(t *testing.T) {
	b := newBudget()
	b.Plan(start, "a")
	b.Send(start, "a", 3)
	b.Plan(at(time.Second), "a") // another model; the first order may still start
	require.Equal(t, 2, b.Count(at(time.Second)), "the order number of a planned load is not known yet")
	b.Send(at(time.Second), "a", 3)
	require.Equal(t, 1, b.Count(at(time.Second)))
	b.Accept(at(2*time.Second), "a", 3, false)
	require.Zero(t, b.Count(at(2*time.Second)), "another order used the number")
	b.Send(at(2*time.Second), "a", 4)
	require.Equal(t, 1, b.Count(at(2*time.Second)), "the order is sent again with the next number")
}

func TestHandoverIsInherited(t *testing.T) {
	b := newBudget()
	b.Plan(start, "a")
	b.Plan(start, "b")
	b.Send(start, "b", 7)
	b.Plan(start, "c")
	b.Send(start, "c", 1)
	b.Accept(start, "c", 1, true)
	recent, unacked := b.Handover(at(time.Second))
	require.Equal(t, 2, recent)
	require.Equal(t, map[string]int64{"b": 7}, unacked)
	successor := newBudget()
	successor.Inherit(at(time.Second), recent, unacked)
	require.Equal(t, 3, successor.Count(at(6*time.Second)))
	require.Equal(t, 1, successor.Count(at(8*time.Second)), "the unacknowledged one")
	successor.Acknowledged(at(8*time.Second), "b", 8)
	recentAfter, unackedAfter := successor.Handover(at(8 * time.Second))
	require.Equal(t, 1, recentAfter)
	require.Empty(t, unackedAfter)
}

func TestWindowLimits(t *testing.T) {
	for _, c := range []struct {
		rate                float64
		perWindow, capacity int
	}{{2.1, 10, 14}, {0.1, 1, 3}, {10, 50, 58}} {
		require.Equal(t, c.perWindow, loads.PerWindow(c.rate, window))
		require.Equal(t, c.capacity, loads.MaxLoads(c.rate, window))
	}
}

func TestUnackedLoadsUseOnlyExtraCapacity(t *testing.T) {
	const rate = 2.1 // ten loads in a window, capacity 14
	b := newBudget()
	require.Equal(t, 10, b.Remaining(start, rate))
	for _, id := range []string{"a", "b", "c", "d"} {
		b.Plan(start, id)
		b.Send(start, id, 1)
	}
	require.Equal(t, 10, b.Remaining(start, rate), "four unacknowledged orders fit into the extra capacity")
	b.Plan(start, "e")
	b.Send(start, "e", 1)
	require.Equal(t, 9, b.Remaining(start, rate), "five")
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		b.Accept(start, id, 1, true)
	}
	require.Equal(t, 5, b.Remaining(start, rate), "five definite loads")
	b.Assume(start, 7)
	require.Equal(t, 2, b.Remaining(start, rate))
	b.Assume(start, 9)
	require.Zero(t, b.Remaining(start, rate))
	require.Equal(t, 10, b.Remaining(at(6*time.Second), rate))
}
