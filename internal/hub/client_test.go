package hub_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/balance"
	"guavapaddle/internal/hub"
	"guavapaddle/internal/keys"
	"guavapaddle/internal/testbed/await"
	"guavapaddle/internal/testbed/freeport"
	"guavapaddle/io/peer"
)

// slotServer grants a slot once decide is closed. If mute is set it doesn't confirm that the
// request is queued.
type slotServer struct {
	hub.Holder
	unresponsive bool
	decided      chan struct{}
}

// Place implements hub.Holder.
func (h *slotServer) Place(ctx context.Context, _ hub.Place, queued func()) (hub.Placed, hub.Grant, error) {
	if !h.unresponsive {
		queued()
	}
	select {
	case <-h.decided:
		return hub.Placed{Granted: true, Server: "i-1"}, noGrant{}, nil
	case <-ctx.Done():
		return hub.Placed{}, nil, ctx.Err()
	}
}

// endpoint runs an endpoint that trusts every key.
func endpoint(t testing.TB, name string, h hub.Holder) *peer.Endpoint {
	t.Helper()
	key, err := keys.NewMemory(name)
	require.NoError(t, err)
	key.Trusted = func(string) bool { return true }
	e := &peer.Endpoint{Address: freeport.Take(), TLS: key, OnMessage: func(string, peer.Frame) {},
		OnCall: func(ctx context.Context, _ string, f peer.Frame, s *peer.Stream) { hub.Serve(ctx, h, f, s) }}
	_, err = e.Listen()
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, await.Value(t, done, "the endpoint's end"))
	})
	return e
}

func TestSlotRequestFailsWithoutAcknowledgement(t *testing.T) {
	unresponsive := endpoint(t, "mute", &slotServer{unresponsive: true})
	replies := 0
	c := &hub.Client{Endpoint: endpoint(t, "node", nil), Heard: func() { replies++ }}
	start := time.Now()
	_, _, err := c.Place(context.Background(), unresponsive.Address, hub.Place{})
	var silent *hub.SilentError
	require.ErrorAs(t, err, &silent)
	require.Equal(t, unresponsive.Address, silent.Address)
	require.GreaterOrEqual(t, time.Since(start), hub.AckTimeout)
	require.Zero(t, replies)
}

func TestQueuedSlotRequestWaitsPastAckTimeout(t *testing.T) {
	h := &slotServer{decided: make(chan struct{})}
	e := endpoint(t, "holder", h)
	replies := make(chan struct{}, 8)
	c := &hub.Client{Endpoint: endpoint(t, "node", nil), Heard: func() { replies <- struct{}{} }}
	time.AfterFunc(2*hub.AckTimeout, func() { close(h.decided) })
	p, grant, err := c.Place(context.Background(), e.Address, hub.Place{})
	require.NoError(t, err)
	require.True(t, p.Granted)
	grant.Done(balance.Succeeded)
	require.Len(t, replies, 2, "one frame for queued, one for granted")
}

// noGrant ignores all calls.
type noGrant struct{}

// NamedRate implements hub.Grant.
func (noGrant) NamedRate(*float64) {}

// Begun implements hub.Grant.
func (noGrant) Begun() {}

// Done implements hub.Grant.
func (noGrant) Done(balance.Result) {}

// grantingServer grants every slot request immediately.
type grantingServer struct{ hub.Holder }

// Place implements hub.Holder.
func (grantingServer) Place(context.Context, hub.Place, func()) (hub.Placed, hub.Grant, error) {
	return hub.Placed{Granted: true, Server: "i-1"}, noGrant{}, nil
}

// BenchmarkPlace measures slot requests from the call to the release, with both ends of
// the connection in one process.
func BenchmarkPlace(b *testing.B) {
	e := endpoint(b, "holder", grantingServer{})
	c := &hub.Client{Endpoint: endpoint(b, "node", nil)}
	p := hub.Place{Item: hub.Item{Service: "drafter", Model: "mizi247a5b"}, Request: "9c41d07be2a35f68", Tokens: 1460, Zone: "seq-a", Priority: 2,
		Parts:  []balance.Segment{{ID: "5c1e07a2", Tokens: 800}, {ID: "91bd3f06", Tokens: 410}, {ID: "e4402b7d", Tokens: 250}},
		Target: 360 * time.Millisecond, Expire: 2 * time.Second}
	for b.Loop() {
		_, grant, err := c.Place(context.Background(), e.Address, p)
		require.NoError(b, err)
		grant.Begun()
		grant.Done(balance.Succeeded)
	}
}
