package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/fleet"
	"guavapaddle/internal/hub"
	"guavapaddle/platform/standin"
)

const (
	// departedBound is how long after its client has left a request may still reach a server, and be worked on.
	departedBound = 500 * time.Millisecond
	// maxDeparted is how many requests may reach a server later.
	maxDeparted = 3
)

// nextRequest is the begin of a request that a client sends behind another one.
const nextRequest = "GET /safe/next HTTP/1.1\r\nHost: h.example\r\n"

// departures are ways in which a client leaves.
var departures = map[string]struct {
	behind string // sent behind the request
	reset  bool
}{
	"end":                          {},
	"reset":                        {reset: true},
	"end behind part of a request": {behind: nextRequest},
	"end behind a whole request":   {behind: nextRequest + "X-Guavapaddle-Request-Id: behind\r\n\r\n"},
	"end behind a long request": {behind: "POST /safe/next HTTP/1.1\r\nHost: h.example\r\nX-Guavapaddle-Request-Id: behind\r\nContent-Length: 100000\r\n\r\n" +
		strings.Repeat("b", 100000)},
	"reset behind part of a request": {behind: nextRequest, reset: true},
}

// sendAndLeave sends a request on a new connection and leaves after a time.
func sendAndLeave(t *testing.T, address, path, id, behind string, reset bool, after time.Duration) {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	header := ""
	if strings.HasPrefix(path, "/resumable/") {
		header = "X-Guavapaddle-Model: m\r\n"
	}
	_, err = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h.example\r\n"+header+"X-Guavapaddle-Request-Id: "+id+"\r\n\r\n"+behind)
	require.NoError(t, err)
	<-time.After(after)
	if reset {
		require.NoError(t, c.(*net.TCPConn).SetLinger(0))
	}
	require.NoError(t, c.Close())
}

// arrivals returns how many of the requests whose id has a prefix ran at a server.
func arrivals(w *standin.Worker, prefix string) int {
	n := 0
	for _, id := range w.Runs() {
		if strings.HasPrefix(id, prefix) {
			n++
		}
	}
	return n
}

// TestRequestsOfClientsThatLeftBeforeTheyAreReadReachNoServer guards against requests that a node reads only when their clients have
// left, as it stood still, and sends over connections that are open.
func TestRequestsOfClientsThatLeftBeforeTheyAreReadReachNoServer(t *testing.T) {
	t.Parallel()
	const requests = 40
	for _, path := range []string{"/safe/x", "/unsafe/x", "/resumable/x"} {
		for name, d := range departures {
			t.Run(path+" "+name, func(t *testing.T) {
				t.Parallel()
				w := (&standin.Worker{ID: "i-1", Think: 50 * time.Millisecond}).Start(t)
				r := newRig(t, w)
				r.warm(requests)
				l, err := net.Listen("tcp4", "127.0.0.1:0")
				require.NoError(t, err)
				defer func() { _ = l.Close() }()
				for i := range requests {
					sendAndLeave(t, l.Addr().String(), path, fmt.Sprint("left", i), d.behind[:min(len(d.behind), 1000)], d.reset, 0)
				}
				<-time.After(departedBound)
				go r.server.Serve(l)
				<-time.After(departedBound)
				require.LessOrEqual(t, arrivals(w, "left"), maxDeparted)
				require.Zero(t, arrivals(w, "behind"))
			})
		}
	}
}

// warm leaves a number of idle connections to the servers.
func (r *rig) warm(connections int) {
	r.t.Helper()
	var all sync.WaitGroup
	for i := range connections {
		all.Go(func() { r.do("GET", "/safe/x", fmt.Sprint("warm", i), "") })
	}
	all.Wait()
}

// TestRequestOfClientThatLeavesDuringWaitReachesNoServer guards against requests that are sent when they get their slot though their
// clients have left, which bytes behind the request hide.
func TestRequestOfClientThatLeavesDuringWaitReachesNoServer(t *testing.T) {
	t.Parallel()
	for name, d := range departures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startWorker(t, "i-1")
			r := newRig(t, w)
			engine := &fleet.Engine{Models: map[string]fleet.Model{"m": {Name: "m"}}}
			r.gateway.SetConfig(fleet.NewConfig(2, routes, []fleet.Service{{Name: "plain", Engine: engine}}, fleet.Limits{}))
			r.gateway.AcquireSlot = func(ctx context.Context, _ hub.SlotRequest) (hub.SlotReply, hub.SlotGrant, error) {
				select {
				case <-ctx.Done():
				case <-time.After(2 * departedBound):
				}
				return hub.SlotReply{Granted: true, Server: "i-1"}, noGrant{}, nil
			}
			sendAndLeave(t, r.address, "/resumable/x", "left", d.behind, d.reset, 100*time.Millisecond)
			<-time.After(3 * departedBound)
			require.Zero(t, arrivals(w, ""))
		})
	}
}

// TestServerStopsWorkWhenClientLeaves guards against servers that go on with requests whose clients have left, which bytes behind the
// request hide.
func TestServerStopsWorkWhenClientLeaves(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/safe/x", "/stream/x", "/resumable/x"} {
		for name, d := range departures {
			t.Run(path+" "+name, func(t *testing.T) {
				t.Parallel()
				w := (&standin.Worker{ID: "i-1", Think: 10 * time.Second}).Start(t)
				r := newRig(t, w)
				sendAndLeave(t, r.address, path, "left", d.behind, d.reset, 100*time.Millisecond)
				require.Eventually(t, func() bool { return w.ClosedByCaller() == 1 }, departedBound, time.Millisecond)
			})
		}
	}
}
