package granter_test

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"guavapaddle/core/balance"
	"guavapaddle/core/fleet"
	"guavapaddle/internal/granter"
	"guavapaddle/internal/hub"
	"guavapaddle/internal/testbed/await"
)

func startGranter(t *testing.T, loadAdapter func(context.Context, hub.LoadRequest) hub.LoadReply) *granter.Granter {
	t.Helper()
	g := &granter.Granter{Log: zap.NewNop(), LoadAdapter: loadAdapter}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		g.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		await.Value(t, done, "the granter's end")
	})
	g.SetServers([]fleet.Server{{ID: "i-1", Service: "llm", Slots: 64, Resident: []fleet.ResidentModel{{Model: "m"}}}})
	g.Reset()
	return g
}

func slotRequest(model, adapter string, tokens int) hub.SlotRequest {
	return hub.SlotRequest{Item: hub.Item{Service: "llm", Model: model, Adapter: adapter}, Tokens: tokens,
		Target: time.Second, Expire: 3 * time.Second}
}

func TestReleaseFreesSlot(t *testing.T) {
	g := startGranter(t, nil)
	d, grant, err := g.AcquireSlot(context.Background(), slotRequest("m", "", 1500), func() {})
	require.NoError(t, err)
	require.True(t, d.Granted)
	second := make(chan bool, 1)
	go func() {
		d, grant, err := g.AcquireSlot(context.Background(), slotRequest("m", "", 1500), func() {})
		if err == nil {
			grant.Done(balance.Succeeded)
		}
		second <- err == nil && d.Granted
	}()
	require.Never(t, func() bool { return len(second) > 0 }, 150*time.Millisecond, 10*time.Millisecond)
	grant.Done(balance.Succeeded)
	require.True(t, <-second)
}

