package granter_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"guavapaddle/core/balance"
	"guavapaddle/core/fleet"
	"guavapaddle/internal/granter"
	"guavapaddle/internal/hub"
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
		<-done
	})
	g.Servers([]fleet.Server{{ID: "i-1", Service: "llm", Slots: 64, Held: []fleet.Held{{Model: "m"}}}})
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
			release.Done(balance.Good)
		}
		second <- err == nil && d.Granted
	}()
	require.Never(t, func() bool { return len(second) > 0 }, 150*time.Millisecond, 10*time.Millisecond)
	release.Done(balance.Good)
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
	release.Done(balance.Good)
	d, release, err = g.Place(context.Background(), place("m", "a1", 100), func() {})
	require.NoError(t, err)
	require.True(t, d.Granted)
	release.Done(balance.Good)
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
		{ID: "i-1", Service: "llm", Slots: 64, Held: []fleet.Held{{Model: "m", Adapters: []string{"a1"}}}},
		{ID: "i-2", Service: "llm", Slots: 64, Held: []fleet.Held{{Model: "m"}}},
	})
	p := place("m", "a1", 100)
	p.Exclude = []string{"i-1"}
	d, release, err := g.Place(context.Background(), p, func() {})
	require.NoError(t, err)
	defer release.Done(balance.Good)
	require.True(t, d.Granted)
	require.Equal(t, "i-2", d.Choice.Server.ID)
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
	defer release.Done(balance.Dropped)
	require.False(t, d.Granted)
	require.Equal(t, balance.NoModel, d.Why)
	require.Positive(t, d.After)
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
