package engine

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"guavapaddle/core/backend"
	"guavapaddle/io/jsonhttp"
)

const (
	// NotRunHeader is set to "1" on answers that affirm that the request did
	// not run.
	NotRunHeader = "Guavapaddle-Not-Run"
	// DefaultTimeout bounds a call other than a stream.
	DefaultTimeout = 2 * time.Second

	statePath       = "/engine/v1/state"
	fencePath       = "/engine/v1/fence"
	orderPath       = "/engine/v1/order"
	generatePath    = "/engine/v1/generate"
	resumePath      = "/engine/v1/resume"
	cancelPath      = "/engine/v1/cancel"
	cacheEventsPath = "/engine/v1/cache-events"
	kvPath          = "/engine/v1/kv/"
)

type (
	// Client makes calls to one engine. Its exported fields are set before the
	// first call. It is safe for concurrent use.
	Client struct {
		Address string            // IP:port
		Timeout time.Duration     // of calls other than streams, DefaultTimeout if zero
		Traffic *jsonhttp.Traffic // counts the bytes of calls other than streams, may be nil

		calls   jsonhttp.Lazy // reuses connections
		streams jsonhttp.Lazy // a connection for each stream
	}

	// FenceRequest raises the fencing number.
	FenceRequest struct {
		Fence uint64 `json:"fence"`
	}

	// CancelRequest ends a request.
	CancelRequest struct {
		RequestID string `json:"request-id"`
	}

	// Refusal is the body of an answer that refuses an order or a fence.
	Refusal struct {
		Fence uint64 `json:"fence,omitempty"` // highest seen
		Error string `json:"error,omitempty"` // "no-base", "in-use", "duplicate"
	}

	// CacheEvent tells that a prompt prefix was stored or evicted.
	CacheEvent struct {
		Sequence   uint64 `json:"sequence"`
		PrefixHash uint64 `json:"prefix-hash"`
		Stored     bool   `json:"stored"`
	}

	// CacheEvents is a part of an engine's cache events. Sequences that are
	// missing never come.
	CacheEvents struct {
		Events []CacheEvent `json:"events"`
		Last   uint64       `json:"last"`
	}
)

// State returns inventory and load. Every failure is an *Error.
func (c *Client) State(ctx context.Context) (backend.State, error) {
	var out backend.State
	a, err := c.call(ctx, http.MethodGet, statePath, nil, &out)
	if err != nil {
		return out, err
	}
	return out, c.expect(a, http.StatusOK)
}

// Fence raises the engine's fencing number to fence and returns its inventory
// after that. Every failure is an *Error, of kind StaleFence if the engine has
// seen a higher number.
func (c *Client) Fence(ctx context.Context, fence uint64) (backend.Inventory, error) {
	var out backend.Inventory
	a, err := c.call(ctx, http.MethodPost, fencePath, FenceRequest{Fence: fence}, &out)
	if err != nil {
		return out, err
	}
	return out, c.expect(a, http.StatusOK)
}

// Order gives an order. It returns true if the order is done already and false
// if the engine has accepted it. Every failure is an *Error: after StaleFence,
// NoSpace, NoBase, InUse, Leaving and NotSent nothing was changed, after Lost
// and others nobody knows.
func (c *Client) Order(ctx context.Context, o backend.Order) (done bool, err error) {
	a, err := c.call(ctx, http.MethodPost, orderPath, o, nil)
	if err != nil {
		return false, err
	}
	switch a.Status {
	case http.StatusOK:
		return true, nil
	case http.StatusAccepted:
		return false, nil
	}
	return false, c.refusal(a)
}

// Cancel ends a request; its stream finishes with "cancelled". Every failure
// is an *Error.
func (c *Client) Cancel(ctx context.Context, requestID string) error {
	a, err := c.call(ctx, http.MethodPost, cancelPath, CancelRequest{RequestID: requestID}, nil)
	if err != nil {
		return err
	}
	return c.expect(a, http.StatusNoContent)
}

