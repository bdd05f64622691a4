package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"guavapaddle/core/balance"
	"guavapaddle/io/http1"
)

const relayBuffer = 8 << 10 // bytes read at once; an event has under a hundred

// relay passes a stream on as it arrives.
func (t *try) relay() (balance.Result, fate, Reason) {
	if !t.begun {
		if err := t.x.Begin(http.StatusOK, http1.EndToEnd(t.resp.Header)); err != nil {
			t.conn.Close()
			return balance.Abandoned, gone, ClientLeft
		}
		t.begun = true
	}
	err := t.copyEvents()
	var w *clientError
	switch {
	case errors.As(err, &w):
		t.conn.Close()
		return balance.Abandoned, gone, ClientLeft
	case err != nil:
		t.conn.Close()
		return t.broken(err)
	}
	t.keep()
	t.outcome = outcome{status: http.StatusOK, reason: Served, first: t.first}
	if err := t.x.End(); err != nil {
		t.outcome = outcome{reason: ClientLeft, err: err}
	}
	return balance.Succeeded, answered, Served
}

// clientError means that the client's side of a stream failed.
type clientError struct{ err error }

// Error tells the cause.
func (e *clientError) Error() string { return "client: " + e.err.Error() }

// Unwrap returns the cause.
func (e *clientError) Unwrap() error { return e.err }

// copyEvents copies the body until its end. Where the stream may be resumed
// only whole events are passed on, so that it can go on after the last one.
func (t *try) copyEvents() error {
	buf := make([]byte, relayBuffer)
	var partial []byte
	last := time.Now()
	for {
		n, err := t.resp.Body.Read(buf)
		if now := time.Now(); n > 0 {
			t.gap = max(t.gap, now.Sub(last))
			last = now
		}
		out := buf[:n]
		if t.route.Resumable && n > 0 {
			partial = append(partial, out...)
			out = t.events(&partial)
		}
		if len(out) > 0 {
			if werr := t.x.Write(out); werr != nil {
				return &clientError{werr}
			}
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

// events takes the whole events off the front of partial and notes the id of
// the last one.
func (t *try) events(partial *[]byte) []byte {
	end := bytes.LastIndex(*partial, []byte("\n\n"))
	if end < 0 {
		return nil
	}
	whole := (*partial)[:end+2]
	rest := bytes.Clone((*partial)[end+2:])
	for line := range bytes.SplitSeq(whole, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			t.last = string(bytes.TrimSpace(id))
		}
	}
	*partial = rest
	return whole
}
