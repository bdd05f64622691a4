package gateway_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/balance"
	"guavapaddle/core/fleet"
	"guavapaddle/internal/hub"
	"guavapaddle/internal/testbed/await"
	"guavapaddle/platform/standin"
)

// resultGrant is a granted slot that keeps the result with which it was released.
type resultGrant struct {
	noGrant

	result chan balance.Result
}

// Done implements hub.SlotGrant.
func (g resultGrant) Done(r balance.Result) { g.result <- r }

// TestFailedConnectionOfNodeWithoutPathIsNotCountedAgainstServer guards against sound servers that the granter, and so all
// nodes, avoid since one node had lost its path to all servers.
func TestFailedConnectionOfNodeWithoutPathIsNotCountedAgainstServer(t *testing.T) {
	t.Parallel()
	for suspect, want := range map[bool]balance.Result{true: balance.Abandoned, false: balance.ConnFailed} {
		t.Run(fmt.Sprint(suspect), func(t *testing.T) {
			t.Parallel()
			w := startWorker(t, "i-1")
			r := newRig(t, w)
			r.gateway.Pool.Dial = func(context.Context, string) (net.Conn, error) {
				return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
			}
			r.gateway.PathSuspect = func() bool { return suspect }
			engine := &fleet.Engine{Models: map[string]fleet.Model{"m": {Name: "m"}}}
			r.gateway.SetConfig(fleet.NewConfig(2, routes, []fleet.Service{{Name: "plain", Engine: engine}}, fleet.Limits{}))
			grant := resultGrant{result: make(chan balance.Result, 1)}
			r.gateway.AcquireSlot = func(_ context.Context, q hub.SlotRequest) (hub.SlotReply, hub.SlotGrant, error) {
				if len(q.Exclude) > 0 {
					return hub.SlotReply{Why: string(balance.NoServer)}, noGrant{}, nil
				}
				return hub.SlotReply{Granted: true, Server: "i-1"}, grant, nil
			}
			require.Equal(t, 503, r.do("GET", "/stream/", "r1", "", "X-Guavapaddle-Model: m").status)
			require.Equal(t, want, await.Value(t, grant.result, "the result"))
		})
	}
}

// TestFallenBrittleServerIsNoCrash guards against requests that are refused as ones that crash servers, since brittle
// servers dropped them when they had to reject too many others.
func TestFallenBrittleServerIsNoCrash(t *testing.T) {
	t.Parallel()
	for _, brittle := range []bool{true, false} {
		t.Run(fmt.Sprint(brittle), func(t *testing.T) {
			t.Parallel()
			var workers []*standin.Worker
			for i := range 5 {
				w := (&standin.Worker{ID: fmt.Sprint("i-", i), Capacity: 8}).Start(t)
				workers = append(workers, w)
				if brittle {
					w.SetBrittle(100, time.Hour)
				}
			}
			r := newRig(t, workers...)
			require.Equal(t, 200, r.do("GET", "/safe/learn", "learn", "").status)
			for _, w := range workers {
				w.SetScript(standin.Crash)
			}
			for i := range 4 {
				r.do("POST", "/unsafe/same", fmt.Sprint("r", i), "same body")
			}
			for _, w := range workers {
				w.SetScript(standin.OK)
			}
			status := 0
			require.Eventually(t, func() bool {
				status = r.do("POST", "/unsafe/same", fmt.Sprint("n", time.Now().UnixNano()), "same body").status
				return !brittle || status == 200
			}, 5*time.Second, 50*time.Millisecond, "status %d", status)
			if !brittle {
				require.Equal(t, 503, status)
			}
		})
	}
}
