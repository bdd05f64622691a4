package table

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"guavapaddle/core/row"
	"guavapaddle/io/jsonhttp"
	"guavapaddle/io/tcp"
)

// Kind classifies a failure by its meaning for the transaction.
type Kind string

const (
	// Unavailable means that the call was certainly not executed.
	Unavailable Kind = "unavailable"
	// Uncertain means that the call may have been executed.
	Uncertain Kind = "uncertain"
	// Invalid means that the table rejected the call as malformed. It was not executed.
	Invalid Kind = "invalid"
)

const (
	// DefaultTimeout bounds a call.
	DefaultTimeout = 2 * time.Second

	transactPath = "/table/v1/transact"
	readPath     = "/table/v1/read"
	scanPath     = "/table/v1/scan"
)

type (
	// Client makes calls to the table service. Its exported fields must be set before the
	// first call. It is safe for concurrent use.
	Client struct {
		Address string        // IP:port
		Timeout time.Duration // per call, DefaultTimeout if zero
		Traffic *tcp.Traffic  // counts the bytes of calls; may be nil

		http jsonhttp.Lazy
	}

	// Error is a failed call.
	Error struct {
		Kind Kind
		Call string // path of the call
		Err  error
	}

	// ReadRequest requests rows by key.
	ReadRequest struct {
		Keys []string `json:"keys"`
	}

	// ScanRequest requests rows by key prefix.
	ScanRequest struct {
		Prefix string `json:"prefix"`
	}

	// Rows is the response to a ReadRequest or a ScanRequest.
	Rows struct {
		Rows []row.Row `json:"rows"`
	}
)

// Error returns the kind, the call and the cause.
func (e *Error) Error() string { return fmt.Sprintf("table: %s: %s: %v", e.Kind, e.Call, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of the *Error in err. It returns empty if err is nil, and
// Uncertain if err contains no *Error.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Kind
	}
	return Uncertain
}

// Transact commits tx if its conditions hold. Every failure is an *Error.
func (c *Client) Transact(ctx context.Context, tx row.Tx) (row.Result, error) {
	var out row.Result
	err := c.call(ctx, transactPath, tx, &out)
	return out, err
}

// Read returns the rows of keys, in the same order. Absent rows have revision zero. Every
// failure is an *Error.
func (c *Client) Read(ctx context.Context, keys ...string) ([]row.Row, error) {
	if len(keys) == 0 {
		return nil, nil
	}
	var out Rows
	if err := c.call(ctx, readPath, ReadRequest{Keys: keys}, &out); err != nil {
		return nil, err
	}
	if len(out.Rows) != len(keys) {
		return nil, &Error{Kind: Uncertain, Call: readPath, Err: eris.Errorf("%d rows for %d keys", len(out.Rows), len(keys))}
	}
	return out.Rows, nil
}

// Scan returns the rows whose key starts with prefix, in key order. Every failure is an
// *Error.
func (c *Client) Scan(ctx context.Context, prefix string) ([]row.Row, error) {
	var out Rows
	err := c.call(ctx, scanPath, ScanRequest{Prefix: prefix}, &out)
	return out.Rows, err
}

// Close closes idle connections.
func (c *Client) Close() { c.http.WithTraffic(c.Address, c.Traffic).Close() }

// call makes one call and classifies its failure.
func (c *Client) call(ctx context.Context, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(c.Timeout, DefaultTimeout))
	defer cancel()
	resp, err := c.http.WithTraffic(c.Address, c.Traffic).JSON(ctx, http.MethodPost, path, in, out)
	if err != nil {
		kind := Uncertain
		if jsonhttp.StageOf(err) == jsonhttp.NotSent {
			kind = Unavailable
		}
		return &Error{Kind: kind, Call: path, Err: err}
	}
	switch resp.Status {
	case http.StatusOK:
		return nil
	case http.StatusServiceUnavailable:
		return &Error{Kind: Unavailable, Call: path, Err: eris.New("refused")}
	case http.StatusBadRequest:
		return &Error{Kind: Invalid, Call: path, Err: eris.Errorf("%.200s", resp.Body)}
	}
	return &Error{Kind: Uncertain, Call: path, Err: eris.Errorf("status %d", resp.Status)}
}
