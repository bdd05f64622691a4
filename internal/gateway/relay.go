package gateway

import (
	"bytes"
	"cmp"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"guavapaddle/core/balance"
	"guavapaddle/core/sse"
	"guavapaddle/io/http1"
)

const (
	relayBufferBytes = 8 << 10 // bytes per read; an event has less than 100
	// maxEventBytes bounds an event on resumable routes, where it is kept until it is complete.
	maxEventBytes = 1 << 20
)

// EventTooLongError reports an event of a resumable stream that is longer than maxEventBytes, or for which there is no room beside what is kept of
// other responses.
type EventTooLongError struct{ Bytes int } // of the event, as far as it was read

// Error implements error.
func (e *EventTooLongError) Error() string {
	return "gateway: no room for " + strconv.Itoa(e.Bytes) + " bytes of an event"
}

// relay forwards a stream to the client as it arrives.
func (t *try) relay() (balance.Result, sendState, Reason) {
	if !t.responseBegun {
		if err := t.x.WriteHeader(http.StatusOK, http1.EndToEnd(t.resp.Header)); err != nil {
			t.conn.Close()
			return balance.Abandoned, clientGone, ClientLeft
		}
		t.responseBegun = true
	}
	err := t.copyBody()
	var w *clientError
	switch {
	case errors.As(err, &w):
		t.conn.Close()
		return balance.Abandoned, clientGone, ClientLeft
	case err != nil:
		t.conn.Close()
		return t.classifyConnError(err)
	}
	t.keepConn()
	t.outcome = outcome{status: http.StatusOK, reason: Served, firstByte: t.firstByte}
	if err := t.x.End(); err != nil {
		t.outcome = outcome{reason: ClientLeft, err: err}
	}
	return balance.Succeeded, answered, Served
}

// clientError is a failed write to the client.
type clientError struct{ err error }

// Error implements error.
func (e *clientError) Error() string { return "client: " + e.err.Error() }

// Unwrap returns the cause.
func (e *clientError) Unwrap() error { return e.err }

// copyBody copies the body to the client until its end. On resumable routes only
// complete events are forwarded, so that the stream can continue after the last one.
func (t *try) copyBody() error {
	buf := make([]byte, relayBufferBytes)
	var scanner sse.Scanner
	var partial []byte // event of a resumable stream
	room := t.g.Buffers.Reservation()
	defer room.Release()
	hasEvents := t.hasEvents()
	last := time.Now()
	header := last
	var times eventTimes
	defer func() { t.recordEvents(&times) }()
	for {
		n, err := t.resp.Body.Read(buf)
		if now := time.Now(); n > 0 {
			t.countRead()
			t.recordProgress(now)
			t.maxGap = max(t.maxGap, now.Sub(last))
			last = now
		}
		out := buf[:n]
		if hasEvents {
			whole := scanner.Scan(out)
			times.observe(last, header, scanner.Events())
			if t.route.Resumable {
				out, partial = splitWhole(partial, out, whole)
			}
		}
		if len(out) > 0 {
			t.recordSoftware()
			if werr := t.x.Write(out); werr != nil {
				return &clientError{werr}
			}
			t.lastEvent, t.forwardedAt = cmp.Or(scanner.LastID(), t.lastEvent), time.Now()
		}
		switch {
		case len(partial) > maxEventBytes || !room.Fit(len(partial)):
			t.recordBodyEnd(bodyInEvent)
			return &EventTooLongError{len(partial)}
		case err == nil:
			continue
		case !errors.Is(err, io.EOF):
			t.recordBodyEnd(bodyBroken)
			return err
		case scanner.InEvent():
			t.recordBodyEnd(bodyInEvent)
			return io.ErrUnexpectedEOF
		}
		t.recordBodyEnd(bodyWhole)
		return nil
	}
}

// hasEvents reports whether the response is a stream of events, which one without a media type is on a route of streams.
// A stream that ends inside an event was broken off, however its response was framed.
func (t *try) hasEvents() bool {
	contentType := t.resp.Header.Get("Content-Type")
	return contentType == "" || sse.IsStream(contentType)
}

// splitWhole appends next to the partial event before it. It returns the bytes up to the last point between two events, which
// is after the first whole bytes of next, and the rest.
func splitWhole(partial, next []byte, whole int) (out, rest []byte) {
	switch {
	case whole == 0:
		return nil, append(partial, next...)
	case len(partial) == 0:
		return next[:whole], bytes.Clone(next[whole:])
	}
	return append(partial, next[:whole]...), bytes.Clone(next[whole:])
}
