package gateway_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/fleet"
	"guavapaddle/platform/standin"
)

const streamEvents = 10 // of each stream in these tests

// wholeStream returns the whole body of a stream whose lines end with end.
func wholeStream(end string) string {
	var b strings.Builder
	for n := 1; n <= streamEvents; n++ {
		fmt.Fprintf(&b, "id: %d%sdata: event %d%s%s", n, end, n, end, end)
	}
	return b.String()
}

// newBrokenRig starts a gateway in front of a server that misbehaves once, which is tried first, and a sound one.
func newBrokenRig(t *testing.T, does standin.Behaviour, events int, lineEnd string) (r *rig, broken, sound *standin.Worker) {
	t.Helper()
	broken = (&standin.Worker{ID: "i-1", Stream: events, LineEnd: lineEnd, Script: standin.Script{does, standin.OK}}).Start(t)
	sound = (&standin.Worker{ID: "i-2", Stream: events, LineEnd: lineEnd}).Start(t)
	r = newRig(t, broken)
	r.gateway.SetServers([]fleet.Server{
		{ID: "i-1", Service: "plain", Address: broken.Address(), Zone: "z", Slots: 64},
		{ID: "i-2", Service: "plain", Address: sound.Address(), Zone: "away", Slots: 1},
	})
	return r, broken, sound
}

// TestBrokenOffStreamIsNotFramedAsComplete guards against streams that end in the middle of an event and reach the client
// as complete ones, however their server framed them.
func TestBrokenOffStreamIsNotFramedAsComplete(t *testing.T) {
	t.Parallel()
	for name, does := range map[string]standin.Behaviour{
		"cut": standin.Cut, "unframed": standin.CutUnframed, "whole chunks": standin.CutWholeChunks, "unframed and reset": standin.ResetUnframed} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, broken, sound := newBrokenRig(t, does, streamEvents, "")
			got := r.do("GET", "/stream/", "r1", "")
			require.Equal(t, 200, got.status)
			require.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
			require.Len(t, broken.Runs(), 1)
			require.Empty(t, sound.Runs())
			require.Eventually(t, func() bool { return strings.Contains(r.log.String(), "event=request request-id=r1") }, time.Second, time.Millisecond)
			require.Contains(t, r.log.String(), "reason=cut")
			require.NotContains(t, r.log.String(), "reason=served")
		})
	}
}

// TestBrokenOffStreamIsResumedWhole guards against resumable streams that miss or repeat an event, or end early, after
// their server has failed.
func TestBrokenOffStreamIsResumedWhole(t *testing.T) {
	t.Parallel()
	for name, does := range map[string]standin.Behaviour{
		"cut": standin.Cut, "unframed": standin.CutUnframed, "whole chunks": standin.CutWholeChunks, "unframed and reset": standin.ResetUnframed} {
		for endName, end := range map[string]string{"LF": "\n", "CR LF": "\r\n", "CR": "\r"} {
			t.Run(name+", "+endName, func(t *testing.T) {
				t.Parallel()
				r, broken, sound := newBrokenRig(t, does, streamEvents, end)
				got := r.do("GET", "/resumable/", "r1", "")
				require.NoError(t, got.err)
				require.Equal(t, wholeStream(end), got.body)
				require.Equal(t, "i-1", got.header.Get("X-Guavapaddle-Server-Stamp"))
				require.Len(t, broken.Runs(), 1)
				require.Len(t, sound.Runs(), 1)
			})
		}
	}
}

// TestStreamWithoutLengthIsWhole guards against whole streams that are taken for broken ones since their response has
// neither a length nor chunks.
func TestStreamWithoutLengthIsWhole(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/stream/", "/resumable/"} {
		for endName, end := range map[string]string{"LF": "\n", "CR LF": "\r\n", "CR": "\r"} {
			t.Run(path+endName, func(t *testing.T) {
				t.Parallel()
				r, _, sound := newBrokenRig(t, standin.Unframed, streamEvents, end)
				got := r.do("GET", path, "r1", "")
				require.NoError(t, got.err)
				require.Equal(t, wholeStream(end), got.body)
				require.Empty(t, sound.Runs())
			})
		}
	}
}

// TestResetResponseWithoutLengthIsNotForwarded guards against the beginning of a plain response that reaches the client as a
// whole one.
func TestResetResponseWithoutLengthIsNotForwarded(t *testing.T) {
	t.Parallel()
	for path, status := range map[string]int{"/unsafe/": 502, "/safe/": 200} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			r, _, sound := newBrokenRig(t, standin.ResetUnframed, 0, "")
			got := r.do("POST", path, "r1", "body")
			require.NoError(t, got.err)
			require.Equal(t, status, got.status)
			require.Len(t, sound.Runs(), map[int]int{502: 0, 200: 1}[status])
		})
	}
}

// TestBrokenOffEventsOnPlainRouteAreNotForwarded guards against a stream on a plain route that is forwarded as a whole
// response though it ends in the middle of an event.
func TestBrokenOffEventsOnPlainRouteAreNotForwarded(t *testing.T) {
	t.Parallel()
	for name, does := range map[string]standin.Behaviour{"unframed": standin.CutUnframed, "whole chunks": standin.CutWholeChunks} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, _, sound := newBrokenRig(t, does, streamEvents, "")
			got := r.do("GET", "/safe/", "r1", "")
			require.NoError(t, got.err)
			require.Equal(t, 200, got.status)
			require.Equal(t, wholeStream("\n"), got.body)
			require.Len(t, sound.Runs(), 1)
			require.Equal(t, "i-2", got.header.Get("X-Guavapaddle-Server-Stamp"))
		})
	}
}
