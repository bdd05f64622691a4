package head_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"guavapaddle/core/config/head"
	"guavapaddle/core/row"
)

const (
	operators = 8
	nodes     = 3
)

// raceActions are the random steps of operators.
func raceActions(w *world) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"operator reads":  w.operatorReads,
		"operator sends":  w.operatorSends,
		"call arrives":    w.callArrives,
		"operator judges": w.operatorJudges,
		"outage":          w.outage,
	}
}

// followActions are the random steps of nodes, with an operator who applies
// undisturbed.
func followActions(w *world) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"operator applies": w.operatorApplies,
		"outage":           w.outage,
		"node catches up":  w.nodeCatchesUp,
		"node reads":       w.nodeReads,
		"node asks":        w.nodeAsks,
		"node tells":       w.nodeTells,
		"message arrives":  w.messageArrives,
		"node fetches":     w.nodeFetches,
		"body arrives":     w.bodyArrives,
		"node restarts":    w.nodeRestarts,
		"node pauses":      w.nodePauses,
		"node wakes":       w.nodeWakes,
		"node trusts":      w.nodeTrusts,
	}
}

// drive takes random steps and calls check after each.
func drive(t *rapid.T, actions map[string]func(*rapid.T), check func(*rapid.T)) {
	actions[""] = check
	t.Repeat(actions)
}

// TestInvariantOperatorsRace shows that racing operators, of whose answers
// half are lost or late, make exactly one history, and that each is told the
// truth.
func TestInvariantOperatorsRace(t *testing.T) {
	told := map[head.Verdict]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(operators, 0)
		drive(t, raceActions(w), func(t *rapid.T) {
			for i, h := range w.history {
				if h.Version != uint64(i+1) {
					t.Fatalf("version %d stands at place %d of the history", h.Version, i+1)
				}
			}
		})
		for _, p := range w.onTheWay { // whatever was on its way arrives at last
			w.transact(p)
		}
		accepted := map[string]int{}
		for _, h := range w.history {
			accepted[h.ApplyID]++
		}
		for id, v := range w.told {
			told[v]++
			want := 0
			if v == head.Won || v == head.Superseded {
				want = 1
			}
			if accepted[id] != want {
				t.Fatalf("%s was told %s and was accepted %d times", id, v, accepted[id])
			}
		}
	})
	t.Logf("told: %v", told)
	require.NotZero(t, told[head.Won])
	require.NotZero(t, told[head.Lost])
	require.NotZero(t, told[head.Superseded])
}

// TestInvariantConfigurationNeverReverts shows that no node goes back, that
// what it has in force was accepted, and that once a version was in force on
// all live nodes no node that admits requests has an older one, whatever is
// restarted or paused while the platform is down.
func TestInvariantConfigurationNeverReverts(t *testing.T) {
	deepest := uint64(0)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(0, nodes)
		type life struct {
			n      *node
			ref    uint64
			target uint64
		}
		before := make([]life, nodes)
		drive(t, followActions(w), func(t *rapid.T) {
			everywhere, alive := ^uint64(0), false
			for i, n := range w.nodes {
				ref := n.InForce()
				if before[i].n == n && (ref.Version < before[i].ref || n.Target().Version < before[i].target) {
					t.Fatalf("node %d went from version %d back to %d", i, before[i].ref, ref.Version)
				}
				before[i] = life{n: n, ref: ref.Version, target: n.Target().Version}
				if ref.Version > 0 && w.history[ref.Version-1].Ref() != ref {
					t.Fatalf("node %d has %v in force, which was not accepted", i, ref)
				}
				if !n.paused {
					everywhere, alive = min(everywhere, ref.Version), true
				}
				if !n.paused && n.Fresh() && ref.Version < w.floor {
					t.Fatalf("node %d admits under version %d after %d was in force everywhere", i, ref.Version, w.floor)
				}
			}
			if alive {
				w.floor = max(w.floor, everywhere)
			}
		})
		deepest = max(deepest, w.floor)
	})
	t.Logf("highest version in force everywhere: %d", deepest)
	require.NotZero(t, deepest)
}

func TestJudge(t *testing.T) {
	mine := head.Head{Version: 5, Hash: "m", ApplyID: "mine"}
	stored := func(h head.Head) row.Row {
		tx := head.Advance(row.Row{}, h)
		return row.Row{Key: head.Key, Value: tx.Writes[0].Value, Revision: h.Version}
	}
	other := func(v uint64) head.Head { return head.Head{Version: v, Hash: "o", ApplyID: "other"} }
	tests := []struct {
		name          string
		head, history row.Row
		want          head.Verdict
	}{
		{"in force", stored(mine), stored(mine), head.Won},
		{"another came after", stored(other(6)), stored(mine), head.Superseded},
		{"another came instead", stored(other(5)), stored(other(5)), head.Lost},
		{"another came instead and one after", stored(other(6)), stored(other(5)), head.Lost},
		{"nothing came yet", stored(other(4)), row.Row{}, head.Pending},
		{"empty table", row.Row{}, row.Row{}, head.Pending},
		{"history pruned", stored(other(5 + head.HistoryLength)), row.Row{}, head.Forgotten},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			j, err := head.Judge(mine, tt.head, tt.history)
			require.NoError(t, err)
			require.Equal(t, tt.want, j.Verdict)
		})
	}
}

func TestMalformedRow(t *testing.T) {
	for _, value := range []string{"", "x", "{}", `{"version":3}`, `{"version":-1,"hash":"h"}`} {
		_, err := head.Parse(row.Row{Key: head.Key, Value: []byte(value), Revision: 1})
		var malformed *head.MalformedError
		require.ErrorAs(t, err, &malformed, value)
	}
}

func TestHistoryIsPruned(t *testing.T) {
	w := newWorld(0, 0)
	for range head.HistoryLength + 10 {
		p, err := head.Propose(w.row(head.Key), "h", "id", "op", 0)
		require.NoError(t, err)
		require.True(t, w.transact(p))
	}
	require.Len(t, w.rows, head.HistoryLength+1)
}

func TestForkIsRefused(t *testing.T) {
	f, err := head.Follower{}.WithRead(0, head.Ref{Version: 3, Hash: "a"})
	require.NoError(t, err)
	_, err = f.WithAnswer(0, head.Ref{Version: 3, Hash: "b"}, true)
	var fork *head.ForkError
	require.ErrorAs(t, err, &fork)
}
