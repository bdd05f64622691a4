package owner_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"guavapaddle/core/backend"
	"guavapaddle/core/config"
	"guavapaddle/core/row"
	"guavapaddle/core/view"
)

// run runs f in fake time, stops all nodes and checks the engines' peak memory.
func run(t *testing.T, checks bool, servers int, f func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, checks, servers)
		defer c.stopAll() // after a failure too; otherwise fake time never ends
		f(c)
		c.stopAll()
		c.requirePeaksFit()
	})
}

// runBoth runs f with servers that check fencing numbers and with servers that don't.
func runBoth(t *testing.T, servers int, f func(c *cluster, checks bool)) {
	for name, checks := range map[string]bool{"checks": true, "does not check": false} {
		t.Run(name, func(t *testing.T) { run(t, checks, servers, func(c *cluster) { f(c, checks) }) })
	}
}

func TestOwnersShareServersAndExecutePlans(t *testing.T) {
	runBoth(t, 6, func(c *cluster, _ bool) {
		a, b := c.start("n1", "n1", "n2"), c.start("n2", "n1", "n2")
		for name := range c.engines {
			c.plan(name, model("a"), model("b"))
		}
		time.Sleep(30 * time.Second)
		require.Len(c.t, append(a.owns(), b.owns()...), 6)
		require.NotEmpty(c.t, a.owns())
		require.NotEmpty(c.t, b.owns())
		for name := range c.engines {
			c.requireResident(name, model("a"), model("b"))
		}
		for _, v := range c.known() {
			require.Equal(c.t, []backend.Item{model("a"), model("b")}, v.Resident)
			require.Equal(c.t, int64(20), v.FreeBytes)
			require.True(c.t, v.Reachable)
		}
	})
}

func TestPlannedStopHandsOverImmediately(t *testing.T) {
	runBoth(t, 3, func(c *cluster, _ bool) {
		a, b := c.start("n1", "n1"), c.start("n2", "n1")
		time.Sleep(5 * time.Second)
		require.Len(c.t, a.owns(), 3)
		a.stop()
		b.setLive("n2")
		time.Sleep(time.Second)
		require.Len(c.t, b.owns(), 3)
		for _, v := range b.Views() {
			require.Equal(c.t, uint64(2), v.Epoch)
		}
	})
}

func TestCrashedOwnerIsReplacedAfterItsLease(t *testing.T) {
	runBoth(t, 1, func(c *cluster, _ bool) {
		a, b := c.start("n1", "n1"), c.start("n2", "n1")
		time.Sleep(5 * time.Second)
		require.Len(c.t, a.owns(), 1)
		a.freeze()
		b.setLive("n2")
		time.Sleep(4 * time.Second)
		require.Empty(c.t, b.owns(), "acquired while the lease may still be valid")
		time.Sleep(6 * time.Second)
		require.Len(c.t, b.owns(), 1)
		a.thaw()
		time.Sleep(5 * time.Second)
		require.Empty(c.t, a.owns())
		require.Len(c.t, b.owns(), 1)
	})
}

// TestInvariantMemoryNeverOvercommittedOwnerWakes guards against an order sent
// after a pause. The order passes the lease check, the process is paused for 25 s
// while another owner fills the server, and then the order is sent.
func TestInvariantMemoryNeverOvercommittedOwnerWakes(t *testing.T) {
	runBoth(t, 1, func(c *cluster, checks bool) {
		a, b := c.start("n1", "n1"), c.start("n2", "n1")
		time.Sleep(5 * time.Second)
		sent := a.freezeBeforeOrder() // n1 pauses at its next order
		a.SetPlan("e0", []backend.Item{model("a"), model("b")})
		<-sent
		b.setLive("n2")
		b.SetPlan("e0", []backend.Item{model("c"), model("d")})
		time.Sleep(25 * time.Second)
		require.Len(c.t, b.owns(), 1)
		a.thaw()
		time.Sleep(90 * time.Second)
		c.requirePeaksFit()
		require.Equal(c.t, checks, c.engines["e0"].refused() > 0)
		if checks {
			c.requireResident("e0", model("c"), model("d"))
		}
	})
}

