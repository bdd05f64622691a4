package placer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/fleet"
	"guavapaddle/internal/hub"
	"guavapaddle/platform/standin"
)

const (
	chaosEngines      = 6
	chaosModels       = 12
	chaosMaxModels    = 3 // models of 72 GB that fit in 230 GB
	chaosAdapterSlots = 2
)

// chaos runs a sequence of leaders against engines whose orders, reports and entries fail at
// random.
type chaos struct {
	t       *testing.T
	mu      sync.Mutex
	rng     *rand.Rand
	store   *standin.Store
	workers []*standin.Worker
	config  *fleet.Config
	leader  *testPlacer
	terms   int
}

// TestMemoryIsNotOvercommittedUnderRandomFaults runs a few seeds in parallel, with loads
// that outlast a lease, orders that get no reply and are executed late, engine restarts,
// outdated entries and reports, and changes of the leader. No engine may ever be ordered to
// hold more than fits.
func TestMemoryIsNotOvercommittedUnderRandomFaults(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			c := newChaos(t, seed)
			for end := time.Now().Add(7 * time.Second); time.Now().Before(end); {
				c.step()
				time.Sleep(20 * time.Millisecond)
			}
			orders := 0
			for _, w := range c.workers {
				orders += len(w.Orders())
			}
			require.Greater(t, orders, 6, "orders were sent")
		})
	}
}

func newChaos(t *testing.T, seed uint64) *chaos {
	c := &chaos{t: t, rng: rand.New(rand.NewPCG(seed, 9)), store: standin.NewStore(t)}
	c.config = configWith(fleet.Engine{WeightsMB: 230000, LoadsPerS: 10, AdapterSlots: chaosAdapterSlots}, chaosModels, 4)
	for i := range chaosEngines {
		w := (&standin.Worker{ID: fmt.Sprint("i-", i), Lag: 100 * time.Millisecond}).SlowLoads().SlowUnloads()
		w.Hold(fmt.Sprint("m", i)).Hold(fmt.Sprint("m", (i+1)%chaosModels))
		c.workers = append(c.workers, w.Start(t))
		w.OnReport(func() { c.duringReport(w) })
	}
	c.handOver()
	return c
}

// step performs one random action and checks all engines.
func (c *chaos) step() {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[c.rng.IntN(len(c.workers))]
	switch n := c.rng.IntN(100); {
	case n < 30:
		c.updateEntries()
	case n < 45:
		w.FinishLoad()
	case n < 60:
		w.FinishUnloads()
	case n < 70:
		w.LoseOrders(1)
	case n < 80:
		w.RunUnanswered()
	case n < 83:
		w.Restart()
	case n < 86:
		c.handOver()
	case n < 93:
		c.requestAdapter(w)
	default:
		c.demand()
	}
	for _, w := range c.workers {
		require.LessOrEqual(c.t, w.MaxModels(), chaosMaxModels, w.ID)
		require.LessOrEqual(c.t, w.MaxAdapters(), chaosAdapterSlots, w.ID)
	}
}

// duringReport completes, in one of three reports, the moves of an engine while its report
// is being requested, and changes its entry before the reply arrives.
func (c *chaos) duringReport(w *standin.Worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rng.IntN(3) > 0 {
		return
	}
	w.FinishLoad()
	w.FinishUnloads()
	time.Sleep(w.Lag + 10*time.Millisecond)
	c.updateEntries()
}

// handOver ends the leader's term and starts another leader.
func (c *chaos) handOver() {
	if c.leader != nil {
		c.leader.Release(context.Background())
	}
	c.terms++
	c.leader = startPlacer(c.t, c.store, fmt.Sprint("n", c.terms), leaderUnreachable)
	c.leader.SetConfig(c.config)
	c.demand()
	c.updateEntries()
}

// updateEntries passes on the current entries of the engines, which then age until the next
// call.
func (c *chaos) updateEntries() {
	var list []fleet.Server
	for _, w := range c.workers {
		list = append(list, entryOf(w))
	}
	c.leader.SetServers(list)
}

// demand sets requests waiting for some models.
func (c *chaos) demand() {
	c.leader.mu.Lock()
	defer c.leader.mu.Unlock()
	c.leader.waiting = map[string]int{}
	for range 3 {
		c.leader.waiting[fmt.Sprint("m", c.rng.IntN(chaosModels))] = 1 + c.rng.IntN(9)
	}
}

// requestAdapter requests an adapter of a model that an engine holds.
func (c *chaos) requestAdapter(w *standin.Worker) {
	for m := range w.Models() {
		i := hub.Item{Service: "llm", Model: m, Adapter: fmt.Sprint("a", 1+c.rng.IntN(4))}
		go c.leader.RequestLoad(context.Background(), hub.LoadRequest{Item: i})
		return
	}
}
