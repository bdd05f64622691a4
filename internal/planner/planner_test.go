package planner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"guavapaddle/core/backend"
	"guavapaddle/core/config"
	"guavapaddle/core/place"
	"guavapaddle/core/view"
	"guavapaddle/internal/metrics"
	"guavapaddle/internal/planner"
	"guavapaddle/internal/views"
	"guavapaddle/io/peer"
)

// sentMessage is a message sent to another node.
type sentMessage struct {
	node  string
	frame peer.Frame
}

// newPlanner returns the planner of node self among nodes, with one engine owned by
// n2.
func newPlanner(t *testing.T, self string, nodes []string, out chan<- sentMessage) *planner.Planner {
	doc := &config.Document{
		Models: []config.Model{{Name: "m", Version: "1", Bytes: 10, MinCopies: 1}},
		Servers: []config.BackendServer{{
			Name: "gpu-1", Type: config.Engine, MemoryBytes: 100, Slots: 4, DataCentre: "dc1",
		}},
		Placement: config.DefaultPlacement(),
	}
	index := config.NewIndex(doc, 1)
	known := views.New()
	known.Put(view.Server{Server: "gpu-1", Owner: "n2", Epoch: 1, Sequence: 1, Slots: 4, Reachable: true, FreeBytes: 100})
	policy, err := place.New("gain")
	require.NoError(t, err)
	return &planner.Planner{
		Self: self, Policy: policy, Demand: planner.NewDemand(),
		Index:       func() *config.Index { return index },
		ActiveNodes: func() []string { return nodes },
		Views:       known,
		Send: func(_ context.Context, node string, k peer.Kind, v any) {
			f, err := peer.Encode(k, v)
			if err == nil {
				out <- sentMessage{node: node, frame: f}
			}
		},
		SetPlan: func(string, []backend.Item) {},
		Measure: func(metrics.Work) func() { return func() {} },
		Log:     zap.NewNop(),
	}
}

// TestOneNodePlans runs the planners of two nodes and checks that the owner receives
// a plan. One node must plan and send the plan to the owner, while the other only
// reports its demand.
func TestOneNodePlans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := []string{"n1", "n2"}
		out := make(chan sentMessage, 100)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		planners := map[string]*planner.Planner{}
		var planned []backend.Item
		for _, name := range nodes {
			p := newPlanner(t, name, nodes, out)
			p.SetPlan = func(_ string, want []backend.Item) { planned = want }
			p.Demand.Requested("m", config.Urgent)
			planners[name] = p
			go p.Run(ctx)
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
		cancel()
		synctest.Wait()
		close(out)
		for m := range out {
			planners[m.node].Receive("other", m.frame)
		}
		require.Equal(t, []backend.Item{{Name: "m", Version: "1"}}, planned)
	})
}

// TestReceiveForeign checks that messages that can't be decoded are ignored.
func TestReceiveForeign(t *testing.T) {
	p := newPlanner(t, "n1", []string{"n1"}, make(chan sentMessage, 1))
	applied := false
	p.SetPlan = func(string, []backend.Item) { applied = true }
	for kind := range peer.Kind(10) {
		p.Receive("n2", peer.Frame{Kind: kind, Body: []byte{0xff, 0x00}})
	}
	require.False(t, applied)
}
