package grant_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/balance"
	"guavapaddle/core/fleet"
	"guavapaddle/core/grant"
	"guavapaddle/internal/testbed/cputime"
)

// newBacklog returns a scheduler whose engines are all full and hold three models each. Requests
// for waiting models wait in it, four for each. It also returns the last request ID.
func newBacklog(engines, models, waiting int) (*grant.Scheduler, uint64) {
	list := make([]fleet.Server, 0, engines)
	for i := range engines {
		s := server(fmt.Sprintf("s%03d", i))
		s.Slots = 12
		for j := range 3 {
			s.Resident = append(s.Resident, fleet.ResidentModel{Model: fmt.Sprintf("m%d", (3*i+j)%models)})
		}
		list = append(list, s)
	}
	s := newScheduler(list...)
	id := uint64(0)
	enqueue := func(model int) {
		id++
		r := request(id, fmt.Sprintf("m%d", model%models), 100, model%3)
		r.TargetStart, r.Deadline = start.Add(time.Hour), start.Add(2*time.Hour)
		s.Enqueue(r)
	}
	for i := range 24 * engines {
		enqueue(i)
		granted := s.Next(start)
		for _, d := range granted {
			s.PrefillDone(start, d.ID)
		}
		if len(granted) == 0 {
			s.Release(start, id, balance.Abandoned)
		}
	}
	for i := range 4 * waiting {
		enqueue(i % waiting)
	}
	s.Next(start)
	return s, id
}

// TestNextScalesWithWaitingGroups guards against a search for the most urgent group that is
// repeated for each group. Every change of an engine then took time that grew with the square of
// the number of groups, and nodes gave up waiting for the replies to their slot requests.
func TestNextScalesWithWaitingGroups(t *testing.T) {
	const times = 10
	fastest := func(waiting int) time.Duration {
		s, _ := newBacklog(600, 1200, waiting)
		return cputime.Min(20, func() {
			s.Invalidate()
			s.Next(start)
		})
	}
	few, many := fastest(100), fastest(100*times)
	require.Less(t, many, 3*times*few, "ten times the groups take %v instead of %v", many, few)
}

// BenchmarkEnd measures the end of one request and the start of the next at an engine while others
// wait.
func BenchmarkEnd(b *testing.B) {
	for _, size := range []struct{ engines, models, waiting int }{{12, 21, 10}, {256, 471, 0}, {256, 471, 50}, {256, 471, 200}, {600, 1200, 500}} {
		b.Run(fmt.Sprintf("%d-engines-%d-models-%d-waiting", size.engines, size.models, size.waiting), func(b *testing.B) {
			s, last := newBacklog(size.engines, size.models, size.waiting)
			id := uint64(0)
			for b.Loop() {
				id++
				s.Release(start, id, balance.Succeeded)
				for _, d := range s.Next(start) {
					s.PrefillDone(start, d.ID)
				}
				last++
				r := request(last, fmt.Sprintf("m%d", int(last)%size.models), 100, 1)
				r.TargetStart, r.Deadline = start.Add(time.Hour), start.Add(2*time.Hour)
				s.Enqueue(r)
				s.Next(start)
			}
		})
	}
}

// BenchmarkTick measures one Tick and the attempt to grant all waiting requests.
func BenchmarkTick(b *testing.B) {
	for _, size := range []struct{ engines, models, waiting int }{{12, 21, 10}, {256, 471, 50}, {256, 471, 200}, {600, 1200, 500}} {
		b.Run(fmt.Sprintf("%d-engines-%d-models-%d-waiting", size.engines, size.models, size.waiting), func(b *testing.B) {
			s, _ := newBacklog(size.engines, size.models, size.waiting)
			for b.Loop() {
				s.Tick(start)
				s.Next(start)
			}
		})
	}
}