// TestInvariantMemoryNeverOvercommittedOwnerCutOffFromTable guards against orders
// from an owner that lost its lease while it alone can't reach the table. It must
// learn from the engine that it was replaced, and send no order.
func TestInvariantMemoryNeverOvercommittedOwnerCutOffFromTable(t *testing.T) {
	runBoth(t, 1, func(c *cluster, _ bool) {
		a, b := c.start("n1", "n1"), c.start("n2", "n1")
		time.Sleep(5 * time.Second)
		a.isolate(true, false)
		b.setLive("n2")
		b.SetPlan("e0", []backend.Item{model("c"), model("d")})
		time.Sleep(20 * time.Second)
		a.SetPlan("e0", []backend.Item{model("a"), model("b")})
		time.Sleep(20 * time.Second)
		c.requireResident("e0", model("c"), model("d"))
		require.Zero(c.t, c.engines["e0"].refused())
	})
}

// TestInvariantMemoryNeverOvercommittedRivalWhilePolling guards against an order
// based on an outdated poll. An owner that can't reach the table waits for a poll
// while another node raises the fence. It must query the engine again before it
// sends an order.
func TestInvariantMemoryNeverOvercommittedRivalWhilePolling(t *testing.T) {
	run(t, true, 1, func(c *cluster) {
		a, b, e := c.start("n1", "n1"), c.start("n2", "n1"), c.engines["e0"]
		time.Sleep(5 * time.Second)
		e.set(func() {
			e.stateDelay = 3 * time.Second
			e.onFence = func(fence uint64) {
				if fence == 2 {
					a.SetPlan("e0", []backend.Item{model("a")})
				}
			}
		})
		a.isolate(true, false)
		b.setLive("n2")
		time.Sleep(25 * time.Second)
		require.Len(c.t, b.owns(), 1)
		require.Zero(c.t, e.refused(), "a stale order reached the engine")
	})
}

// TestInvariantMemoryNeverOvercommittedOldFenceInNewBoot guards against orders
// from a former owner after an engine restart. It lost its lease before it could
// reach the engine, and reaches it just after the engine restarted and forgot the
// new owner's fence.
func TestInvariantMemoryNeverOvercommittedOldFenceInNewBoot(t *testing.T) {
	run(t, true, 1, func(c *cluster) {
		a, b, e := c.start("n1", "n1"), c.start("n2", "n1"), c.engines["e0"]
		a.isolate(false, true)
		a.SetPlan("e0", []backend.Item{model("a")})
		time.Sleep(5 * time.Second)
		a.isolate(true, true)
		b.setLive("n2")
		time.Sleep(25 * time.Second)
		require.Len(c.t, b.owns(), 1)
		e.set(func() { e.stateDelay = 3 * time.Second }) // delays the new owner's detection of the restart
		time.Sleep(4 * time.Second)
		e.restart()
		a.isolate(true, false)
		time.Sleep(10 * time.Second)
		c.requireResident("e0")
	})
}

// TestInvariantMemoryNeverOvercommittedPausedAfterRecord guards against an order
// sent after its lifetime. An owner records the order in the row of a server that
// doesn't check fencing numbers, is paused for longer than the order's lifetime,
// and resumes before it has checked its lease.
func TestInvariantMemoryNeverOvercommittedPausedAfterRecord(t *testing.T) {
	run(t, false, 1, func(c *cluster) {
		a, b := c.start("n1", "n1"), c.start("n2", "n1")
		time.Sleep(5 * time.Second)
		a.mu.Lock()
		a.freezeAtRecord = make(chan struct{})
		recorded := a.freezeAtRecord
		a.mu.Unlock()
		a.SetPlan("e0", []backend.Item{model("a"), model("b")})
		<-recorded
		b.setLive("n2")
		b.SetPlan("e0", []backend.Item{model("c"), model("d")})
		time.Sleep(60 * time.Second)
		a.thaw()
		time.Sleep(10 * time.Second)
		c.requireResident("e0", model("c"), model("d"))
	})
}

// TestInvariantMemoryNeverOvercommittedFenceBeforeInventory guards against a late
// order of the former owner being accepted because the new owner has sent no order
// yet. The new owner must raise the fence before it reads the inventory.
func TestInvariantMemoryNeverOvercommittedFenceBeforeInventory(t *testing.T) {
	run(t, true, 1, func(c *cluster) {
		a, b := c.start("n1", "n1"), c.start("n2", "n1")
		time.Sleep(5 * time.Second)
		sent := a.freezeBeforeOrder()
		a.SetPlan("e0", []backend.Item{model("a")})
		<-sent
		b.setLive("n2")
		time.Sleep(25 * time.Second)
		a.thaw()
		time.Sleep(5 * time.Second)
		require.Equal(c.t, 1, c.engines["e0"].refused())
		c.requireResident("e0")
	})
}

