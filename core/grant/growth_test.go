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

// backlog returns a scheduler of engines that are full, three models each, before which
// requests for so many models wait, four each.
func backlog(engines, models, waiting int) (*grant.Scheduler, uint64) {
	list := make([]fleet.Server, 0, engines)
	for i := range engines {
		s := server(fmt.Sprintf("s%03d", i))
		s.Slots = 12
		for j := range 3 {
			s.Held = append(s.Held, fleet.Held{Model: fmt.Sprintf("m%d", (3*i+j)%models)})
		}
		list = append(list, s)
	}
	s := scheduler(list...)
	id := uint64(0)
	offer := func(model int) {
		id++
		r := request(id, fmt.Sprintf("m%d", model%models), 100, model%3)
		r.Target, r.Expire = start.Add(time.Hour), start.Add(2*time.Hour)
		s.Offer(r)
	}
	for i := range 24 * engines {
		offer(i)
		granted := s.Next(start)
		for _, d := range granted {
			s.Begun(start, d.ID)
		}
		if len(granted) == 0 {
			s.Release(start, id, balance.Dropped)
		}
	}
	for i := range 4 * waiting {
		offer(i % waiting)
	}
	s.Next(start)
	return s, id
}

// TestALookGrowsWithWhatWaits: a look at all that waits, which each change of an engine
// takes, looked for the most urgent group again for each of them, and grew with the square
// of their number. Requests for places waited behind it for longer than their nodes do.
func TestALookGrowsWithWhatWaits(t *testing.T) {
	const times = 10
	fastest := func(waiting int) time.Duration {
		s, _ := backlog(600, 1200, waiting)
		return cputime.Least(20, func() {
			s.Changed()
			s.Next(start)
		})
	}
	few, many := fastest(100), fastest(100*times)
	require.Less(t, many, 3*times*few, "ten times the groups take %v, not %v", many, few)
}

// BenchmarkEnd ends one request and begins the next at an engine, beside others that wait.
func BenchmarkEnd(b *testing.B) {
	for _, size := range []struct{ engines, models, waiting int }{{12, 21, 10}, {256, 471, 0}, {256, 471, 50}, {256, 471, 200}, {600, 1200, 500}} {
		b.Run(fmt.Sprintf("%d-engines-%d-models-%d-waiting", size.engines, size.models, size.waiting), func(b *testing.B) {
			s, last := backlog(size.engines, size.models, size.waiting)
			id := uint64(0)
			for b.Loop() {
				id++
				s.Release(start, id, balance.Good)
				for _, d := range s.Next(start) {
					s.Begun(start, d.ID)
				}
				last++
				r := request(last, fmt.Sprintf("m%d", int(last)%size.models), 100, 1)
				r.Target, r.Expire = start.Add(time.Hour), start.Add(2*time.Hour)
				s.Offer(r)
				s.Next(start)
			}
		})
	}
}

// BenchmarkTick looks at all that waits.
func BenchmarkTick(b *testing.B) {
	for _, size := range []struct{ engines, models, waiting int }{{12, 21, 10}, {256, 471, 50}, {256, 471, 200}, {600, 1200, 500}} {
		b.Run(fmt.Sprintf("%d-engines-%d-models-%d-waiting", size.engines, size.models, size.waiting), func(b *testing.B) {
			s, _ := backlog(size.engines, size.models, size.waiting)
			for b.Loop() {
				s.Tick(start)
				s.Next(start)
			}
		})
	}
}
