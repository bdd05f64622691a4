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

// operatorActions are the random steps of racing operators.
func operatorActions(s *simulation) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"operator reads":  s.operatorReads,
		"operator sends":  s.operatorSends,
		"call arrives":    s.callArrives,
		"operator judges": s.operatorJudges,
		"outage":          s.outage,
	}
}

// nodeActions are the random steps of nodes, with an operator who applies without
// competition.
func nodeActions(s *simulation) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"operator applies":                    s.operatorApplies,
		"outage":                              s.outage,
		"node catches up":                     s.nodeCatchesUp,
		"node reads":                          s.nodeReads,
		"node asks a peer":                    s.nodeQueriesPeer,
		"node sends a hint":                   s.nodeSendsHint,
		"message arrives":                     s.messageArrives,
		"node fetches":                        s.nodeFetches,
		"body arrives":                        s.bodyArrives,
		"node restarts":                       s.nodeRestarts,
		"node pauses":                         s.nodePauses,
		"node wakes up":                       s.nodeResumes,
		"node treats its target as confirmed": s.nodeAssumesConfirmed,
	}
}

// runSteps takes random steps and calls check after each.
func runSteps(t *rapid.T, actions map[string]func(*rapid.T), check func(*rapid.T)) {
	actions[""] = check
	t.Repeat(actions)
}

// TestInvariantOperatorsRace checks that racing operators produce exactly one
// history, and that each gets a correct verdict, although half of their responses
// are lost or delayed.
func TestInvariantOperatorsRace(t *testing.T) {
	verdicts := map[head.Verdict]int{}
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(operators, 0)
		runSteps(t, operatorActions(s), func(t *rapid.T) {
			for i, h := range s.history {
				if h.Version != uint64(i+1) {
					t.Fatalf("version %d is at position %d of the history", h.Version, i+1)
				}
			}
		})
		for _, p := range s.inFlight { // all calls in flight arrive in the end
			s.transact(p)
		}
		accepted := map[string]int{}
		for _, h := range s.history {
			accepted[h.ApplyID]++
		}
		for id, v := range s.verdicts {
			verdicts[v]++
			want := 0
			if v == head.Won || v == head.Superseded {
				want = 1
			}
			if accepted[id] != want {
				t.Fatalf("%s got verdict %s and was accepted %d times", id, v, accepted[id])
			}
		}
	})
	t.Logf("verdicts: %v", verdicts)
	require.NotZero(t, verdicts[head.Won])
	require.NotZero(t, verdicts[head.Lost])
	require.NotZero(t, verdicts[head.Superseded])
}

// TestInvariantConfigurationNeverReverts checks that a node never reverts to an
// older version and that the versions in force were accepted. Once a version was
// in force on all running nodes, no node may admit requests under an older one,
// whichever nodes are restarted or paused while the platform is down.
func TestInvariantConfigurationNeverReverts(t *testing.T) {
	highest := uint64(0)
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(0, nodes)
		type nodeState struct {
			n      *node
			ref    uint64
			target uint64
		}
		previous := make([]nodeState, nodes)
		runSteps(t, nodeActions(s), func(t *rapid.T) {
			everywhere, alive := ^uint64(0), false
			for i, n := range s.nodes {
				ref := n.InForce()
				if previous[i].n == n && (ref.Version < previous[i].ref || n.Target().Version < previous[i].target) {
					t.Fatalf("node %d reverted from version %d to %d", i, previous[i].ref, ref.Version)
				}
				previous[i] = nodeState{n: n, ref: ref.Version, target: n.Target().Version}
				if ref.Version > 0 && s.history[ref.Version-1].Ref() != ref {
					t.Fatalf("node %d has %v in force, which was not accepted", i, ref)
				}
				if !n.paused {
					everywhere, alive = min(everywhere, ref.Version), true
				}
				if !n.paused && n.Fresh() && ref.Version < s.maxInForce {
					t.Fatalf("node %d admits requests under version %d after %d was in force on all running nodes", i, ref.Version, s.maxInForce)
				}
			}
			if alive {
				s.maxInForce = max(s.maxInForce, everywhere)
			}
		})
		highest = max(highest, s.maxInForce)
	})
	t.Logf("highest version in force on all running nodes: %d", highest)
	require.NotZero(t, highest)
}

func TestJudge(t *testing.T) {
	own := head.Head{Version: 5, Hash: "m", ApplyID: "mine"}
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
		{"in force", stored(own), stored(own), head.Won},
		{"another accepted afterwards", stored(other(6)), stored(own), head.Superseded},
		{"another accepted instead", stored(other(5)), stored(other(5)), head.Lost},
		{"another accepted instead and one afterwards", stored(other(6)), stored(other(5)), head.Lost},
		{"not accepted yet", stored(other(4)), row.Row{}, head.Pending},
		{"empty table", row.Row{}, row.Row{}, head.Pending},
		{"history pruned", stored(other(5 + head.HistoryLength)), row.Row{}, head.Forgotten},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			j, err := head.Judge(own, tt.head, tt.history)
			require.NoError(t, err)
			require.Equal(t, tt.want, j.Verdict)
		})
	}
}

func TestParseRejectsMalformedRow(t *testing.T) {
	for _, value := range []string{"", "x", "{}", `{"version":3}`, `{"version":-1,"hash":"h"}`} {
		_, err := head.Parse(row.Row{Key: head.Key, Value: []byte(value), Revision: 1})
		var malformed *head.MalformedError
		require.ErrorAs(t, err, &malformed, value)
	}
}

func TestHistoryIsPruned(t *testing.T) {
	s := newSimulation(0, 0)
	for range head.HistoryLength + 10 {
		p, err := head.Propose(s.row(head.Key), "h", "id", "op", 0)
		require.NoError(t, err)
		require.True(t, s.transact(p))
	}
	require.Len(t, s.rows, head.HistoryLength+1)
}

func TestForkIsRejected(t *testing.T) {
	f, err := head.Follower{}.WithRead(0, head.Ref{Version: 3, Hash: "a"})
	require.NoError(t, err)
	_, err = f.WithReply(0, head.Ref{Version: 3, Hash: "b"}, true)
	var fork *head.ForkError
	require.ErrorAs(t, err, &fork)
}
