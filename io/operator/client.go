package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"guavapaddle/core/config"
	"guavapaddle/core/status"
	"guavapaddle/io/jsonhttp"
)

// DefaultTimeout bounds a call.
const DefaultTimeout = 3 * time.Second

type (
	// Client asks one node. Its exported fields are set before the first call.
	// It is safe for concurrent use.
	Client struct {
		Address string        // IP:port of the node's operator endpoint
		Timeout time.Duration // of each call, DefaultTimeout if zero

		http jsonhttp.Lazy
	}

	// Error is the failure of a call.
	Error struct {
		Address string
		Status  int // of the answer, zero if there was none
		Err     error
	}
)

// Error returns the node's address and the cause.
func (e *Error) Error() string { return fmt.Sprintf("operator: %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotFound tells whether err means that the node answered that it doesn't have
// what was asked for.
func NotFound(err error) bool {
	e, ok := errors.AsType[*Error](err)
	return ok && e.Status == http.StatusNotFound
}

// Status returns what the node knows. Every failure is an *Error.
func (c *Client) Status(ctx context.Context) (status.Report, error) {
	var r status.Report
	_, err := c.get(ctx, statusPath, &r)
	return r, err
}

// Explain returns what the node knows of a request. Every failure is an
// *Error, for which NotFound holds if that is nothing.
func (c *Client) Explain(ctx context.Context, requestID string) (status.Explanation, error) {
	var e status.Explanation
	_, err := c.get(ctx, explainPath+url.PathEscape(requestID), &e)
	return e, err
}

// Config returns the canonical document with a hash, checked. Every failure is
// an *Error, for which NotFound holds if the node has another in force.
func (c *Client) Config(ctx context.Context, hash string) ([]byte, error) {
	body, err := c.get(ctx, configPath+url.PathEscape(hash), nil)
	if err != nil {
		return nil, err
	}
	if config.HashBytes(body) != hash {
		return nil, &Error{Address: c.Address, Status: http.StatusOK, Err: eris.New("the body has another hash")}
	}
	return body, nil
}

// get makes one call; an answer with status 200 is decoded into out unless
// that is nil.
func (c *Client) get(ctx context.Context, path string, out any) ([]byte, error) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a, err := c.http.Get(c.Address).JSON(ctx, http.MethodGet, path, nil, out)
	if err != nil {
		return nil, &Error{Address: c.Address, Err: err}
	}
	if a.Status != http.StatusOK {
		return nil, &Error{Address: c.Address, Status: a.Status, Err: eris.Errorf("status %d: %.200s", a.Status, a.Body)}
	}
	return a.Body, nil
}
