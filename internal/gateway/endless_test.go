package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/fleet"
)

// startEndless runs a server that answers each request with start and then bytes without end, and returns its address.
func startEndless(t *testing.T, start string) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	piece := strings.Repeat("x", 16<<10)
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = nc.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
					return
				}
				for _, err := io.WriteString(nc, start); err == nil; {
					_, err = io.WriteString(nc, piece)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestServerWithEndlessAnswerIsLeftAtOnce guards against requests that wait for their deadline at a server whose bytes are no answer and don't end.
func TestServerWithEndlessAnswerIsLeftAtOnce(t *testing.T) {
	for name, start := range map[string]string{
		"head": "HTTP/1.1 200 OK\r\nX: ",
		"body": "HTTP/1.1 200 OK\r\nX-Guavapaddle-Server-Stamp: s\r\nX-Guavapaddle-Request-Id: a\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			sound := startWorker(t, "i-sound")
			r := newRig(t, sound)
			r.gateway.SetServers([]fleet.Server{
				{ID: "i-endless", Service: "plain", Address: startEndless(t, start), Zone: "z", Slots: 4},
				{ID: sound.ID, Service: "plain", Address: sound.Address(), Zone: "away", Slots: 4},
			})
			began := time.Now()
			require.Equal(t, http.StatusOK, r.do("GET", "/safe/x", "a", "").status)
			require.Less(t, time.Since(began), time.Second)
			require.Contains(t, r.log.String(), "reason=too-long")
			require.NotContains(t, r.log.String(), "server-crash")
			require.Equal(t, http.StatusOK, r.do("POST", "/unsafe/x", "b", "").status, "the server counts as failing")
		})
	}
}
