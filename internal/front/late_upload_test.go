package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/testbed/await"
	"guavapaddle/platform/standin"
)

// upload is a request whose body arrives late.
type upload struct {
	conn net.Conn
	rest string
}

// beginUpload sends a request up to the middle of its body.
func (p *testNode) beginUpload(t *testing.T, path, id, model string) *upload {
	t.Helper()
	c, err := net.Dial("tcp4", p.settings.Clients)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	body := strings.Repeat("x", 100)
	if model != "" {
		model = "X-Guavapaddle-Model: " + model + "\r\nX-Guavapaddle-Token-Count: 100,10\r\n"
	}
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Guavapaddle-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", path, id, model, len(body), body[:50])
	require.NoError(t, err)
	return &upload{conn: c, rest: body[50:]}
}

// end sends the rest of the body and returns the status and the header of a whole response.
func (u *upload) end() (int, http.Header, error) {
	if _, err := io.WriteString(u.conn, u.rest); err != nil {
		return 0, nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(u.conn), nil)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header, err
}

// TestRequestThatIsWholeLateInAStopIsRefused guards against requests whose bodies end late in the grace of a node that stops, and that are sent on and cut
// off at its end, among them ones that must not run again.
func TestRequestThatIsWholeLateInAStopIsRefused(t *testing.T) {
	f := &testCluster{t: t, store: standin.NewStore(t)}
	const bookings = `"routes":[{"name":"bookings","host":"h.example","prefix":"/bookings/","kind":"unsafe","timeout-ms":3000,"service":"plain","max-attempts":1},`
	engine, plain := f.run(2, strings.Replace(configuration, `"routes":[`, bookings, 1))
	engine.Pause, plain.Think = time.Second, 2*time.Second // longer than the rest of the grace
	p := f.nodes[0]
	paths := map[string]string{"/plans/": "m0", "/calls/": "", "/bookings/": ""}
	uploads := map[string]*upload{}
	for path, model := range paths {
		uploads[path] = p.beginUpload(t, path+"x", "late"+path, model)
	}
	p.stop()
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp4", p.settings.Clients)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	}, 5*time.Second, time.Millisecond, "the node takes no more connections")
	for path, u := range uploads {
		status, header, err := u.end()
		require.NoError(t, err, path)
		require.Equal(t, http.StatusServiceUnavailable, status, path)
		require.NotEmpty(t, header.Get("Retry-After"), path)
	}
	require.Empty(t, engine.Runs())
	require.Empty(t, plain.Runs())
	require.NoError(t, await.Value(t, p.done, "the node's end"))
	p.done <- nil // read again by the cleanup
}
