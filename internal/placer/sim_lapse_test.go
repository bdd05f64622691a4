package placer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/fleet"
	"guavapaddle/internal/clock"
	"guavapaddle/internal/hub"
	"guavapaddle/platform"
)

// lateLoad sends orders to simulated engines, but the load of one adapter gets no reply. It is executed as soon as the engine has accepted
// as many orders as it requires.
type lateLoad struct {
	simEngines

	adapter string
	order   platform.Order
	lost    bool
}

// SendOrder implements placer.Engines.
func (l *lateLoad) SendOrder(ctx context.Context, s fleet.Server, o platform.Order) (platform.Verdict, error) {
	if o.Adapter != l.adapter || !o.Load || l.lost {
		v, err := l.simEngines.SendOrder(ctx, s, o)
		if e := l.world.engine(s.ID); l.lost && e.count() == l.order.Sequence {
			e.execute(l.order)
		}
		return v, err
	}
	l.lost, l.order = true, o
	return 0, errNoReply
}

// TestUnackedLoadOutlastsEntryAndRestart guards against a ninth adapter for eight slots: a load with a number that the engine hasn't reached
// yet gets no reply, and is forgotten as the engine's entry lapses and comes back, or the engine starts again.
func TestUnackedLoadOutlastsEntryAndRestart(t *testing.T) {
	for name, disturb := range map[string]func(w *simWorld, e *simEngine){
		"lapse": func(w *simWorld, e *simEngine) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.missingUntil[e.id] = time.Now().Add(1500 * time.Millisecond)
		},
		"restart": func(_ *simWorld, e *simEngine) { e.restartWith("m0") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				w := newSimWorld(ctx, 1, 1)
				l := &lateLoad{simEngines: simEngines{w}, adapter: "late"}
				n := w.start(l)
				clock.Sleep(ctx, 2*time.Second)
				require.True(t, n.IsLeading())
				e := w.pick(w.newRand())
				request := func(adapter string) bool {
					return n.RequestLoad(ctx, hub.LoadRequest{Item: hub.Item{Service: simService, Model: "m0", Adapter: adapter}}).Found
				}
				for i := range simAdapterSlots {
					require.True(t, request(fmt.Sprint("a", i)))
				}
				clock.Sleep(ctx, 1500*time.Millisecond)
				r := hub.Report{Node: "entry"}
				for i := 1; i < simAdapterSlots; i++ {
					r.Demand = append(r.Demand, hub.Demand{Item: hub.Item{Service: simService, Model: "m0", Adapter: fmt.Sprint("a", i)}})
				}
				n.Report(r) // a0 is the least recently used adapter
				clock.Sleep(ctx, 500*time.Millisecond)
				e.drop("m0/a0") // its unload is answered Done and not counted
				require.False(t, request("late"), "no reply")
				require.True(t, l.lost)
				disturb(w, e)
				for i := range 16 * simAdapterSlots {
					request(fmt.Sprint("b", i))
					clock.Sleep(ctx, 50*time.Millisecond)
				}
				require.Greater(t, e.count(), l.order.Sequence, "the late order can't be executed any more")
				require.Empty(t, w.faults)
				cancel()
				w.wg.Wait()
				clock.Sleep(t.Context(), simMaxDelay+simFromStore)
			})
		})
	}
}

// drop removes an adapter whose unload was accepted while requests used it, now that they have ended.
func (e *simEngine) drop(key string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeAdapter(key)
	e.publishState()
}

// count returns how many orders the engine has accepted.
func (e *simEngine) count() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sequence
}

// restartWith starts the engine again under its ID, with a model.
func (e *simEngine) restartWith(model string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reset()
	e.models[model] = true
	e.publishState()
}

// TestMemoryWhileEntriesLapseInSimulatedTime plays the same among many engines: half of the orders are late, and entries lapse and come
// back. The first seeds are ones that showed nine adapters.
func TestMemoryWhileEntriesLapseInSimulatedTime(t *testing.T) {
	seeds := []uint64{62, 212, 451, 484, 561}
	for i := range *simSeeds {
		seeds = append(seeds, *simFirst+uint64(i))
	}
	slices.Sort(seeds)
	for _, seed := range slices.Compact(seeds) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := runSeedWith(t, seed, (*simWorld).lapseEntries)
				require.Empty(t, w.faults, "events\n%s", strings.Join(w.events, "\n"))
			})
		})
	}
}

// lapseEntries makes half of the orders late, and entries of engines lapse and come back, until ctx ends.
func (w *simWorld) lapseEntries(ctx context.Context, rng *rand.Rand) {
	for clock.Sleep(ctx, time.Duration(20+rng.IntN(100))*time.Millisecond) {
		e := w.pick(rng)
		e.setLossRate(0.5)
		w.mu.Lock()
		w.missingUntil[e.id] = time.Now().Add(time.Duration(rng.IntN(600)) * time.Millisecond)
		w.mu.Unlock()
		if l := w.leader(); l != nil {
			w.requestAdapters(rng, l)
		}
	}
}