// TestInvariantMemoryNeverOvercommittedOrderArrivesLate guards against delayed load
// orders: each arrives 29 s late, after its item was replaced by others in the plan.
func TestInvariantMemoryNeverOvercommittedOrderArrivesLate(t *testing.T) {
	runBoth(t, 1, func(c *cluster, _ bool) {
		a, e := c.start("n1", "n1"), c.engines["e0"]
		time.Sleep(3 * time.Second)
		e.set(func() { e.orderDelay = 29 * time.Second })
		a.SetPlan("e0", []backend.Item{model("a"), model("b")})
		time.Sleep(1500 * time.Millisecond)
		e.set(func() { e.orderDelay = 0 })
		c.doc.Models = c.doc.Models[2:]
		a.SetDocument(c.doc, 2)
		a.SetPlan("e0", []backend.Item{model("c"), model("d")})
		time.Sleep(100 * time.Second)
		c.requirePeaksFit()
		c.requireResident("e0", model("c"), model("d"))
	})
}

// TestInvariantReachableDuringVersionChange guards against a gap in service during a
// version change. On a server with room for both versions, the new one must serve
// before the old one is unloaded; on a full server, the old one must stay.
func TestInvariantReachableDuringVersionChange(t *testing.T) {
	runBoth(t, 1, func(c *cluster, _ bool) {
		a, e := c.start("n1", "n1"), c.engines["e0"]
		c.plan("e0", model("a"))
		time.Sleep(10 * time.Second)
		c.requireResident("e0", model("a"))
		next := backend.Item{Name: "a", Version: "2"}
		e.set(func() {
			e.onChange = func() {
				require.True(c.t, e.items[model("a")] == backend.Resident || e.items[next] == backend.Resident)
			}
		})
		c.doc.Models[0].Version = "2"
		a.SetDocument(c.doc, 2)
		c.plan("e0", next)
		time.Sleep(20 * time.Second)
		c.requireResident("e0", next)

		c.plan("e0", next, model("b"))
		time.Sleep(20 * time.Second)
		c.doc.Models[1].Version = "2"
		a.SetDocument(c.doc, 3)
		c.plan("e0", next, backend.Item{Name: "b", Version: "2"})
		time.Sleep(60 * time.Second)
		c.requireResident("e0", next, model("b"))
		require.Positive(c.t, testutil.ToFloat64(a.Metrics.UnsentOrders.WithLabelValues("last-copy")))
	})
}

// TestInvariantReachableLastCopyStays guards against the loss of a model's last copy
// when two owners are instructed at the same time to replace its only two copies.
func TestInvariantReachableLastCopyStays(t *testing.T) {
	runBoth(t, 6, func(c *cluster, _ bool) {
		c.start("n1", "n1", "n2")
		c.start("n2", "n1", "n2")
		time.Sleep(5 * time.Second)
		server1, server2 := c.nodes[0].owns()[0], c.nodes[1].owns()[0]
		c.plan(server1, model("a"), model("b"))
		c.plan(server2, model("a"), model("b"))
		time.Sleep(20 * time.Second)
		for _, e := range c.engines {
			e.set(func() { e.stateDelay = 500 * time.Millisecond })
		}
		c.staleViews = c.known() // views are stale from here on
		c.plan(server1, model("c"), model("d"))
		c.plan(server2, model("c"), model("d"))
		time.Sleep(120 * time.Second)
		for _, m := range []string{"a", "b"} {
			require.True(c.t, c.engines[server1].has(model(m)) || c.engines[server2].has(model(m)), "last copy of %s", m)
		}
		require.Equal(c.t, 2, c.engines[server1].unloaded()+c.engines[server2].unloaded(), "redundant copies are unloaded")
	})
}

// TestClaimOfEarlierOwnerEnds guards against unloads being blocked by the claim that
// an earlier owner left. The new owner must release it once the ledger shows that
// the order is settled, not only when it expires after a minute.
func TestClaimOfEarlierOwnerEnds(t *testing.T) {
	runBoth(t, 2, func(c *cluster, _ bool) {
		leftClaim := `{"token":"gone/0/1","for":"e0 a@1","server":"e0","item":{"name":"a","version":"1"},"ttl-ms":60000}`
		c.table.commit(row.Tx{}.Put("owner/unload/+a", []byte(leftClaim)))
		c.start("n1", "n1")
		c.plan("e0", model("a"), model("b"))
		c.plan("e1", model("a"), model("c"))
		time.Sleep(20 * time.Second)
		c.requireResident("e0", model("a"), model("b"))
		c.plan("e0", model("b"), model("d"))
		time.Sleep(20 * time.Second)
		c.requireResident("e0", model("b"), model("d"))
	})
}