// CacheEvents returns the events after sequence since that are published by
// now. Every failure is an *Error.
func (c *Client) CacheEvents(ctx context.Context, since uint64) (CacheEvents, error) {
	var out CacheEvents
	a, err := c.call(ctx, http.MethodGet, fmt.Sprintf("%s?since=%d", cacheEventsPath, since), nil, &out)
	if err != nil {
		return out, err
	}
	return out, c.expect(a, http.StatusOK)
}

// ExportKV returns the KV cache of a request. Every failure is an *Error, of
// kind UnknownRequest if there is no such request.
func (c *Client) ExportKV(ctx context.Context, requestID string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(c.Timeout, DefaultTimeout))
	defer cancel()
	a, err := c.calls.Counted(c.Address, c.Traffic).Do(ctx, jsonhttp.Call{Method: http.MethodGet, Path: kvPath + url.PathEscape(requestID)})
	if err != nil {
		return nil, c.lost(err)
	}
	if a.Status == http.StatusNotFound {
		return nil, c.fail(UnknownRequest, nil)
	}
	return a.Body, c.expect(a, http.StatusOK)
}

// ImportKV gives an engine the KV cache of a request, which can be resumed
// there from then on. Every failure is an *Error.
func (c *Client) ImportKV(ctx context.Context, requestID string, kv []byte) error {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(c.Timeout, DefaultTimeout))
	defer cancel()
	a, err := c.calls.Counted(c.Address, c.Traffic).Do(ctx, jsonhttp.Call{Method: http.MethodPut, Path: kvPath + url.PathEscape(requestID), Body: kv})
	if err != nil {
		return c.lost(err)
	}
	return c.expect(a, http.StatusNoContent)
}

// Close closes unused connections. Streams go on.
func (c *Client) Close() { c.calls.Counted(c.Address, c.Traffic).Close() }

// call makes one bounded call.
func (c *Client) call(ctx context.Context, method, path string, in, out any) (jsonhttp.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(c.Timeout, DefaultTimeout))
	defer cancel()
	a, err := c.calls.Counted(c.Address, c.Traffic).JSON(ctx, method, path, in, out)
	if err != nil {
		return a, c.lost(err)
	}
	return a, nil
}

// expect returns an error unless the answer has the given status.
func (c *Client) expect(a jsonhttp.Answer, status int) error {
	if a.Status == status {
		return nil
	}
	return c.refusal(a)
}

// refusal returns the error for an answer that refuses an order, a fence or a
// call that is neither.
func (c *Client) refusal(a jsonhttp.Answer) *Error {
	e := c.fail(Failed, eris.Errorf("status %d", a.Status))
	e.affirmed = a.Header.Get(NotRunHeader) == "1"
	switch a.Status {
	case http.StatusConflict:
		var r Refusal
		if json.Unmarshal(a.Body, &r) != nil {
			return c.fail(Malformed, eris.Errorf("%.200s", a.Body))
		}
		switch r.Error {
		case "":
			e.Kind, e.Fence = StaleFence, r.Fence
		case string(NoBase):
			e.Kind = NoBase
		default:
			e.Kind = InUse
		}
	case http.StatusInsufficientStorage:
		e.Kind = NoSpace
	case http.StatusServiceUnavailable:
		e.Kind = Leaving
	}
	return e
}

// lost returns the error for a call without an answer.
func (c *Client) lost(err error) *Error {
	switch jsonhttp.StageOf(err) {
	case jsonhttp.NotSent:
		return c.fail(NotSent, err)
	case jsonhttp.Malformed, jsonhttp.TooLarge:
		return c.fail(Malformed, err)
	default:
		return c.fail(Lost, err)
	}
}

// fail returns an *Error.
func (c *Client) fail(k Kind, err error) *Error {
	return &Error{Kind: k, Address: c.Address, Err: err}
}
