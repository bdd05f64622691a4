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

// run runs f in fake time and stops all nodes after it.
func run(t *testing.T, checks bool, servers int, f func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, checks, servers)
		defer c.stopAll() // also after a failure, else fake time runs on for ever
		f(c)
		c.stopAll()
		c.peaksFit()
	})
}

// both runs f on servers that check fencing numbers and on ones that don't.
func both(t *testing.T, servers int, f func(c *cluster, checks bool)) {
	for name, checks := range map[string]bool{"checks": true, "does not check": false} {
		t.Run(name, func(t *testing.T) { run(t, checks, servers, func(c *cluster) { f(c, checks) }) })
	}
}

func TestOwnersShareServersAndExecutePlans(t *testing.T) {
	both(t, 6, func(c *cluster, _ bool) {
		a, b := c.start("n1", "n1", "n2"), c.start("n2", "n1", "n2")
		for name := range c.engines {
			c.plan(name, model("a"), model("b"))
		}
		time.Sleep(30 * time.Second)
		require.Len(c.t, append(a.owns(), b.owns()...), 6)
		require.NotEmpty(c.t, a.owns())
		require.NotEmpty(c.t, b.owns())
		for name := range c.engines {
			c.resident(name, model("a"), model("b"))
		}
		for _, v := range c.known() {
			require.Equal(c.t, []backend.Item{model("a"), model("b")}, v.Resident)
			require.Equal(c.t, int64(20), v.FreeBytes)
			require.True(c.t, v.Reachable)
		}
	})
}

func TestPlannedStopHandsOverAtOnce(t *testing.T) {
	both(t, 3, func(c *cluster, _ bool) {
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
	both(t, 1, func(c *cluster, _ bool) {
		a, b := c.start("n1", "n1"), c.start("n2", "n1")
		time.Sleep(5 * time.Second)
		require.Len(c.t, a.owns(), 1)
		a.freeze()
		b.setLive("n2")
		time.Sleep(4 * time.Second)
		require.Empty(c.t, b.owns(), "taken while the lease may run")
		time.Sleep(6 * time.Second)
		require.Len(c.t, b.owns(), 1)
		a.thaw()
		time.Sleep(5 * time.Second)
		require.Empty(c.t, a.owns())
		require.Len(c.t, b.owns(), 1)
	})
}

// TestInvariantMemoryNeverOvercommittedOwnerWakes: the owner's order has passed
// the lease check when its process stops for 25 s; another owner fills the
// server meanwhile; then the order is sent.
func TestInvariantMemoryNeverOvercommittedOwnerWakes(t *testing.T) {
	both(t, 1, func(c *cluster, checks bool) {
		a, b := c.start("n1", "n1"), c.start("n2", "n1")
		time.Sleep(5 * time.Second)
		sent := a.setTrap() // with its next order n1 is paused
		a.SetPlan("e0", []backend.Item{model("a"), model("b")})
		<-sent
		b.setLive("n2")
		b.SetPlan("e0", []backend.Item{model("c"), model("d")})
		time.Sleep(25 * time.Second)
		require.Len(c.t, b.owns(), 1)
		a.thaw()
		time.Sleep(90 * time.Second)
		c.peaksFit()
		require.Equal(c.t, checks, c.engines["e0"].refused() > 0)
		if checks {
			c.resident("e0", model("c"), model("d"))
		}
	})
}

// TestInvariantMemoryNeverOvercommittedOwnerCutOffFromTable: an owner that can't
// reach the table, while its rival can, learns from the engine that it is not
// the owner, and sends no order.
func TestInvariantMemoryNeverOvercommittedOwnerCutOffFromTable(t *testing.T) {
	both(t, 1, func(c *cluster, _ bool) {
		a, b := c.start("n1", "n1"), c.start("n2", "n1")
		time.Sleep(5 * time.Second)
		a.isolate(true, false)
		b.setLive("n2")
		b.SetPlan("e0", []backend.Item{model("c"), model("d")})
		time.Sleep(20 * time.Second)
		a.SetPlan("e0", []backend.Item{model("a"), model("b")})
		time.Sleep(20 * time.Second)
		c.resident("e0", model("c"), model("d"))
		require.Zero(c.t, c.engines["e0"].refused())
	})
}

// TestInvariantMemoryNeverOvercommittedRivalWhilePolling: while the table is out
// of its reach, an owner waits for the answer to a poll, and a rival raises the
// fence; the owner asks again before it sends.
func TestInvariantMemoryNeverOvercommittedRivalWhilePolling(t *testing.T) {
	run(t, true, 1, func(c *cluster) {
		a, b, e := c.start("n1", "n1"), c.start("n2", "n1"), c.engines["e0"]
		time.Sleep(5 * time.Second)
		e.set(func() {
			e.slow = 3 * time.Second
			e.raised = func(fence uint64) {
				if fence == 2 {
					a.SetPlan("e0", []backend.Item{model("a")})
				}
			}
		})
		a.isolate(true, false)
		b.setLive("n2")
		time.Sleep(25 * time.Second)
		require.Len(c.t, b.owns(), 1)
		require.Zero(c.t, e.refused(), "an order that the engine had to refuse")
	})
}

// TestInvariantMemoryNeverOvercommittedOldFenceInNewBoot: an owner that lost its
// lease before it could reach the engine reaches it when the engine has just
// restarted and forgotten the rival's fence.
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
		e.set(func() { e.slow = 3 * time.Second }) // the rival learns of it late
		time.Sleep(4 * time.Second)
		e.restart()
		a.isolate(true, false)
		time.Sleep(10 * time.Second)
		c.resident("e0")
	})
}

