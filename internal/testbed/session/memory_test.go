package session_test

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/config"
	"guavapaddle/internal/testbed/session"
)

// delayedOrders makes orders take effect late, but within their lifetime.
const delayedOrders = `{"order-delay-ms":5000}`

// tightMemoryDocument returns a document with two engines, of which only the first checks
// fencing numbers. Each has memory for all items and for one more version of drafter
// while that loads.
func tightMemoryDocument(t *testing.T) *config.Document {
	doc := session.SmallDocument(t, 2, 1)
	for i := range doc.Models {
		doc.Models[i].MinCopies = 2
	}
	for i := range doc.Servers {
		if doc.Servers[i].Type == config.Engine {
			// KV reserve, drafter, checker, adapter, and drafter at its load peak
			doc.Servers[i].OrderLifetimeMS = 6000
			doc.Servers[i].MemoryBytes = 4_000_000_000 + 8_000_000_000 + 4_000_000_000 + 500_000_000 + 8_900_000_000
		}
	}
	return doc
}

// applyVersion applies the document with another version of drafter.
func applyVersion(t *testing.T, s *session.System, v string) {
	s.Document.Models[0].Version = v
	code, out := s.Apply(s.Document)
	require.Equal(t, 0, code, out)
}

// awaitOrder waits until the number of orders that an engine has received exceeds before.
func awaitOrder(s *session.System, server string, before int64) {
	s.Eventually("an order to "+server, func() bool { return s.Counters(s.Servers[server])["orders"] > before })
}

// requireMemoryBounds checks the engines' own counters: none may have been ordered to hold
// more than fits into its memory.
func requireMemoryBounds(t *testing.T, s *session.System) {
	t.Helper()
	for _, b := range s.Document.Servers {
		if b.Type != config.Engine || s.Servers[b.Name].Exited() {
			continue
		}
		c := s.Counters(s.Servers[b.Name])
		t.Logf("%s: %v", b.Name, c)
		require.Zero(t, c["memory-violations"], b.Name)
		require.Zero(t, c["overcommit-refused"], "%s received an order that does not fit: %v", b.Name, c)
		require.LessOrEqual(t, c["peak-memory-bytes"], b.MemoryBytes, b.Name)
	}
}

// awaitVersion waits until both engines hold the given version of drafter and no other, and
// checks that the model is served.
func awaitVersion(t *testing.T, s *session.System, node int, v string) {
	s.Eventually("only version "+v+" to be resident on both engines", func() bool {
		r, err := s.Status(node)
		if err != nil || countResident(r, "drafter", v) != 2 {
			return false
		}
		for other := 1; other <= 4; other++ {
			if o := fmt.Sprint(other); o != v && countResident(r, "drafter", o) != 0 {
				return false
			}
		}
		return true
	})
	a := s.Do(node, http.MethodPost, chat, session.UnstreamedChat("drafter", "after the change", 5))
	require.Equal(t, http.StatusOK, a.Status, a.Body)
}

// TestInvariantMemoryPausedOwner freezes the owner of an engine while its order is in
// flight, until another node owns the engine and orders another version; then the first
// owner resumes. It guards against memory that is overcommitted because the old owner's
// order takes effect late. One engine checks fencing numbers, the other does not.
func TestInvariantMemoryPausedOwner(t *testing.T) {
	t.Parallel()
	for _, server := range []string{"gpu-1", "gpu-2"} {
		t.Run(server, func(t *testing.T) {
			t.Parallel()
			s := session.New(t, tightMemoryDocument(t), session.Options{})
			s.StartNodes(3)
			t.Cleanup(func() { requireMemoryBounds(t, s) })
			s.SetFaults(s.Servers["gpu-1"], "/fault", `{"order-delay-ms":9000}`) // arrives after the next owner's fence
			s.SetFaults(s.Servers["gpu-2"], "/fault", delayedOrders)             // within the order's lifetime
			before := s.Counters(s.Servers[server])["orders"]
			paused := s.Owner(0, server)
			require.GreaterOrEqual(t, paused, 0)
			observer := allExcept(3, paused)[0]
			applyVersion(t, s, "2")
			awaitOrder(s, server, before)
			s.Nodes[paused].Signal(syscall.SIGSTOP)
			s.Eventually("a new owner", func() bool {
				owner := s.Owner(observer, server)
				return owner >= 0 && owner != paused
			})
			for _, name := range []string{"gpu-1", "gpu-2"} {
				s.SetFaults(s.Servers[name], "/fault", `{}`)
			}
			s.Document.Models[0].Version = "3"
			s.ApplyOnNode(observer, s.Document)
			s.Nodes[paused].Signal(syscall.SIGCONT)
			awaitVersion(t, s, observer, "3")
		})
	}
}

// TestInvariantMemoryLateOrder removes items from the configuration while the orders to load
// them are still in flight, so that they take effect late or never. Nothing else may be
// loaded into their memory until that is settled.
func TestInvariantMemoryLateOrder(t *testing.T) {
	t.Parallel()
	s := session.New(t, tightMemoryDocument(t), session.Options{})
	s.StartNodes(2)
	t.Cleanup(func() { requireMemoryBounds(t, s) })
	for _, name := range []string{"gpu-1", "gpu-2"} {
		s.SetFaults(s.Servers[name], "/fault", delayedOrders)
	}
	before := s.Counters(s.Servers["gpu-2"])["orders"]
	applyVersion(t, s, "2")
	awaitOrder(s, "gpu-2", before)
	applyVersion(t, s, "3")
	for _, name := range []string{"gpu-1", "gpu-2"} {
		s.SetFaults(s.Servers[name], "/fault", `{"lose-orders":1}`)
	}
	awaitVersion(t, s, 0, "3")
}

// TestInvariantMemoryOwnerStops stops the owner of an engine that does not verify the epoch
// of orders while its order is in flight. The next owner takes over immediately and must
// reserve memory for the order until the order's lifetime has passed.
func TestInvariantMemoryOwnerStops(t *testing.T) {
	t.Parallel()
	s := session.New(t, tightMemoryDocument(t), session.Options{})
	s.StartNodes(3)
	t.Cleanup(func() { requireMemoryBounds(t, s) })
	owner := s.Owner(0, "gpu-2")
	require.GreaterOrEqual(t, owner, 0)
	observer := allExcept(3, owner)[0]
	for _, name := range []string{"gpu-1", "gpu-2"} {
		s.SetFaults(s.Servers[name], "/fault", delayedOrders)
	}
	before := s.Counters(s.Servers["gpu-2"])["orders"]
	applyVersion(t, s, "2")
	awaitOrder(s, "gpu-2", before)
	for _, name := range []string{"gpu-1", "gpu-2"} {
		s.SetFaults(s.Servers[name], "/fault", `{}`)
	}
	require.Equal(t, 0, s.Nodes[owner].Terminate())
	applyVersion(t, s, "3")
	awaitVersion(t, s, observer, "3")
}
