package front_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/leader"
	"guavapaddle/internal/front"
	"guavapaddle/internal/testbed/cutpath"
	"guavapaddle/platform"
	"guavapaddle/platform/standin"
)

const (
	settleTime  = 1500 * time.Millisecond // in which nodes notice a cut, half of the users' 3 s
	firstTries  = 60                      // at each cut node
	maxFailed   = 50                      // of so many of them one may fail
	loggedLines = 20
)

// TestCutNodesServeFirstTries guards against nodes that have lost their own path to all backend servers and
// refuse what other nodes could pass on for them.
func TestCutNodesServeFirstTries(t *testing.T) {
	t.Parallel()
	for name, mode := range map[string]cutpath.Mode{"refused": cutpath.Refusing, "hanging": cutpath.Hanging, "reset": cutpath.Resetting} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			paths := map[string]*cutpath.Path{}
			f := &testCluster{t: t, store: standin.NewStore(t), lease: 3 * time.Second,
				setUp: func(n *front.Node, s front.Settings) {
					paths[s.Node] = &cutpath.Path{}
					n.DialServer = paths[s.Node].Dial
				}}
			f.run(5, configuration)
			second := (&standin.Worker{ID: "i-plain2"}).Start(t)
			f.store.Put(platform.TableServers, "i-plain2", second.Entry("plain", "z", false))
			f.waitForLeader()
			f.sendLoad("/calls/x", "", 20*time.Millisecond, 300*time.Millisecond)
			cut := f.nodes[:3]
			for _, p := range cut {
				paths[p.settings.Node].Set(mode)
			}
			f.nodes = cut
			f.sendLoad("/calls/early", "", 20*time.Millisecond, settleTime)
			for _, x := range []struct{ path, model string }{{"/calls/x", ""}, {"/plans/x", "m0"}} {
				failed := 0
				for i := range firstTries {
					for _, p := range cut {
						status, body := p.get(t, x.path, fmt.Sprint("t", x.model, i, p.settings.Node), x.model)
						if status != 200 {
							failed++
							p.printLog(t)
							require.LessOrEqual(t, failed, firstTries*len(cut)/maxFailed, "%s at %s after %d rounds: %d %s", x.path, p.settings.Node, i, status, body)
						}
					}
				}
			}
		})
	}
}

// printLog logs the node's last decisions about its path to the servers and about requests that failed.
func (p *testNode) printLog(t *testing.T) {
	t.Helper()
	var lines []string
	for _, e := range p.logs.All() {
		switch e.Message {
		case "tunnel-refused", "nodes-read", "node-row-failed", "node-rows-failed", "servers-lost", "servers-reached", "server-checked", "leader-silent", "leader-suspect":
			lines = append(lines, fmt.Sprint(e.Time.Format("05.000 "), e.Message, " ", e.ContextMap()))
		}
	}
	t.Log(p.settings.Node + "\n" + strings.Join(lines[max(0, len(lines)-loggedLines):], "\n"))
}

// newCutCluster starts nodes whose paths to the servers, by name, can be cut, an engine and two plain servers.
func newCutCluster(t *testing.T, nodes int) (*testCluster, map[string]*cutpath.Path, *standin.Worker) {
	t.Helper()
	paths := map[string]*cutpath.Path{}
	f := &testCluster{t: t, store: standin.NewStore(t), lease: 3 * time.Second,
		setUp: func(n *front.Node, s front.Settings) {
			paths[s.Node] = &cutpath.Path{}
			n.DialServer = paths[s.Node].Dial
		}}
	engine, _ := f.run(nodes, configuration)
	second := (&standin.Worker{ID: "i-plain2"}).Start(t)
	f.store.Put(platform.TableServers, "i-plain2", second.Entry("plain", "z", false))
	f.waitForLeader()
	return f, paths, engine
}

// TestLeaderWithoutPathGivesUpLease guards against a leader whose orders to engines fail while other nodes reach them.
func TestLeaderWithoutPathGivesUpLease(t *testing.T) {
	t.Parallel()
	f, paths, _ := newCutCluster(t, 3)
	holder := func() string {
		var l leader.Lease
		require.NoError(t, json.Unmarshal(f.store.Row("lease", "orders").Value, &l))
		return l.Node
	}
	before := holder()
	for _, p := range f.nodes {
		if p.settings.Node == before {
			paths[before].Set(cutpath.Resetting)
			f.nodes = []*testNode{p}
		}
	}
	f.sendLoad("/plans/x", "m0", 20*time.Millisecond, settleTime)
	f.sendLoad("/calls/x", "", 20*time.Millisecond, settleTime) // one server alone may have failed
	require.Eventually(t, func() bool { now := holder(); return now != "" && now != before }, 5*time.Second, 5*time.Millisecond)
}
