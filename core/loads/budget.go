package loads

import (
	"math"
	"slices"
	"time"
)

const (
	// windowMargin lengthens the window, since some orders take longer to be answered than
	// others.
	windowMargin = 1.1
	// rateTolerance and extraLoads are what the weight store can serve in a window beyond
	// its rate: a tenth of it and three loads.
	rateTolerance = 0.1
	extraLoads    = 3
)

// Phases of a load.
const (
	planned phase = iota // the order has not been sent
	sent                 // the order has no answer
	started
	assumed // another node may have started it
)

type (
	// Budget counts loads against a rate. Its exported fields must be set before the first
	// call.
	Budget struct {
		Window        time.Duration // period over which loads are limited
		OrderLifetime time.Duration // how long after sending an engine may still start an order

		loads []load
	}

	phase int

	// load is a load that may start, or has started, on one engine under one order number.
	load struct {
		engine     string
		number     int64 // once sent: orders that the engine must have accepted before
		unanswered int   // attempts without an answer
		phase      phase
		at         time.Time // time of the last send or of the start
	}
)

// PerWindow returns how many loads may start within a window at a rate in loads a second.
func PerWindow(rate float64, window time.Duration) int {
	return max(1, int(rate*window.Seconds()))
}

// MaxLoads returns how many loads within a window the weight store can serve.
func MaxLoads(rate float64, window time.Duration) int {
	return int(math.Floor(rate*window.Seconds()*(1+rateTolerance) + extraLoads))
}

// Remaining returns how many more loads may be planned at a rate in loads a second.
func (b *Budget) Remaining(now time.Time, rate float64) int {
	definite := 0
	for _, l := range b.activeLoads(now) {
		if l.phase == planned || l.phase == started {
			definite++
		}
	}
	return max(0, min(PerWindow(rate, b.Window)-definite, MaxLoads(rate, b.Window)-len(b.loads)))
}

// Plan counts a load that is about to be ordered.
func (b *Budget) Plan(now time.Time, engine string) {
	b.loads = append(b.loads, load{engine: engine, at: now})
}

// Cancel removes a planned load that has not been sent. Loads that have been sent stay.
func (b *Budget) Cancel(engine string) {
	if i := b.find(engine, planned, 0); i >= 0 {
		b.loads = slices.Delete(b.loads, i, i+1)
	}
}

// Send records that a load is being sent, either a planned one or one that was sent before
// without an answer. The order states the number of orders that the engine must have
// accepted.
func (b *Budget) Send(now time.Time, engine string, number int64) {
	b.Cancel(engine)
	i := b.find(engine, sent, number)
	if i < 0 {
		i = len(b.loads)
		b.loads = append(b.loads, load{engine: engine, number: number, phase: sent})
	}
	b.loads[i].at = now
	b.loads[i].unanswered++
}

// Accept records that an engine has accepted the order with the given number, and whether it
// is a load from the weight store. The engine starts no other order with that number.
func (b *Budget) Accept(now time.Time, engine string, number int64, store bool) {
	b.Acknowledged(now, engine, number)
	b.loads = slices.DeleteFunc(b.loads, func(l load) bool {
		return l.engine == engine && l.phase == sent && l.number == number
	})
	if store {
		b.loads = append(b.loads, load{engine: engine, phase: started, at: now})
	}
}

// Refuse records that an engine refused the last attempt of a load. If an earlier attempt
// got no answer, it may have been accepted or may still be; a conflict means that it has
// been.
func (b *Budget) Refuse(now time.Time, engine string, number int64, conflict bool) {
	i := b.find(engine, sent, number)
	if i < 0 {
		return
	}
	l := &b.loads[i]
	l.unanswered--
	switch {
	case l.unanswered == 0:
		b.loads = slices.Delete(b.loads, i, i+1)
	case conflict:
		l.phase, l.at = started, now
	}
}

// Acknowledged records how many orders an engine has accepted. Unacknowledged orders with a lower
// number have started by now or never will.
func (b *Budget) Acknowledged(now time.Time, engine string, accepted int64) {
	for i := range b.loads {
		if l := &b.loads[i]; l.engine == engine && l.phase == sent && l.number < accepted {
			l.phase, l.at = started, now
		}
	}
}

// Inherit adds loads that other nodes started recently, and their unacknowledged orders: the
// order number by engine.
func (b *Budget) Inherit(now time.Time, recent int, unacked map[string]int64) {
	for range recent {
		b.loads = append(b.loads, load{phase: started, at: now})
	}
	for engine, number := range unacked {
		b.loads = append(b.loads, load{engine: engine, number: number, unanswered: 1, phase: sent, at: now})
	}
}

// Assume adds n loads that other nodes may have started until now.
func (b *Budget) Assume(now time.Time, n int) {
	for range n {
		b.loads = append(b.loads, load{phase: assumed, at: now})
	}
}

// Handover returns the counts to hand over to another node: the number of recent loads and the
// unacknowledged order number of each engine.
func (b *Budget) Handover(now time.Time) (recent int, unacked map[string]int64) {
	unacked = map[string]int64{}
	for _, l := range b.activeLoads(now) {
		if number, ok := unacked[l.engine]; l.phase == sent && (!ok || l.number > number) {
			unacked[l.engine] = l.number
		}
	}
	return len(b.loads) - len(unacked), unacked
}

// Count returns the number of loads that may start or have started within the last window.
func (b *Budget) Count(now time.Time) int {
	return len(b.activeLoads(now))
}

// activeLoads removes the loads that no longer count and returns the others.
func (b *Budget) activeLoads(now time.Time) []load {
	window := time.Duration(float64(b.Window) * windowMargin)
	b.loads = slices.DeleteFunc(b.loads, func(l load) bool {
		age := now.Sub(l.at)
		if l.phase == sent {
			age -= b.OrderLifetime
		}
		return age > window
	})
	return b.loads
}

// find returns the index of an engine's load in a phase, or -1. Sent loads are matched by
// number too.
func (b *Budget) find(engine string, p phase, number int64) int {
	return slices.IndexFunc(b.loads, func(l load) bool {
		return l.engine == engine && l.phase == p && (p != sent || l.number == number)
	})
}
