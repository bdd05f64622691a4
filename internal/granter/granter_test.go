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

func start(t *testing.T, adapter func(context.Context, hub.Want) hub.Offer) *granter.Granter {
	t.Helper()
	g := &granter.Granter{Log: zap.NewNop(), Adapter: adapter}
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
	g.Servers([]fleet.Server{{ID: "i-1", Service: "llm", Slots: 64, Resident: []fleet.ResidentModel{{Model: "m"}}}})
	g.Reset()
	return g
}

func place(model, adapter string, tokens int) hub.Place {
	return hub.Place{Item: hub.Item{Service: "llm", Model: model, Adapter: adapter}, Tokens: tokens,
		Target: time.Second, Expire: 3 * time.Second}
}

func TestAPlaceIsFreedByItsRelease(t *testing.T) {
	g := start(t, nil)
	d, release, err := g.Place(context.Background(), place("m", "", 1500), func() {})
	require.NoError(t, err)
	require.True(t, d.Granted)
	second := make(chan bool, 1)
	go func() {
		d, release, err := g.Place(context.Background(), place("m", "", 1500), func() {})
		if err == nil {
			release.Done(balance.Succeeded)
		}
		second <- err == nil && d.Granted
	}()
	require.Never(t, func() bool { return len(second) > 0 }, 150*time.Millisecond, 10*time.Millisecond)
	release.Done(balance.Succeeded)
	require.True(t, <-second)
}

func TestACallerThatLeavesIsForgotten(t *testing.T) {
	g := start(t, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, _, err := g.Place(ctx, place("none", "", 100), func() {})
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Empty(t, g.Waiting())
}

func TestAnAdapterThatIsAskedForIsFetchedOnce(t *testing.T) {
	var fetched atomic.Int64
	g := start(t, func(_ context.Context, w hub.Want) hub.Offer {
		fetched.Add(1)
		return hub.Offer{Found: w.Adapter == "a1", Server: "i-1"}
	})
	d, release, err := g.Place(context.Background(), place("m", "a1", 100), func() {})
	require.NoError(t, err)
	require.True(t, d.Granted)
	release.Done(balance.Succeeded)
	d, release, err = g.Place(context.Background(), place("m", "a1", 100), func() {})
	require.NoError(t, err)
	require.True(t, d.Granted)
	release.Done(balance.Succeeded)
	require.EqualValues(t, 1, fetched.Load())
}

// TestAnAdapterIsFetchedWhereItsRequestsMayGo has a request exclude the engine that holds its
// adapter.
func TestAnAdapterIsFetchedWhereItsRequestsMayGo(t *testing.T) {
	wants := make(chan hub.Want, 1)
	g := start(t, func(_ context.Context, w hub.Want) hub.Offer {
		wants <- w
		return hub.Offer{Found: true, Server: "i-2"}
	})
	g.Servers([]fleet.Server{
		{ID: "i-1", Service: "llm", Slots: 64, Resident: []fleet.ResidentModel{{Model: "m", Adapters: []string{"a1"}}}},
		{ID: "i-2", Service: "llm", Slots: 64, Resident: []fleet.ResidentModel{{Model: "m"}}},
	})
	p := place("m", "a1", 100)
	p.Exclude = []string{"i-1"}
	d, release, err := g.Place(context.Background(), p, func() {})
	require.NoError(t, err)
	defer release.Done(balance.Succeeded)
	require.True(t, d.Granted)
	require.Equal(t, "i-2", d.Selection.Server.ID)
	require.Equal(t, []string{"i-1"}, (<-wants).Exclude)
}

func TestARequestWithoutAModelIsCountedAndRefusedInTheEnd(t *testing.T) {
	g := start(t, nil)
	p := place("none", "", 100)
	p.Target, p.Expire = 0, 200*time.Millisecond
	waiting := make(chan map[string]int, 1)
	time.AfterFunc(100*time.Millisecond, func() { waiting <- g.Waiting() })
	d, release, err := g.Place(context.Background(), p, func() {})
	require.NoError(t, err)
	defer release.Done(balance.Abandoned)
	require.False(t, d.Granted)
	require.Equal(t, balance.NoModel, d.Reason)
	require.Positive(t, d.RetryAfter)
	require.Equal(t, map[string]int{"none": 1}, <-waiting)
}

// TestAResetEndsAllWaits: a node that wins the lease knows nothing of requests that
// waited at it before, and they would wait until their clients leave.
// TestKnownRatesBindFromTheFirstGrant guards against a node that, as it becomes the
// granter, grants all that waits at a server whose rate it knows, until a node reports it.
func TestKnownRatesBindFromTheFirstGrant(t *testing.T) {
	const asked, burst = 20, 2
	g := start(t, nil)
	g.Limits = func() []hub.Limit { return []hub.Limit{{Server: "i-1", Rate: 0.5, Active: true, Age: time.Minute}} }
	g.Reset()
	granted := make(chan hub.Grant, asked)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	var all sync.WaitGroup
	for range asked {
		all.Go(func() {
			if d, grant, err := g.Place(ctx, place("m", "", 1), func() {}); err == nil && d.Granted {
				granted <- grant
			}
		})
	}
	all.Wait()
	require.NotEmpty(t, granted)
	require.LessOrEqual(t, len(granted), burst)
}

// TestHolderAndDeputyTogetherKeepARate guards against a server that gets twice the requests
// that it takes while a deputy grants beside a holder that it can't reach.
func TestHolderAndDeputyTogetherKeepARate(t *testing.T) {
	const (
		rate       = 4.0             // requests a second, named by the server
		span       = 4 * time.Second // over which its requests are counted
		most       = 29              // 1.5 times its rate over the span, and 5 more
		spans      = 5
		askingEach = 20
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), spans*span)
		defer cancel()
		var mu sync.Mutex
		var granted []time.Time
		var all sync.WaitGroup
		for _, begin := range []func(*granter.Granter){(*granter.Granter).Reset, (*granter.Granter).ResetAsDeputy} {
			g := &granter.Granter{Log: zap.NewNop(), Limits: func() []hub.Limit {
				return []hub.Limit{{Server: "i-1", Rate: rate, Active: true}}
			}}
			g.Servers([]fleet.Server{{ID: "i-1", Service: "llm", Slots: 64, Resident: []fleet.ResidentModel{{Model: "m"}}}})
			begin(g)
			all.Go(func() { g.Run(ctx) })
			for range askingEach {
				all.Go(func() {
					for ctx.Err() == nil {
						d, grant, err := g.Place(ctx, place("m", "", 1), func() {})
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
				if at.Sub(first) < span {
					n++
				}
			}
			require.LessOrEqual(t, n, most, "from %v on", first.Sub(granted[0]))
		}
		require.Greater(t, len(granted), int(rate*spans*span.Seconds()), "more than the holder alone grants")
	})
}

func TestAResetEndsAllWaits(t *testing.T) {
	g := start(t, nil)
	waits := make(chan error, 1)
	queued := make(chan struct{})
	go func() {
		_, _, err := g.Place(context.Background(), place("other", "", 100), func() { close(queued) })
		waits <- err
	}()
	<-queued
	g.Reset()
	require.ErrorIs(t, <-waits, context.Canceled)
}