// TestInvariantMemoryNeverOvercommittedPausedAfterRecord: an owner keeps an order
// in the row of a server that doesn't check, is paused for longer than the
// order's lifetime, and wakes before it has checked its lease.
func TestInvariantMemoryNeverOvercommittedPausedAfterRecord(t *testing.T) {
	run(t, false, 1, func(c *cluster) {
		a, b := c.start("n1", "n1"), c.start("n2", "n1")
		time.Sleep(5 * time.Second)
		a.mu.Lock()
		a.record = make(chan struct{})
		kept := a.record
		a.mu.Unlock()
		a.SetPlan("e0", []backend.Item{model("a"), model("b")})
		<-kept
		b.setLive("n2")
		b.SetPlan("e0", []backend.Item{model("c"), model("d")})
		time.Sleep(60 * time.Second)
		a.thaw()
		time.Sleep(10 * time.Second)
		c.resident("e0", model("c"), model("d"))
	})
}

// TestInvariantMemoryNeverOvercommittedFenceBeforeInventory: the new owner has
// given no order yet, and the old one's order is refused all the same.
func TestInvariantMemoryNeverOvercommittedFenceBeforeInventory(t *testing.T) {
	run(t, true, 1, func(c *cluster) {
		a, b := c.start("n1", "n1"), c.start("n2", "n1")
		time.Sleep(5 * time.Second)
		sent := a.setTrap()
		a.SetPlan("e0", []backend.Item{model("a")})
		<-sent
		b.setLive("n2")
		time.Sleep(25 * time.Second)
		a.thaw()
		time.Sleep(5 * time.Second)
		require.Equal(c.t, 1, c.engines["e0"].refused())
		c.resident("e0")
	})
}

// TestInvariantMemoryNeverOvercommittedOrderArrivesLate: each load order arrives
// 29 s late, when its item has been given up for others.
func TestInvariantMemoryNeverOvercommittedOrderArrivesLate(t *testing.T) {
	both(t, 1, func(c *cluster, _ bool) {
		a, e := c.start("n1", "n1"), c.engines["e0"]
		time.Sleep(3 * time.Second)
		e.set(func() { e.late = 29 * time.Second })
		a.SetPlan("e0", []backend.Item{model("a"), model("b")})
		time.Sleep(1500 * time.Millisecond)
		e.set(func() { e.late = 0 })
		c.doc.Models = c.doc.Models[2:]
		a.SetDocument(c.doc, 2)
		a.SetPlan("e0", []backend.Item{model("c"), model("d")})
		time.Sleep(100 * time.Second)
		c.peaksFit()
		c.resident("e0", model("c"), model("d"))
	})
}

// TestInvariantReachableDuringVersionChange: on a server with room for both
// versions the new one serves before the old one goes; on a full one the old
// one stays.
func TestInvariantReachableDuringVersionChange(t *testing.T) {
	both(t, 1, func(c *cluster, _ bool) {
		a, e := c.start("n1", "n1"), c.engines["e0"]
		c.plan("e0", model("a"))
		time.Sleep(10 * time.Second)
		c.resident("e0", model("a"))
		next := backend.Item{Name: "a", Version: "2"}
		e.set(func() {
			e.served = func() {
				require.True(c.t, e.items[model("a")] == backend.Resident || e.items[next] == backend.Resident)
			}
		})
		c.doc.Models[0].Version = "2"
		a.SetDocument(c.doc, 2)
		c.plan("e0", next)
		time.Sleep(20 * time.Second)
		c.resident("e0", next)

		c.plan("e0", next, model("b"))
		time.Sleep(20 * time.Second)
		c.doc.Models[1].Version = "2"
		a.SetDocument(c.doc, 3)
		c.plan("e0", next, backend.Item{Name: "b", Version: "2"})
		time.Sleep(60 * time.Second)
		c.resident("e0", next, model("b"))
		require.Positive(c.t, testutil.ToFloat64(a.Metrics.Refused.WithLabelValues("last-copy")))
	})
}

