package http1_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/admission"
	"guavapaddle/internal/testbed/await"
	"guavapaddle/io/http1"
)

// admitting runs a server with a verdict that can be changed.
func admitting(t *testing.T, h http1.Handler) (address string, verdict *atomic.Int32) {
	verdict = &atomic.Int32{}
	return run(t, &http1.Server{Handler: h, Admit: func() admission.Verdict { return admission.Verdict(verdict.Load()) }}), verdict
}

// exchange sends a request on a connection and returns the status of the response, zero if the connection ends without one, and whether the
// response is the last one.
func exchange(t *testing.T, nc net.Conn) (status int, last bool) {
	require.NoError(t, nc.SetDeadline(time.Now().Add(5*time.Second)))
	if _, err := io.WriteString(nc, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return 0, true
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return 0, true
	}
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode, resp.Close
}

func TestRequestThatIsNotAdmittedIsClosedUnread(t *testing.T) {
	var h recorder
	address, verdict := admitting(t, &h)
	served := 0
	closedUnread := func() bool { // not if the request's bytes are read while its predecessor's handler ends
		verdict.Store(int32(admission.Admit))
		kept, err := net.Dial("tcp4", address)
		require.NoError(t, err)
		defer func() { _ = kept.Close() }()
		status, _ := exchange(t, kept)
		require.Equal(t, http.StatusOK, status)
		verdict.Store(int32(admission.Close))
		served++
		if status, _ := exchange(t, kept); status != 0 {
			served++
			return false
		}
		return true
	}
	require.Eventually(t, closedUnread, 5*time.Second, time.Millisecond, "on a kept connection")
	fresh, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	defer func() { _ = fresh.Close() }()
	status, _ := exchange(t, fresh)
	require.Zero(t, status, "on a new connection")
	require.Len(t, h.recorded(), served)
}

// TestRejectedRequestEndsItsConnection guards against connections of clients that come back on new ones and use up all descriptors.
func TestRejectedRequestEndsItsConnection(t *testing.T) {
	rejected := make(chan bool, 1)
	address, verdict := admitting(t, &recorder{onRequest: func(x *http1.Exchange) { rejected <- x.Rejected }})
	verdict.Store(int32(admission.Reject))
	nc, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	defer func() { _ = nc.Close() }()
	_, last := exchange(t, nc)
	require.True(t, last)
	require.True(t, await.Value(t, rejected, "the request"))
}

func TestPipelinedRequestIsServedWhenItsPredecessorWasAdmitted(t *testing.T) {
	var h recorder
	address, verdict := admitting(t, &h)
	h.onRequest = func(*http1.Exchange) { verdict.Store(int32(admission.Close)) }
	nc, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	defer func() { _ = nc.Close() }()
	_, err = io.WriteString(nc, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 2))
	require.NoError(t, err)
	br := bufio.NewReader(nc)
	for range 2 { // both were read at once
		resp, err := http.ReadResponse(br, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
	}
}
