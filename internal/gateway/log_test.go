package gateway_test

import (
	"context"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/balance"
	"guavapaddle/core/fleet"
	"guavapaddle/internal/hub"
	"guavapaddle/platform/standin"
)

// releaseGrant is a granted slot that calls a function when it is released.
type releaseGrant struct {
	noGrant
	released func()
}

// Done implements hub.SlotGrant.
func (g releaseGrant) Done(balance.Result) { g.released() }

// TestTryIsLoggedWithItsOwnConnection guards against a data race: a send whose connection is back in the pool, and carries another request, read for its
// log line how that request got the connection.
func TestTryIsLoggedWithItsOwnConnection(t *testing.T) {
	w := startWorker(t, "i-1", standin.Shed, standin.OK)
	r := newRig(t, w)
	r.gateway.SetServers([]fleet.Server{{ID: "i-1", Service: "plain", Address: w.Address(), Zone: "z", Slots: 4, Resident: []fleet.ResidentModel{{Model: "m"}}}})
	engine := &fleet.Engine{Models: map[string]fleet.Model{"m": {Name: "m"}}}
	r.gateway.SetConfig(fleet.NewConfig(2, routes, []fleet.Service{{Name: "plain", Engine: engine}}, fleet.Limits{}))
	var next response
	sendNext := sync.OnceFunc(func() { // the connection is back in the pool, and the line isn't written yet
		next = r.do("POST", "/unsafe/", "r2", "body")
	})
	r.gateway.AcquireSlot = func(_ context.Context, s hub.SlotRequest) (hub.SlotReply, hub.SlotGrant, error) {
		if len(s.Exclude) > 0 {
			return hub.SlotReply{Why: string(balance.NoServer)}, noGrant{}, nil
		}
		return hub.SlotReply{Granted: true, Server: "i-1"}, releaseGrant{released: sendNext}, nil
	}
	require.Equal(t, 503, r.do("POST", "/unsafe/", "r1", "body", "X-Guavapaddle-Model: m").status)
	require.Equal(t, 200, next.status)
	require.Equal(t, 1, w.Conns())
	require.Regexp(t, "event=try request-id=r1 .* reused=false connection=first ", r.log.String())
}
