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
	"guavapaddle/internal/clock"
	"guavapaddle/internal/follow"
	"guavapaddle/platform"
)

const (
	proofTime  = 30 * time.Second
	proofNodes = 4
	proofBound = 5 * time.Second // in which each node must know that a key is gone
)

type (
	// proofStore is a store with a configuration that changes. It serves nodes or turns
	// them away, quickly or slowly.
	proofStore struct {
		mu      sync.Mutex
		rng     *rand.Rand
		version int64
		written []time.Time // when each version was acknowledged, the first as version 1
		changed chan struct{}
		away    map[int]bool
	}

	// proofView is the store as one node reaches it.
	proofView struct {
		*proofStore
		node int
	}

	// proofNode follows the store, and passes on or is passed what was read.
	proofNode struct {
		follower *follow.Follower
		mu       sync.Mutex
		inForce  int64
	}
)

func (s *proofStore) row() platform.Row {
	return platform.Row{Table: platform.TableOperator, Key: platform.KeyConfig, Version: s.version,
		Value: fmt.Appendf(nil, `{"version":%d}`, s.version)}
}

// delay waits as long as a call takes one way and tells whether it arrives.
func (v proofView) delay(ctx context.Context) bool {
	v.mu.Lock()
	d := time.Duration(v.rng.IntN(4)) * time.Millisecond
	if v.rng.IntN(10) == 0 {
		d *= 100
	}
	away := v.away[v.node]
	v.mu.Unlock()
	return clock.Sleep(ctx, d) && !away
}

func (v proofView) Read(ctx context.Context, table, _, _ string) ([]platform.Row, int64, error) {
	if !v.delay(ctx) {
		return nil, 0, errNoAnswer
	}
	v.mu.Lock()
	version, rows := v.version, []platform.Row(nil)
	if table == platform.TableOperator {
		rows = append(rows, v.row())
	}
	v.mu.Unlock()
	if !v.delay(ctx) {
		return nil, 0, errNoAnswer
	}
	return rows, version, nil
}

func (v proofView) Feed(ctx context.Context, table string, after int64, wait time.Duration) ([]platform.Row, int64, error) {
	if !v.delay(ctx) {
		return nil, 0, errNoAnswer
	}
	until := time.Now().Add(wait)
	for {
		v.mu.Lock()
		version, changed := v.version, v.changed
		row := v.row()
		v.mu.Unlock()
		left := time.Until(until)
		if table == platform.TableOperator && version > after || left <= 0 {
			if !v.delay(ctx) {
				return nil, 0, errNoAnswer
			}
			if table == platform.TableOperator && version > after {
				return []platform.Row{row}, version, nil
			}
			return nil, max(version, after), nil
		}
		select {
		case <-changed:
		case <-time.After(left):
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// change writes the next version.
func (s *proofStore) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.written = append(s.written, time.Now())
	close(s.changed)
	s.changed = make(chan struct{})
}

// newestAt returns the version that had been acknowledged by a time.
func (s *proofStore) newestAt(at time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, _ := slices.BinarySearchFunc(s.written, at, time.Time.Compare)
	return int64(before)
}

// TestNoConfigurationIsTakenForNewerThanItIsInTime plays nodes that read the store, are
// turned away by it, pass on what they have, and get answers late. Whatever age
// a node tells of its configuration, no version had been acknowledged by then that it
// doesn't have.
func TestNoConfigurationIsTakenForNewerThanItIsInTime(t *testing.T) {
	for seed := range uint64(*simSeeds) {
		synctest.Test(t, func(t *testing.T) { playProofs(t, seed) })
	}
}

func playProofs(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	began := time.Now()
	store := &proofStore{rng: rand.New(rand.NewPCG(seed, 4)), changed: make(chan struct{}), away: map[int]bool{}}
	store.change()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	nodes := make([]*proofNode, proofNodes)
	for i := range nodes {
		n := &proofNode{}
		nodes[i] = n
		role := follow.Alone
		if i == 0 {
			role = follow.Holder
		}
		n.follower = &follow.Follower{Store: proofView{store, i}, Log: zap.NewNop(), ProofWithin: proofBound,
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
	proven := 0
	for time.Since(began) < proofTime {
		clock.Sleep(ctx, time.Duration(1+rng.IntN(60))*time.Millisecond)
		switch rng.IntN(40) {
		case 0:
			store.change()
		case 1:
			i := rng.IntN(proofNodes)
			store.mu.Lock()
			store.away[i] = !store.away[i]
			store.mu.Unlock()
		}
		for i, n := range nodes {
			age := n.follower.ConfigAge() // before what is in force, as requests look at it
			n.mu.Lock()
			has := n.inForce
			n.mu.Unlock()
			if age > proofBound {
				continue
			}
			proven++
			at := time.Now().Add(-age)
			require.GreaterOrEqual(t, has, store.newestAt(at), "seed %d, node %d, %v: age %v", seed, i, time.Since(began), age)
		}
	}
	require.Positive(t, proven, "seed %d", seed)
	cancel()
	wg.Wait()
}

// passOn has nodes ask the holder for what it has, with answers that take their time.
func passOn(ctx context.Context, rng *rand.Rand, began time.Time, nodes []*proofNode) {
	for clock.Sleep(ctx, time.Duration(20+rng.IntN(200))*time.Millisecond) {
		from, to := nodes[0], nodes[1+rng.IntN(len(nodes)-1)]
		if rng.IntN(4) == 0 {
			from, to = to, from
		}
		asked := time.Since(began) + time.Second
		late := func() bool {
			d := time.Duration(rng.IntN(5)) * time.Millisecond
			if rng.IntN(6) == 0 {
				d = time.Duration(rng.IntN(3000)) * time.Millisecond
			}
			return clock.Sleep(ctx, d)
		}
		if !late() {
			return
		}
		u := from.follower.Since(time.Now(), to.follower.Known())
		if !late() {
			return
		}
		to.follower.Take(time.Now(), u)
		to.follower.Proved(u.Operator, asked-u.ConfigAge)
	}
}
