package object

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"guavapaddle/io/jsonhttp"
)

// Kind tells what a failure means.
type Kind string

const (
	// NotFound means that there is no such object.
	NotFound Kind = "not-found"
	// Unavailable means that the call was surely not done.
	Unavailable Kind = "unavailable"
	// Uncertain means that the call may have been done.
	Uncertain Kind = "uncertain"
)

const (
	// DefaultTimeout bounds a call.
	DefaultTimeout = 5 * time.Second

	prefix = "/object/v1/"
)

type (
	// Client makes calls to the object store. Its exported fields are set
	// before the first call. It is safe for concurrent use.
	Client struct {
		Address string            // IP:port
		Timeout time.Duration     // of each call, DefaultTimeout if zero
		Traffic *jsonhttp.Traffic // counts the bytes of calls, may be nil

		http jsonhttp.Lazy
	}

	// Error is the failure of a call.
	Error struct {
		Kind Kind
		Key  string
		Err  error
	}
)

// Error returns kind, key and cause in one line.
func (e *Error) Error() string { return fmt.Sprintf("object: %s: %s: %v", e.Kind, e.Key, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of the *Error inside err, empty if err is nil and
// Uncertain if there is none.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Kind
	}
	return Uncertain
}

// Put stores body under key. Every failure is an *Error. Storing the same body
// again does no harm.
func (c *Client) Put(ctx context.Context, key string, body []byte) error {
	_, err := c.call(ctx, http.MethodPut, key, body, http.StatusNoContent)
	return err
}

// Get returns the object under key. Every failure is an *Error, of kind
// NotFound if there is no such object.
func (c *Client) Get(ctx context.Context, key string) ([]byte, error) {
	return c.call(ctx, http.MethodGet, key, nil, http.StatusOK)
}

// Close closes unused connections.
func (c *Client) Close() { c.http.Counted(c.Address, c.Traffic).Close() }

// call makes one call and sorts its failure.
func (c *Client) call(ctx context.Context, method, key string, body []byte, want int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(c.Timeout, DefaultTimeout))
	defer cancel()
	a, err := c.http.Counted(c.Address, c.Traffic).Do(ctx, jsonhttp.Call{Method: method, Path: prefix + url.PathEscape(key), Body: body})
	if err != nil {
		kind := Uncertain
		if jsonhttp.StageOf(err) == jsonhttp.NotSent {
			kind = Unavailable
		}
		return nil, &Error{Kind: kind, Key: key, Err: err}
	}
	switch a.Status {
	case want:
		return a.Body, nil
	case http.StatusNotFound:
		return nil, &Error{Kind: NotFound, Key: key, Err: eris.New("no such object")}
	case http.StatusServiceUnavailable:
		return nil, &Error{Kind: Unavailable, Key: key, Err: eris.New("refused")}
	}
	return nil, &Error{Kind: Uncertain, Key: key, Err: eris.Errorf("status %d", a.Status)}
}
