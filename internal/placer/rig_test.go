package placer_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"guavapaddle/core/fleet"
	"guavapaddle/core/leader"
	"guavapaddle/internal/hub"
	"guavapaddle/internal/placer"
	"guavapaddle/internal/testbed/await"
	"guavapaddle/io/jsonhttp"
	"guavapaddle/platform"
	"guavapaddle/platform/standin"
)

const ttl = 900 * time.Millisecond

// testPlacer is a running placer that counts its callbacks.
type testPlacer struct {
	isolated atomic.Bool // it has lost its path to the engines
	*placer.Placer

	mu       sync.Mutex
	verdicts map[string]int
	terms    int
	waiting  map[string]int
}

func startPlacer(t *testing.T, s *standin.Store, node string, reachable func() bool) *testPlacer {
	t.Helper()
	return startPlacerWith(t, &platform.Store{Client: &jsonhttp.Client{Address: s.Address()}}, node, reachable)
}

func startPlacerWith(t *testing.T, s placer.Store, node string, reachable func() bool) *testPlacer {
	t.Helper()
	h := &testPlacer{verdicts: map[string]int{}}
	started := time.Now()
	h.Placer = &placer.Placer{
		Store:   s,
		Engines: &platform.Engines{Client: func(a string) *jsonhttp.Client { return &jsonhttp.Client{Address: a} }},
		Hub:     &hub.Hub{}, Log: zap.NewNop(), Fencing: true, Window: 5 * time.Second, LeaderReachable: reachable,
		Elector:  &leader.Elector{Self: leader.Lease{Node: node, Incarnation: node, Key: node, Cores: 1}, TTL: ttl},
		Clock:    func() time.Duration { return time.Since(started) + time.Hour },
		Isolated: h.isolated.Load,
		OnVerdict: func(v string) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.verdicts[v]++
		},
		OnElected: func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.terms++
		},
		WaitingWithoutCopy: func() map[hub.Item]int {
			h.mu.Lock()
			defer h.mu.Unlock()
			return byItem(h.waiting)
		},
		OnResidency: func(hub.ResidencyUpdate) {},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		h.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		await.Value(t, done, "the placer's end")
	})
	return h
}

// byItem returns the requests that wait for each model, at servers of any software version.
func byItem(waiting map[string]int) map[hub.Item]int {
	out := map[hub.Item]int{}
	for m, n := range waiting {
		out[hub.Item{Service: "llm", Model: m}] = n
	}
	return out
}

func leaderUnreachable() bool { return false }

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	require.Eventually(t, ok, 8*time.Second, 2*time.Millisecond, what)
}

// twoModelConfig declares the models m0 and m1, which fit into an engine together. m0 has
// adapters, of which an engine holds two.
func twoModelConfig() *fleet.Config {
	e := &fleet.Engine{WeightsMB: 230000, AdapterSlots: 2, LoadsPerS: 2, Models: map[string]fleet.Model{
		"m0": {Name: "m0", MB: 72000, Adapters: 5, AdapterMB: 66},
		"m1": {Name: "m1", MB: 72000},
	}}
	return fleet.NewConfig(1, nil, []fleet.Service{{Name: "llm", Engine: e}}, fleet.Limits{})
}

// configWith declares the given number of models of 72 GB each, named from m0, for an engine
// with the given properties.
func configWith(e fleet.Engine, models, adapters int) *fleet.Config {
	e.Models = map[string]fleet.Model{}
	for i := range models {
		name := fmt.Sprint("m", i)
		e.Models[name] = fleet.Model{Name: name, MB: 72000, Adapters: adapters, AdapterMB: 66}
	}
	return fleet.NewConfig(1, nil, []fleet.Service{{Name: "llm", Engine: &e}}, fleet.Limits{})
}

func entryOf(w *standin.Worker) fleet.Server {
	s := fleet.Server{ID: w.ID, StartedAtMS: w.StartedAt(), Service: "llm", Address: w.Address(), Slots: 8}
	for m, a := range w.Models() {
		s.Resident = append(s.Resident, fleet.ResidentModel{Model: m, Adapters: a})
	}
	return s
}
