package follow_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"guavapaddle/core/fleet"
	"guavapaddle/core/revision"
	"guavapaddle/internal/clock"
	"guavapaddle/internal/follow"
	"guavapaddle/platform"
)

const (
	confirmTime  = 30 * time.Second
	confirmNodes = 4
	confirmBound = 5 * time.Second // within which each node must know that a key was removed
)

type (
	// confirmStore is a store with a changing configuration. It is reachable or unreachable
	// for each node, and some of its calls are slow.
	confirmStore struct {
		mu          sync.Mutex
		rng         *rand.Rand
		version     int64
		written     []time.Time // when each version was acknowledged, starting with version 1
		changed     chan struct{}
		unreachable map[int]bool
	}

	// confirmView is the store as seen by one node.
	confirmView struct {
		*confirmStore
		node int
	}

	// confirmNode follows the store and exchanges its copy with other nodes.
	confirmNode struct {
		follower *follow.Follower
		mu       sync.Mutex
		inForce  int64
	}
)

func (s *confirmStore) row() platform.Row {
	return platform.Row{Table: platform.TableOperator, Key: platform.KeyConfig, Version: s.version,
		Value: fmt.Appendf(nil, `{"version":%d}`, s.version)}
}

// delay waits for the time of a call in one direction and reports whether it arrives.
func (v confirmView) delay(ctx context.Context) bool {
	v.mu.Lock()
	d := time.Duration(v.rng.IntN(4)) * time.Millisecond
	if v.rng.IntN(10) == 0 {
		d *= 100
	}
	unreachable := v.unreachable[v.node]
	v.mu.Unlock()
	return clock.Sleep(ctx, d) && !unreachable
}

func (v confirmView) Read(ctx context.Context, table, _, _ string) ([]platform.Row, revision.Revision, error) {
	if !v.delay(ctx) {
		return nil, revision.Revision{}, errNoReply
	}
	v.mu.Lock()
	version, rows := v.version, []platform.Row(nil)
	if table == platform.TableOperator {
		rows = append(rows, v.row())
	}
	v.mu.Unlock()
	if !v.delay(ctx) {
		return nil, revision.Revision{}, errNoReply
	}
	return rows, revision.Revision{Number: version}, nil
}

func (v confirmView) Feed(ctx context.Context, table string, after revision.Revision, wait time.Duration) ([]platform.Row, revision.Revision, error) {
	if !v.delay(ctx) {
		return nil, revision.Revision{}, errNoReply
	}
	until := time.Now().Add(wait)
	for {
		v.mu.Lock()
		version, changed := v.version, v.changed
		row := v.row()
		v.mu.Unlock()
		left := time.Until(until)
		if table == platform.TableOperator && version > after.Number || left <= 0 {
			if !v.delay(ctx) {
				return nil, revision.Revision{}, errNoReply
			}
			if table == platform.TableOperator && version > after.Number {
				return []platform.Row{row}, revision.Revision{Number: version}, nil
			}
			return nil, revision.Max(revision.Revision{Number: version}, after), nil
		}
		select {
		case <-changed:
		case <-time.After(left):
		case <-ctx.Done():
			return nil, revision.Revision{}, ctx.Err()
		}
	}
}

// change writes the next version.
func (s *confirmStore) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.written = append(s.written, time.Now())
	close(s.changed)
	s.changed = make(chan struct{})
}

// newestAt returns the version that had been acknowledged by a time.
func (s *confirmStore) newestAt(at time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, _ := slices.BinarySearchFunc(s.written, at, time.Time.Compare)
	return int64(before)
}

// TestConfigAgeIsNeverTooLowInSimulatedTime simulates nodes that read the store, lose
// contact to it, pass their copies on, and receive replies late. For any age that a node
// states for its configuration, it must have every version that had been acknowledged that
// long ago.
func TestConfigAgeIsNeverTooLowInSimulatedTime(t *testing.T) {
	for seed := range uint64(*simSeeds) {
		synctest.Test(t, func(t *testing.T) { simulateConfirmations(t, seed) })
	}
}

func simulateConfirmations(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	began := time.Now()
	store := &confirmStore{rng: rand.New(rand.NewPCG(seed, 4)), changed: make(chan struct{}), unreachable: map[int]bool{}}
	store.change()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	nodes := make([]*confirmNode, confirmNodes)
	for i := range nodes {
		n := &confirmNode{}
		nodes[i] = n
		role := follow.Standalone
		if i == 0 {
			role = follow.Leader
		}
		n.follower = &follow.Follower{Store: confirmView{store, i}, Log: zap.NewNop(), MaxConfigAge: confirmBound,
			Clock:     func() time.Duration { return time.Since(began) + time.Second },
			Role:      func() follow.Role { return role },
			OnServers: func([]fleet.Server) {},
			OnConfig: func(c *fleet.Config) {
				n.mu.Lock()
				defer n.mu.Unlock()
				n.inForce = max(n.inForce, c.Version())
			}}
		wg.Go(func() { n.follower.Run(ctx) })
	}
	wg.Go(func() { passOn(ctx, rand.New(rand.NewPCG(seed, 5)), began, nodes) })
	checks := 0
	for time.Since(began) < confirmTime {
		clock.Sleep(ctx, time.Duration(1+rng.IntN(60))*time.Millisecond)
		switch rng.IntN(40) {
		case 0:
			store.change()
		case 1:
			i := rng.IntN(confirmNodes)
			store.mu.Lock()
			store.unreachable[i] = !store.unreachable[i]
			store.mu.Unlock()
		}
		for i, n := range nodes {
			age := n.follower.ConfigAge() // read before the version in force, as for requests
			n.mu.Lock()
			has := n.inForce
			n.mu.Unlock()
			if age > confirmBound {
				continue
			}
			checks++
			at := time.Now().Add(-age)
			require.GreaterOrEqual(t, has, store.newestAt(at), "seed %d, node %d, %v: age %v", seed, i, time.Since(began), age)
		}
	}
	require.Positive(t, checks, "seed %d", seed)
	cancel()
	wg.Wait()
}

// passOn exchanges updates between the leader and the other nodes, some of them late.
func passOn(ctx context.Context, rng *rand.Rand, began time.Time, nodes []*confirmNode) {
	for clock.Sleep(ctx, time.Duration(20+rng.IntN(200))*time.Millisecond) {
		from, to := nodes[0], nodes[1+rng.IntN(len(nodes)-1)]
		if rng.IntN(4) == 0 {
			from, to = to, from
		}
		requestedAt := time.Since(began) + time.Second
		delay := func() bool {
			d := time.Duration(rng.IntN(5)) * time.Millisecond
			if rng.IntN(6) == 0 {
				d = time.Duration(rng.IntN(3000)) * time.Millisecond
			}
			return clock.Sleep(ctx, d)
		}
		if !delay() {
			return
		}
		u := from.follower.ChangesSince(time.Now(), to.follower.Versions())
		if !delay() {
			return
		}
		to.follower.ApplyUpdate(time.Now(), u)
		to.follower.ConfirmConfig(u.Operator, requestedAt-u.ConfigAge)
	}
}
