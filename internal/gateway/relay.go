package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"guavapaddle/core/balance"
	"guavapaddle/core/sse"
	"guavapaddle/io/http1"
)

const relayBufferBytes = 8 << 10 // bytes per read; an event has less than 100

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
	var partial []byte
	var scanner sse.Scanner
	last := time.Now()
	for {
		n, err := t.resp.Body.Read(buf)
		if now := time.Now(); n > 0 {
			t.countRead()
			t.maxGap = max(t.maxGap, now.Sub(last))
			last = now
		}
		out := buf[:n]
		scanner.Scan(out)
		if t.route.Resumable && n > 0 {
			partial = append(partial, out...)
			out = t.takeEvents(&partial)
		}
		if len(out) > 0 {
			if werr := t.x.Write(out); werr != nil {
				return &clientError{werr}
			}
		}
		if err != nil {
			t.recordBodyEnd(streamEnd(&scanner, err))
		}
		if errors.Is(err, io.EOF) {
			if len(partial) > 0 {
				return io.ErrUnexpectedEOF
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// streamEnd returns where a stream ended whose last read returned err.
func streamEnd(s *sse.Scanner, err error) bodyEnd {
	switch {
	case !errors.Is(err, io.EOF):
		return bodyBroken
	case s.InEvent():
		return bodyInEvent
	}
	return bodyWhole
}

// takeEvents removes the complete events from the front of partial, returns them and
// records the id of the last one.
func (t *try) takeEvents(partial *[]byte) []byte {
	end := bytes.LastIndex(*partial, []byte("\n\n"))
	if end < 0 {
		return nil
	}
	whole := (*partial)[:end+2]
	rest := bytes.Clone((*partial)[end+2:])
	for line := range bytes.SplitSeq(whole, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			t.lastEvent = string(bytes.TrimSpace(id))
		}
	}
	*partial = rest
	return whole
}
