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

// late makes orders take effect late, but within their lifetime.
const late = `{"order-delay-ms":5000}`

// tight returns a document whose engines, of which the first checks who gives
// orders and the second does not, have room for all items and for one more
// version of drafter while it loads.
func tight(t *testing.T) *config.Document {
	doc := session.Small(t, 2, 1)
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

// version applies a document with another version of drafter.
func version(t *testing.T, s *session.System, v string) {
	s.Document.Models[0].Version = v
	code, out := s.Apply(s.Document)
	require.Equal(t, 0, code, out)
}

// ordered waits until an engine has been given an order since before.
func ordered(s *session.System, server string, before int64) {
	s.Eventually("an order to "+server, func() bool { return s.Counters(s.Servers[server])["orders"] > before })
}

// sound demands by the engines' own counters that none was ever asked to hold
// more than it can.
func sound(t *testing.T, s *session.System) {
	t.Helper()
	for _, b := range s.Document.Servers {
		if b.Type != config.Engine || s.Servers[b.Name].Ended() {
			continue
		}
		c := s.Counters(s.Servers[b.Name])
		t.Logf("%s: %v", b.Name, c)
		require.Zero(t, c["memory-violations"], b.Name)
		require.Zero(t, c["overcommit-refused"], "%s was given an order that does not fit: %v", b.Name, c)
		require.LessOrEqual(t, c["peak-memory-bytes"], b.MemoryBytes, b.Name)
	}
}

// settledAt waits until both engines hold one version of drafter and no other,
// and it answers.
func settledAt(t *testing.T, s *session.System, node int, v string) {
	s.Eventually("version "+v+" on both engines and no other", func() bool {
		r, err := s.Status(node)
		if err != nil || count(r, "drafter", v) != 2 {
			return false
		}
		for other := 1; other <= 4; other++ {
			if o := fmt.Sprint(other); o != v && count(r, "drafter", o) != 0 {
				return false
			}
		}
		return true
	})
	a := s.Do(node, http.MethodPost, chat, session.Whole("drafter", "after the change", 5))
	require.Equal(t, http.StatusOK, a.Status, a.Body)
}

// TestInvariantMemoryPausedOwner freezes the owner of an engine while its order
// is on its way, until another node owns the engine and orders another version;
// then the first goes on. One engine checks who gives orders, the other not.
func TestInvariantMemoryPausedOwner(t *testing.T) {
	t.Parallel()
	for _, server := range []string{"gpu-1", "gpu-2"} {
		t.Run(server, func(t *testing.T) {
			t.Parallel()
			s := session.New(t, tight(t), session.Options{})
			s.StartNodes(3)
			t.Cleanup(func() { sound(t, s) })
			s.Fault(s.Servers["gpu-1"], "/fault", `{"order-delay-ms":9000}`) // meets the next owner's fence
			s.Fault(s.Servers["gpu-2"], "/fault", late)                      // within the lifetime
			before := s.Counters(s.Servers[server])["orders"]
			paused := s.Owner(0, server)
			require.GreaterOrEqual(t, paused, 0)
			watch := without(3, paused)[0]
			version(t, s, "2")
			ordered(s, server, before)
			s.Nodes[paused].Signal(syscall.SIGSTOP)
			s.Eventually("another owner", func() bool {
				owner := s.Owner(watch, server)
				return owner >= 0 && owner != paused
			})
			for _, name := range []string{"gpu-1", "gpu-2"} {
				s.Fault(s.Servers[name], "/fault", `{}`)
			}
			s.Document.Models[0].Version = "3"
			s.ApplyFrom(watch, s.Document)
			s.Nodes[paused].Signal(syscall.SIGCONT)
			settledAt(t, s, watch, "3")
		})
	}
}

// TestInvariantMemoryLateOrder gives items up while the orders to load them are
// still on their way: they take effect late or never, and nothing else is
// loaded in their place before that is certain.
func TestInvariantMemoryLateOrder(t *testing.T) {
	t.Parallel()
	s := session.New(t, tight(t), session.Options{})
	s.StartNodes(2)
	t.Cleanup(func() { sound(t, s) })
	for _, name := range []string{"gpu-1", "gpu-2"} {
		s.Fault(s.Servers[name], "/fault", late)
	}
	before := s.Counters(s.Servers["gpu-2"])["orders"]
	version(t, s, "2")
	ordered(s, "gpu-2", before)
	version(t, s, "3")
	for _, name := range []string{"gpu-1", "gpu-2"} {
		s.Fault(s.Servers[name], "/fault", `{"lose-orders":1}`)
	}
	settledAt(t, s, 0, "3")
}

// TestInvariantMemoryOwnerStops stops the owner of an engine that does not
// check while its order is on its way. The next owner has the engine at once,
// and must count on the order until its lifetime is over.
func TestInvariantMemoryOwnerStops(t *testing.T) {
	t.Parallel()
	s := session.New(t, tight(t), session.Options{})
	s.StartNodes(3)
	t.Cleanup(func() { sound(t, s) })
	owner := s.Owner(0, "gpu-2")
	require.GreaterOrEqual(t, owner, 0)
	watch := without(3, owner)[0]
	for _, name := range []string{"gpu-1", "gpu-2"} {
		s.Fault(s.Servers[name], "/fault", late)
	}
	before := s.Counters(s.Servers["gpu-2"])["orders"]
	version(t, s, "2")
	ordered(s, "gpu-2", before)
	for _, name := range []string{"gpu-1", "gpu-2"} {
		s.Fault(s.Servers[name], "/fault", `{}`)
	}
	require.Equal(t, 0, s.Nodes[owner].Terminate())
	version(t, s, "3")
	settledAt(t, s, watch, "3")
}
