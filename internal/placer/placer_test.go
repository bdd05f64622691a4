package placer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/fleet"
	"guavapaddle/platform/standin"
)

func TestDeclaredModelWithoutCopyIsLoaded(t *testing.T) {
	s := standin.NewStore(t)
	w := (&standin.Worker{ID: "i-1"}).Hold("m0").Start(t)
	a := startPlacer(t, s, "a", leaderUnreachable)
	a.SetConfig(twoModelConfig())
	a.SetServers([]fleet.Server{entryOf(w)})
	eventually(t, "loaded", func() bool { _, ok := w.Models()["m1"]; return ok })
	o := w.Orders()[0]
	require.Equal(t, "model_load", o["operation"])
	require.EqualValues(t, 0, o["expected"])
	require.EqualValues(t, 1, o["fencing-token"])
	require.Equal(t, "a", o["holder"])
}

func TestUnansweredOrderRunsAtMostOnce(t *testing.T) {
	s := standin.NewStore(t)
	w := (&standin.Worker{ID: "i-1"}).Hold("m0").Start(t)
	w.LoseOrders(1)
	a := startPlacer(t, s, "a", leaderUnreachable)
	a.SetConfig(twoModelConfig())
	a.SetServers([]fleet.Server{entryOf(w)})
	eventually(t, "sent again", func() bool { return len(w.Orders()) >= 2 })
	for _, o := range w.Orders()[:2] {
		require.EqualValues(t, 0, o["expected"], "both carry the same sequence number")
		require.Equal(t, "m1", o["model"])
	}
	eventually(t, "loaded", func() bool { _, ok := w.Models()["m1"]; return ok })
	w.RunUnanswered()
	require.Len(t, w.Models(), 2, "the late order has an outdated sequence number")
}