// TestInvariantReachableLastCopyStays: two owners are told at the same moment to
// put something else in place of the only two copies of a model.
func TestInvariantReachableLastCopyStays(t *testing.T) {
	both(t, 6, func(c *cluster, _ bool) {
		c.start("n1", "n1", "n2")
		c.start("n2", "n1", "n2")
		time.Sleep(5 * time.Second)
		one, two := c.nodes[0].owns()[0], c.nodes[1].owns()[0]
		c.plan(one, model("a"), model("b"))
		c.plan(two, model("a"), model("b"))
		time.Sleep(20 * time.Second)
		for _, e := range c.engines {
			e.set(func() { e.slow = 500 * time.Millisecond })
		}
		c.old = c.known() // from now on views are old
		c.plan(one, model("c"), model("d"))
		c.plan(two, model("c"), model("d"))
		time.Sleep(120 * time.Second)
		for _, m := range []string{"a", "b"} {
			require.True(c.t, c.engines[one].has(model(m)) || c.engines[two].has(model(m)), "last copy of %s", m)
		}
		require.Equal(c.t, 2, c.engines[one].unloaded()+c.engines[two].unloaded(), "spare copies make room")
	})
}

// TestClaimOfEarlierOwnerEnds starts an owner on a server whose earlier owner
// left the claim of an unload: it ends once the ledger shows that the order is
// settled, not when it expires after a minute.
func TestClaimOfEarlierOwnerEnds(t *testing.T) {
	both(t, 2, func(c *cluster, _ bool) {
		left := `{"token":"gone/0/1","for":"e0 a@1","server":"e0","item":{"name":"a","version":"1"},"ttl-ms":60000}`
		c.table.commit(row.Tx{}.Put("owner/unload/+a", []byte(left)))
		c.start("n1", "n1")
		c.plan("e0", model("a"), model("b"))
		c.plan("e1", model("a"), model("c"))
		time.Sleep(20 * time.Second)
		c.resident("e0", model("a"), model("b"))
		c.plan("e0", model("b"), model("d"))
		time.Sleep(20 * time.Second)
		c.resident("e0", model("b"), model("d"))
	})
}

func TestEngineRestartIsToldAndReloaded(t *testing.T) {
	both(t, 1, func(c *cluster, _ bool) {
		a, e := c.start("n1", "n1"), c.engines["e0"]
		var mu sync.Mutex
		var told []string
		a.OnRestart = func(s string) { mu.Lock(); defer mu.Unlock(); told = append(told, s) }
		c.plan("e0", model("a"), model("b"))
		time.Sleep(15 * time.Second)
		e.restart()
		time.Sleep(15 * time.Second)
		c.resident("e0", model("a"), model("b"))
		mu.Lock()
		defer mu.Unlock()
		require.Equal(c.t, []string{"e0"}, told)
	})
}

// TestTableOutage: the owner of a server that checks goes on, of one that
// doesn't sends nothing; both go on when the table is back, and an engine that
// restarted and forgot its fence gets nothing until then.
func TestTableOutage(t *testing.T) {
	both(t, 1, func(c *cluster, checks bool) {
		a, e := c.start("n1", "n1"), c.engines["e0"]
		time.Sleep(5 * time.Second)
		c.setDown(true)
		time.Sleep(20 * time.Second)
		require.Equal(c.t, []string{"e0"}, a.owns(), "serving goes on")
		c.plan("e0", model("a"))
		time.Sleep(40 * time.Second)
		require.Equal(c.t, checks, e.has(model("a")))
		e.restart()
		time.Sleep(20 * time.Second)
		c.resident("e0")
		c.setDown(false)
		time.Sleep(20 * time.Second)
		c.resident("e0", model("a"))
		require.Equal(c.t, []string{"e0"}, a.owns())
	})
}

func TestLostOrdersAndLostAnswers(t *testing.T) {
	both(t, 1, func(c *cluster, _ bool) {
		c.start("n1", "n1")
		e := c.engines["e0"]
		time.Sleep(3 * time.Second)
		e.set(func() { e.lose = 2 })
		c.table.mu.Lock()
		c.table.mute = 5
		c.table.mu.Unlock()
		c.plan("e0", model("a"), model("b"))
		time.Sleep(20 * time.Second)
		c.resident("e0", model("a"), model("b"))
	})
}

// TestWeightStoreSlots: loads on all servers together keep to the slots.
func TestWeightStoreSlots(t *testing.T) {
	run(t, true, 8, func(c *cluster) {
		c.start("n1", "n1", "n2")
		c.start("n2", "n1", "n2")
		time.Sleep(3 * time.Second)
		for name := range c.engines {
			c.plan(name, model("a"), model("b"))
		}
		most := 0
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			n := 0
			for _, e := range c.engines {
				e.set(func() { n += e.loading })
			}
			most = max(most, n)
		}
		require.Equal(c.t, 2, most)
		for name := range c.engines {
			c.resident(name, model("a"), model("b"))
		}
	})
}

func TestLeavingServerGetsNothing(t *testing.T) {
	run(t, true, 1, func(c *cluster) {
		a, e := c.start("n1", "n1"), c.engines["e0"]
		time.Sleep(3 * time.Second)
		e.set(func() { e.leaving = true })
		time.Sleep(1300 * time.Millisecond) // DefaultQuietPoll, a fifth of it, and a margin
		require.True(c.t, a.Views()[0].Leaving)
		c.plan("e0", model("a"))
		time.Sleep(5 * time.Second)
		c.resident("e0")
	})
}

// TestIdleCost: an owner at rest writes one row each third of the session's
// time to live, however many servers it has.
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