func TestCancelledRequestIsRemoved(t *testing.T) {
	g := startGranter(t, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, _, err := g.AcquireSlot(ctx, slotRequest("none", "", 100), func() {})
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Empty(t, g.Waiting())
}

func TestMissingAdapterIsLoadedOnce(t *testing.T) {
	var loads atomic.Int64
	g := startGranter(t, func(_ context.Context, w hub.LoadRequest) hub.LoadReply {
		loads.Add(1)
		return hub.LoadReply{Found: w.Adapter == "a1", Server: "i-1"}
	})
	d, grant, err := g.AcquireSlot(context.Background(), slotRequest("m", "a1", 100), func() {})
	require.NoError(t, err)
	require.True(t, d.Granted)
	grant.Done(balance.Succeeded)
	d, grant, err = g.AcquireSlot(context.Background(), slotRequest("m", "a1", 100), func() {})
	require.NoError(t, err)
	require.True(t, d.Granted)
	grant.Done(balance.Succeeded)
	require.EqualValues(t, 1, loads.Load())
}

// TestLoadRequestCarriesExcludedServers checks that the load request carries the servers
// that the waiting request excludes, here the one that holds the adapter.
func TestLoadRequestCarriesExcludedServers(t *testing.T) {
	requests := make(chan hub.LoadRequest, 1)
	g := startGranter(t, func(_ context.Context, w hub.LoadRequest) hub.LoadReply {
		requests <- w
		return hub.LoadReply{Found: true, Server: "i-2"}
	})
	g.SetServers([]fleet.Server{
		{ID: "i-1", Service: "llm", Slots: 64, Resident: []fleet.ResidentModel{{Model: "m", Adapters: []string{"a1"}}}},
		{ID: "i-2", Service: "llm", Slots: 64, Resident: []fleet.ResidentModel{{Model: "m"}}},
	})
	q := slotRequest("m", "a1", 100)
	q.Exclude = []string{"i-1"}
	d, grant, err := g.AcquireSlot(context.Background(), q, func() {})
	require.NoError(t, err)
	defer grant.Done(balance.Succeeded)
	require.True(t, d.Granted)
	require.Equal(t, "i-2", d.Selection.Server.ID)
	require.Equal(t, []string{"i-1"}, (<-requests).Exclude)
}

func TestRequestWithoutModelIsCountedAndRefusedAtDeadline(t *testing.T) {
	g := startGranter(t, nil)
	q := slotRequest("none", "", 100)
	q.Target, q.Expire = 0, 200*time.Millisecond
	waiting := make(chan map[hub.Item]int, 1)
	time.AfterFunc(100*time.Millisecond, func() { waiting <- g.Waiting() })
	d, grant, err := g.AcquireSlot(context.Background(), q, func() {})
	require.NoError(t, err)
	defer grant.Done(balance.Abandoned)
	require.False(t, d.Granted)
	require.Equal(t, balance.NoModel, d.Reason)
	require.Positive(t, d.RetryAfter)
	require.Equal(t, map[hub.Item]int{{Service: "llm", Model: "none"}: 1}, <-waiting)
}

// TestKnownRateLimitsApplyFromFirstGrant guards against a new granter that grants all waiting
// requests at a server whose rate limit it knows, until a node reports the limit.
func TestKnownRateLimitsApplyFromFirstGrant(t *testing.T) {
	const requests, burst = 20, 2
	g := startGranter(t, nil)
	g.Limits = func() []hub.Limit { return []hub.Limit{{Server: "i-1", Rate: 0.5, Active: true, Age: time.Minute}} }
	g.Reset()
	granted := make(chan hub.SlotGrant, requests)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	var all sync.WaitGroup
	for range requests {
		all.Go(func() {
			if d, grant, err := g.AcquireSlot(ctx, slotRequest("m", "", 1), func() {}); err == nil && d.Granted {
				granted <- grant
			}
		})
	}
	all.Wait()
	require.NotEmpty(t, granted)
	require.LessOrEqual(t, len(granted), burst)
}

// TestLeaderAndDeputyTogetherKeepRateLimit guards against twice the rate that a server allows, while
// the leader and a deputy that can't reach it both grant.
func TestLeaderAndDeputyTogetherKeepRateLimit(t *testing.T) {
	const (
		rate        = 4.0             // requests per second, the server's limit
		window      = 4 * time.Second // window over which its requests are counted
		maxInWindow = 29              // 1.5 times the rate over the window, plus 5
		windows     = 5
		requesters  = 20
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), windows*window)
		defer cancel()
		var mu sync.Mutex
		var granted []time.Time
		var all sync.WaitGroup
		for _, reset := range []func(*granter.Granter){(*granter.Granter).Reset, (*granter.Granter).ResetAsDeputy} {
			g := &granter.Granter{Log: zap.NewNop(), Limits: func() []hub.Limit {
				return []hub.Limit{{Server: "i-1", Rate: rate, Active: true}}
			}}
			g.SetServers([]fleet.Server{{ID: "i-1", Service: "llm", Slots: 64, Resident: []fleet.ResidentModel{{Model: "m"}}}})
			reset(g)
			all.Go(func() { g.Run(ctx) })
			for range requesters {
				all.Go(func() {
					for ctx.Err() == nil {
						d, grant, err := g.AcquireSlot(ctx, slotRequest("m", "", 1), func() {})
						if err != nil || !d.Granted {
							<-time.After(100 * time.Millisecond)
							continue
						}
						mu.Lock()
						granted = append(granted, time.Now())
						mu.Unlock()
						<-time.After(50 * time.Millisecond)
						grant.Done(balance.Succeeded)
					}
				})
			}
		}
		all.Wait()
		slices.SortFunc(granted, time.Time.Compare)
		for i, first := range granted {
			n := 0
			for _, at := range granted[i:] {
				if at.Sub(first) < window {
					n++
				}
			}
			require.LessOrEqual(t, n, maxInWindow, "from %v on", first.Sub(granted[0]))
		}
		require.Greater(t, len(granted), int(rate*windows*window.Seconds()), "more than the leader alone grants")
	})
}

// TestResetEndsAllWaits guards against requests that wait until their clients leave: a node
// that acquires the lease has no record of the requests that were waiting at it before.
func TestResetEndsAllWaits(t *testing.T) {
	g := startGranter(t, nil)
	waits := make(chan error, 1)
	queued := make(chan struct{})
	go func() {
		_, _, err := g.AcquireSlot(context.Background(), slotRequest("other", "", 100), func() { close(queued) })
		waits <- err
	}()
	<-queued
	g.Reset()
	require.ErrorIs(t, <-waits, context.Canceled)
}
