package placer_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/fleet"
	"guavapaddle/platform/standin"
)

func TestOneNodeHoldsTheLeaseAndAnotherTakesItWhenItEnds(t *testing.T) {
	s := standin.NewStore(t)
	a := start(t, s, "a", never)
	eventually(t, "first", a.Holding)
	b := start(t, s, "b", never)
	eventually(t, "the second knows the first", func() bool { l, ok := b.Leader(); return ok && l.Node == "a" })
	require.False(t, b.Holding())
	a.Release(context.Background())
	eventually(t, "released", b.Holding)
	l, _ := b.Leader()
	require.EqualValues(t, 2, l.Epoch)
	eventually(t, "the first stops", func() bool { return !a.Holding() })
}

// TestALeaseIsGivenUpThoughARenewalIsUnderWay has a holder stop while the store has
// done its renewal but not answered it.
func TestALeaseIsGivenUpThoughARenewalIsUnderWay(t *testing.T) {
	s := standin.NewStore(t)
	a := start(t, s, "a", never)
	eventually(t, "first", a.Holding)
	b := start(t, s, "b", never)
	eventually(t, "the second knows the first", func() bool { l, ok := b.Leader(); return ok && l.Node == "a" })
	before := s.Row("lease", "orders").Version
	s.LoseAnswers(1)
	eventually(t, "a renewal is done", func() bool { return s.Row("lease", "orders").Version > before })
	a.Release(context.Background())
	eventually(t, "the second holds it", b.Holding)
}

func TestARenewalWhoseAnswerIsLostKeepsTheLease(t *testing.T) {
	s := standin.NewStore(t)
	a := start(t, s, "a", never)
	eventually(t, "first", a.Holding)
	before := s.Row("lease", "orders").Version
	s.LoseAnswers(2)
	eventually(t, "renewed", func() bool { return s.Row("lease", "orders").Version >= before+4 })
	eventually(t, "still holding", a.Holding)
	l, _ := a.Leader()
	require.EqualValues(t, 1, l.Epoch)
	require.Equal(t, 1, a.began)
}

func TestWithoutTheStoreOrdersEndWhereEnginesDoNotCheckEpochs(t *testing.T) {
	s := standin.NewStore(t)
	a := start(t, s, "a", never)
	a.Fencing = false
	eventually(t, "first", a.Holding)
	s.Outage(true)
	eventually(t, "stops", func() bool { return !a.Holding() })
	s.Outage(false)
	eventually(t, "goes on", a.Holding)
}

// TestTheLoadsOfTheHolderBeforeCount lets a holder begin all loads that a window
// allows and hand the lease over: the next one waits with more of them.
func TestTheLoadsOfTheHolderBeforeCount(t *testing.T) {
	s := standin.NewStore(t)
	c := configOf(fleet.Engine{WeightsMB: 2300000, LoadsPerS: 1}, 9, 0)
	var list []*standin.Worker
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7", "i-8", "i-9"} {
		list = append(list, (&standin.Worker{ID: id}).Start(t))
	}
	loaded := func() int {
		n := 0
		for _, w := range list {
			n += len(w.Models())
		}
		return n
	}
	tell := func(h *holder) {
		var servers []fleet.Server
		for _, w := range list {
			servers = append(servers, listed(w))
		}
		h.Config(c)
		h.Servers(servers)
	}
	a := start(t, s, "a", never)
	tell(a)
	eventually(t, "a window's loads", func() bool { return loaded() == 5 })
	a.Release(context.Background())
	b := start(t, s, "b", never)
	tell(b)
	eventually(t, "released", b.Holding)
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); {
		require.LessOrEqual(t, loaded(), 6, "one is always allowed")
	}
	require.Equal(t, 6, loaded())
}
