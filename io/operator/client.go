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
	// Client queries one node. Its exported fields must be set before the first call. It is
	// safe for concurrent use.
	Client struct {
		Address string        // IP:port of the node's operator endpoint
		Timeout time.Duration // per call, DefaultTimeout if zero

		http jsonhttp.Lazy
	}

	// Error is a failed call.
	Error struct {
		Address string
		Status  int // status of the response, zero if there was none
		Err     error
	}
)

// Error returns the node's address and the cause.
func (e *Error) Error() string { return fmt.Sprintf("operator: %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotFound reports whether err means that the node does not have what was requested.
func NotFound(err error) bool {
	e, ok := errors.AsType[*Error](err)
	return ok && e.Status == http.StatusNotFound
}

// Status returns the status of the node. Every failure is an *Error.
func (c *Client) Status(ctx context.Context) (status.Report, error) {
	var r status.Report
	_, err := c.get(ctx, statusPath, &r)
	return r, err
}

// Explain returns the node's record of a request. Every failure is an *Error, for which
// NotFound is true if the node has no record.
func (c *Client) Explain(ctx context.Context, requestID string) (status.Explanation, error) {
	var e status.Explanation
	_, err := c.get(ctx, explainPath+url.PathEscape(requestID), &e)
	return e, err
}

// Config returns the canonical document with the given hash and verifies it. Every failure
// is an *Error, for which NotFound is true if the node has another document in force.
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

// get makes one call. A response with status 200 is decoded into out unless out is nil.
func (c *Client) get(ctx context.Context, path string, out any) ([]byte, error) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := c.http.Get(c.Address).JSON(ctx, http.MethodGet, path, nil, out)
	if err != nil {
		return nil, &Error{Address: c.Address, Err: err}
	}
	if resp.Status != http.StatusOK {
		return nil, &Error{Address: c.Address, Status: resp.Status, Err: eris.Errorf("status %d: %.200s", resp.Status, resp.Body)}
	}
	return resp.Body, nil
}
