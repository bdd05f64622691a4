package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/fleet"
	"guavapaddle/internal/testbed/rawhttp"
	"guavapaddle/platform/standin"
)

// malformedHeads are the beginnings of responses whose heads are malformed. A part of each that is taken for a response by itself would carry the
// request's id and the server's stamp.
var malformedHeads = map[string]string{
	"status 000":                     "HTTP/1.1 000 \r\n%s\r\n",
	"status 099":                     "HTTP/1.1 099 x\r\n%s\r\n",
	"status 600":                     "HTTP/1.1 600 x\r\n%s\r\n",
	"signed status":                  "HTTP/1.1 +20 x\r\n%s\r\n",
	"000 as informational":           "HTTP/1.1 000 \r\n\r\nHTTP/1.1 200 OK\r\n%s\r\n",
	"020 as informational":           "HTTP/1.1 020 x\r\n\r\nHTTP/1.1 200 OK\r\n%s\r\n",
	"000 after informational":        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 x\r\n%s\r\n",
	"an upgrade":                     "HTTP/1.1 101 Switching Protocols\r\n%s\r\n",
	"another protocol":               "HTTP/3.0 200 OK\r\n%s\r\n",
	"control byte in the reason":     "HTTP/1.1 200 O\x01K\r\n%s\r\n",
	"blank in a name":                "HTTP/1.1 200 OK\r\n%sX Y: z\r\n\r\n",
	"blank behind a name":            "HTTP/1.1 200 OK\r\n%sX-Y : z\r\n\r\n",
	"blank behind a length":          "HTTP/1.1 200 OK\r\n%sContent-Length : 9\r\n\r\n",
	"blank behind an encoding":       "HTTP/1.1 200 OK\r\n%sTransfer-Encoding : chunked\r\n\r\n9\r\n",
	"blank in an informational name": "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\n%s\r\n",
	"control byte in a name":         "HTTP/1.1 200 OK\r\n%sX\x01Y: z\r\n\r\n",
	"control byte in a value":        "HTTP/1.1 200 OK\r\n%sX-Y: a\x01z\r\n\r\n",
	"no colon":                       "HTTP/1.1 200 OK\r\n%sX-Y\r\n\r\n",
	"transfer encoding in HTTP/1.0":  "HTTP/1.0 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n9\r\n",
	"length and encoding":            "HTTP/1.1 200 OK\r\n%sContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n",
	"two lengths":                    "HTTP/1.1 200 OK\r\n%sContent-Length: 9\r\nContent-Length: 3\r\n\r\n",
	"another encoding":               "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: gzip, chunked\r\n\r\n9\r\n",
	"length that is no number":       "HTTP/1.1 200 OK\r\n%sContent-Length: +9\r\n\r\n",
	"folded length":                  "HTTP/1.1 200 OK\r\n%sContent-Length:\r\n 9\r\n\r\n",
	"blank before the first name":    "HTTP/1.1 200 OK\r\n X: y\r\n%s\r\n",
	"empty line before the status":   "\r\nHTTP/1.1 200 OK\r\n%s\r\n",
}

// malformedServer starts a server that responds with a head, whose placeholder is for the fields of a sound response, and a whole event as its body.
func malformedServer(t *testing.T, head string) string {
	t.Helper()
	return rawhttp.Start(t, func(c *net.TCPConn, r *http.Request) {
		rawhttp.ReadBody(r)
		_, _ = fmt.Fprintf(c, head, "X-Guavapaddle-Request-Id: "+r.Header.Get("X-Guavapaddle-Request-Id")+"\r\nX-Guavapaddle-Server-Stamp: i-1\r\n")
		_, _ = io.WriteString(c, "data: a\n\n")
	})
}

// TestMalformedResponseIsNotForwarded guards against responses with malformed heads that clients get as they are, or with a body that isn't the
// server's. They may have run: a request that must not run again isn't repeated, nor refused as not run.
func TestMalformedResponseIsNotForwarded(t *testing.T) {
	t.Parallel()
	for name, head := range malformedHeads {
		for path, status := range map[string]int{"/unsafe/": 502, "/stream/": 502, "/safe/": 200, "/resumable/": 200} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				sound := (&standin.Worker{ID: "i-2", Stream: streamEvents}).Start(t)
				r := newRig(t, sound)
				r.gateway.SetServers([]fleet.Server{
					{ID: "i-1", Service: "plain", Address: malformedServer(t, head), Zone: "z", Slots: 64},
					{ID: "i-2", Service: "plain", Address: sound.Address(), Zone: "away", Slots: 1},
				})
				got := r.do("POST", path, "r", "body")
				require.NoError(t, got.err)
				require.Equal(t, status, got.status, got.body)
				require.Len(t, sound.Runs(), map[int]int{502: 0, 200: 1}[status])
				if status == 502 {
					require.Empty(t, got.body)
					require.Empty(t, got.header.Get("X-Guavapaddle-Server-Stamp"))
					require.Empty(t, got.header.Get("Retry-After"))
				}
				require.Eventually(t, func() bool { return strings.Contains(r.log.String(), "event=request request-id=r") }, time.Second, time.Millisecond)
				require.Contains(t, r.log.String(), "reason=malformed")
				require.NotContains(t, r.log.String(), "server-crash")
			})
		}
	}
}

// TestMalformedResponseBehindAnotherIsNotForwarded guards against a malformed head that has been read together with the response before it, as a late one to
// another request, which is discarded.
func TestMalformedResponseBehindAnotherIsNotForwarded(t *testing.T) {
	t.Parallel()
	r := newRig(t, startWorker(t, "unused"))
	const late = "HTTP/1.1 200 OK\r\nX-Guavapaddle-Request-Id: other\r\nX-Guavapaddle-Server-Stamp: i-1\r\nContent-Length: 2\r\n\r\nok"
	r.gateway.SetServers([]fleet.Server{{ID: "i-1", Service: "plain", Zone: "z", Slots: 64,
		Address: malformedServer(t, late+"HTTP/1.1 200 OK\r\n%sContent-Length : 9\r\n\r\n")}})
	got := r.do("POST", "/unsafe/", "r", "body")
	require.NoError(t, got.err)
	require.Equal(t, 502, got.status, got.body)
	require.Contains(t, r.log.String(), "reason=malformed")
}

// TestFoldedFieldIsForwarded guards against responses that are taken for malformed ones for an obsolete form that every parser reads alike.
func TestFoldedFieldIsForwarded(t *testing.T) {
	t.Parallel()
	r := newRig(t, startWorker(t, "unused"))
	r.gateway.SetServers([]fleet.Server{{ID: "i-1", Service: "plain", Zone: "z", Slots: 64,
		Address: malformedServer(t, "HTTP/1.1 200 OK\r\n%sX-Y: a\r\n b\r\n\r\n")}})
	got := r.do("POST", "/unsafe/", "r", "body")
	require.NoError(t, got.err)
	require.Equal(t, 200, got.status)
	require.Equal(t, "a b", got.header.Get("X-Y"))
}