func TestEngineRestartIsReportedAndReloaded(t *testing.T) {
	runBoth(t, 1, func(c *cluster, _ bool) {
		a, e := c.start("n1", "n1"), c.engines["e0"]
		var mu sync.Mutex
		var restarted []string
		a.OnRestart = func(s string) { mu.Lock(); defer mu.Unlock(); restarted = append(restarted, s) }
		c.plan("e0", model("a"), model("b"))
		time.Sleep(15 * time.Second)
		e.restart()
		time.Sleep(15 * time.Second)
		c.requireResident("e0", model("a"), model("b"))
		mu.Lock()
		defer mu.Unlock()
		require.Equal(c.t, []string{"e0"}, restarted)
	})
}

// TestTableOutage checks orders during a table outage. The owner of a server that
// checks fencing numbers continues; the owner of one that doesn't sends nothing. An
// engine that restarted and forgot its fence gets no orders until the table is back.
// Afterwards both owners continue.
func TestTableOutage(t *testing.T) {
	runBoth(t, 1, func(c *cluster, checks bool) {
		a, e := c.start("n1", "n1"), c.engines["e0"]
		time.Sleep(5 * time.Second)
		c.setDown(true)
		time.Sleep(20 * time.Second)
		require.Equal(c.t, []string{"e0"}, a.owns(), "the owner keeps serving")
		c.plan("e0", model("a"))
		time.Sleep(40 * time.Second)
		require.Equal(c.t, checks, e.has(model("a")))
		e.restart()
		time.Sleep(20 * time.Second)
		c.requireResident("e0")
		c.setDown(false)
		time.Sleep(20 * time.Second)
		c.requireResident("e0", model("a"))
		require.Equal(c.t, []string{"e0"}, a.owns())
	})
}

func TestLostOrdersAndLostReplies(t *testing.T) {
	runBoth(t, 1, func(c *cluster, _ bool) {
		c.start("n1", "n1")
		e := c.engines["e0"]
		time.Sleep(3 * time.Second)
		e.set(func() { e.lostOrders = 2 })
		c.table.mu.Lock()
		c.table.lostReplies = 5
		c.table.mu.Unlock()
		c.plan("e0", model("a"), model("b"))
		time.Sleep(20 * time.Second)
		c.requireResident("e0", model("a"), model("b"))
	})
}

// TestWeightStoreSlots checks that concurrent loads across all servers don't exceed
// the slots of the weight store.
func TestWeightStoreSlots(t *testing.T) {
	run(t, true, 8, func(c *cluster) {
		c.start("n1", "n1", "n2")
		c.start("n2", "n1", "n2")
		time.Sleep(3 * time.Second)
		for name := range c.engines {
			c.plan(name, model("a"), model("b"))
		}
		maxLoading := 0
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			n := 0
			for _, e := range c.engines {
				e.set(func() { n += e.loading })
			}
			maxLoading = max(maxLoading, n)
		}
		require.Equal(c.t, 2, maxLoading)
		for name := range c.engines {
			c.requireResident(name, model("a"), model("b"))
		}
	})
}

func TestLeavingServerGetsNoOrders(t *testing.T) {
	run(t, true, 1, func(c *cluster) {
		a, e := c.start("n1", "n1"), c.engines["e0"]
		time.Sleep(3 * time.Second)
		e.set(func() { e.leaving = true })
		time.Sleep(1300 * time.Millisecond) // DefaultQuietPoll, its jitter of 20%, and a margin
		require.True(c.t, a.Views()[0].Leaving)
		c.plan("e0", model("a"))
		time.Sleep(5 * time.Second)
		c.requireResident("e0")
	})
}

// TestIdleCost checks that an idle owner writes one row per third of the session's
// time to live, regardless of how many servers it owns.
func TestIdleCost(t *testing.T) {
	run(t, true, 20, func(c *cluster) {
		c.start("n1", "n1")
		time.Sleep(30 * time.Second)
		before := c.table.count()
		time.Sleep(60 * time.Second)
		require.InDelta(c.t, 30, c.table.count()-before, 5)
	})
}

func TestServersOfOtherTypesAreNotOwned(t *testing.T) {
	run(t, true, 1, func(c *cluster) {
		c.doc.Servers[0].Type = config.Service
		a := c.start("n1", "n1")
		time.Sleep(3 * time.Second)
		require.Equal(c.t, []view.Server{}, a.Views())
	})
}
