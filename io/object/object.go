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
	"guavapaddle/io/tcp"
)

// Kind classifies a failure by its meaning for the call.
type Kind string

const (
	// NotFound means that the object does not exist.
	NotFound Kind = "not-found"
	// Unavailable means that the call was certainly not executed.
	Unavailable Kind = "unavailable"
	// Uncertain means that the call may have been executed.
	Uncertain Kind = "uncertain"
)

const (
	// DefaultTimeout bounds a call.
	DefaultTimeout = 5 * time.Second

	pathPrefix = "/object/v1/"
)

type (
	// Client makes calls to the object store. Its exported fields must be set before the
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
		Key  string
		Err  error
	}
)

// Error returns the kind, the key and the cause.
func (e *Error) Error() string { return fmt.Sprintf("object: %s: %s: %v", e.Kind, e.Key, e.Err) }

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

// Put stores body under key. Storing the same body again has no further effect. Every
// failure is an *Error.
func (c *Client) Put(ctx context.Context, key string, body []byte) error {
	_, err := c.call(ctx, http.MethodPut, key, body, http.StatusNoContent)
	return err
}

// Get returns the object stored under key. Every failure is an *Error, of kind NotFound if
// the object does not exist.
func (c *Client) Get(ctx context.Context, key string) ([]byte, error) {
	return c.call(ctx, http.MethodGet, key, nil, http.StatusOK)
}

// Close closes idle connections.
func (c *Client) Close() { c.http.WithTraffic(c.Address, c.Traffic).Close() }

// call makes one call, which succeeds with status successStatus, and classifies its failure.
func (c *Client) call(ctx context.Context, method, key string, body []byte, successStatus int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(c.Timeout, DefaultTimeout))
	defer cancel()
	resp, err := c.http.WithTraffic(c.Address, c.Traffic).Do(ctx, jsonhttp.Call{Method: method, Path: pathPrefix + url.PathEscape(key), Body: body})
	if err != nil {
		kind := Uncertain
		if jsonhttp.StageOf(err) == jsonhttp.NotSent {
			kind = Unavailable
		}
		return nil, &Error{Kind: kind, Key: key, Err: err}
	}
	switch resp.Status {
	case successStatus:
		return resp.Body, nil
	case http.StatusNotFound:
		return nil, &Error{Kind: NotFound, Key: key, Err: eris.New("no such object")}
	case http.StatusServiceUnavailable:
		return nil, &Error{Kind: Unavailable, Key: key, Err: eris.New("refused")}
	}
	return nil, &Error{Kind: Uncertain, Key: key, Err: eris.Errorf("status %d", resp.Status)}
}
