package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/admission"
)

const (
	interval  = 25 * time.Millisecond
	playTime  = 20 * time.Second
	warmUp    = 5 * time.Second
	deadline  = 600 * time.Millisecond
	closeCost = 0.1 // of a served request
	turns     = 10  // in which a request waits for the processor
)

// processor plays a VM whose processor serves capacity requests a second, in order, and what is closed or rejected at a share of that cost.
type processor struct {
	capacity float64
	limiter  admission.Limiter
	limited  bool
	rand     *rand.Rand
}

// play sends perSecond requests a second and returns how many a second were served within their deadline, after a warm-up, and the longest
// wait for the processor then.
func (p *processor) play(perSecond float64) (served float64, longest time.Duration) {
	backlog := 0.0 // requests' worth of work
	due := 0.0
	for now := time.Duration(0); now < playTime; now += interval {
		wait := time.Duration(backlog / p.capacity * float64(time.Second))
		for due += perSecond * interval.Seconds(); due >= 1; due-- {
			if p.limited && p.limiter.Decide(p.rand.Float64()) != admission.Admit {
				backlog += closeCost
				continue
			}
			backlog++
			if now >= warmUp && wait <= deadline {
				served++
			}
		}
		if now >= warmUp {
			longest = max(longest, wait)
		}
		p.limiter.Observe(admission.Sample{Processor: wait / turns})
		backlog = max(0, backlog-p.capacity*interval.Seconds())
	}
	return served / (playTime - warmUp).Seconds(), longest
}

// TestServiceDoesNotCollapseUnderOverload plays once, twice and four times what a VM can serve, on VMs of different sizes: without a limit nothing is
// served in time.
func TestServiceDoesNotCollapseUnderOverload(t *testing.T) {
	for _, capacity := range []float64{100, 200, 400, 2000} {
		for _, load := range []float64{0.8, 1, 2, 4} {
			p := processor{capacity: capacity, limited: true, rand: rand.New(rand.NewPCG(1, 1))}
			served, longest := p.play(load * capacity)
			possible := min(load, 1) * capacity
			if load > 1 { // what isn't admitted costs as well
				possible = (1 - closeCost*load) / (1 - closeCost) * capacity
			}
			require.Greater(t, served, 0.85*possible, "capacity %v, load %v", capacity, load)
			require.Less(t, longest, deadline, "capacity %v, load %v", capacity, load)
		}
		unlimited := processor{capacity: capacity, rand: rand.New(rand.NewPCG(1, 1))}
		served, _ := unlimited.play(2 * capacity)
		require.Less(t, served, 0.1*capacity)
	}
}

func TestLoadThatFitsIsAdmitted(t *testing.T) {
	p := processor{capacity: 200, limited: true, rand: rand.New(rand.NewPCG(1, 1))}
	served, _ := p.play(160)
	require.InDelta(t, 160, served, 1)
}

// TestNoMoreIsClosedThanIsAdmitted guards against clients that come back at once, again and again.
func TestNoMoreIsClosedThanIsAdmitted(t *testing.T) {
	var l admission.Limiter
	for range 100 {
		l.Observe(admission.Sample{Processor: time.Second})
	}
	counts := map[admission.Verdict]int{}
	r := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		counts[l.Decide(r.Float64())]++
	}
	require.LessOrEqual(t, counts[admission.Close], counts[admission.Admit])
	require.Positive(t, counts[admission.Reject])
}

// TestSaturatedVMTurnsClientsAway plays an overload that rejecting doesn't end, as the clients come back, and its end.
func TestSaturatedVMTurnsClientsAway(t *testing.T) {
	var l admission.Limiter
	for range 20 {
		l.Observe(admission.Sample{Link: time.Second})
	}
	require.False(t, l.Saturated(), "a short overload is rejected only")
	for range 100 {
		l.Observe(admission.Sample{Link: time.Second})
	}
	require.True(t, l.Saturated())
	for range 60 {
		l.Observe(admission.Sample{})
	}
	require.True(t, l.Saturated(), "the balancer may not have noticed yet")
	for range 200 {
		l.Observe(admission.Sample{})
	}
	require.False(t, l.Saturated())
}

// TestVMWithFullLinkTurnsClientsAway guards against a VM whose link is full of requests, so that it doesn't help to reject them, but which
// isn't late yet.
func TestVMWithFullLinkTurnsClientsAway(t *testing.T) {
	var l admission.Limiter
	for range 40 {
		l.Observe(admission.Sample{Utilization: 0.6})
	}
	require.False(t, l.Saturated())
	for range 40 {
		l.Observe(admission.Sample{Utilization: 0.95})
	}
	require.True(t, l.Saturated())
}

// TestVMThatIsSaturatedAgainTurnsClientsAwayForLonger plays clients that return together as soon as the VM is ready.
func TestVMThatIsSaturatedAgainTurnsClientsAwayForLonger(t *testing.T) {
	var l admission.Limiter
	full, idle := admission.Sample{Utilization: 1}, admission.Sample{}
	until := func(saturated bool, s admission.Sample) (n int) {
		for ; l.Saturated() != saturated; n++ {
			l.Observe(s)
		}
		return n
	}
	var away []int
	for range 6 {
		until(true, full)
		away = append(away, until(false, idle))
	}
	require.Equal(t, []int{80, 160, 320, 640, 640, 640}, away)
	for range 40 * 60 {
		l.Observe(idle)
	}
	until(true, full)
	require.Equal(t, 80, until(false, idle), "that was long ago")
}
