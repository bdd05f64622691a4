package gateway_test

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/fleet"
	"guavapaddle/platform/standin"
)

// TestBrokenStreamGoesOnAtItsSoftwareVersion guards against events of two software versions in one response. With no other
// server of its version the stream is broken off.
func TestBrokenStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		name  string
		third string // version of the third server
		whole bool
	}{{"no other server", "v2", false}, {"another server", "v1", true}} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			start := func(id string, script ...standin.Behaviour) *standin.Worker {
				return (&standin.Worker{ID: id, Stream: streamEvents, Script: script}).Start(t)
			}
			broken, second, third := start("i-1", standin.Cut), start("i-2"), start("i-3")
			r := newRig(t, broken)
			r.gateway.SetServers([]fleet.Server{
				{ID: "i-1", Service: "plain", Address: broken.Address(), Zone: "z", Slots: 64, Software: "v1"},
				{ID: "i-2", Service: "plain", Address: second.Address(), Zone: "away", Slots: 8, Software: "v2"},
				{ID: "i-3", Service: "plain", Address: third.Address(), Zone: "away", Slots: 1, Software: x.third},
			})
			got := r.do("GET", "/resumable/", "r1", "")
			require.Equal(t, 200, got.status)
			require.Empty(t, second.Runs())
			if x.whole {
				require.NoError(t, got.err)
				require.Equal(t, wholeStream("\n"), got.body)
				return
			}
			require.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
			require.Empty(t, third.Runs())
		})
	}
}
