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
	"guavapaddle/io/tcp"
)

const (
	// NotRunHeader is set to "1" on responses that state that the request did not run.
	NotRunHeader = "Guavapaddle-Not-Run"
	// DefaultTimeout bounds calls other than streams.
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
	// Client makes calls to one engine. Its exported fields must be set before the first
	// call. It is safe for concurrent use.
	Client struct {
		Address string        // IP:port
		Timeout time.Duration // for calls other than streams, DefaultTimeout if zero
		Traffic *tcp.Traffic  // counts the bytes of calls other than streams; may be nil

		calls   jsonhttp.Lazy // reuses connections
		streams jsonhttp.Lazy // one connection per stream
	}

	// FenceRequest raises the fencing token of an engine.
	FenceRequest struct {
		Fence uint64 `json:"fence"`
	}

	// CancelRequest cancels a request.
	CancelRequest struct {
		RequestID string `json:"request-id"`
	}

	// Refusal is the response body of a rejected order or fence.
	Refusal struct {
		Fence uint64 `json:"fence,omitempty"` // highest fencing token seen
		Error string `json:"error,omitempty"` // "no-base", "in-use", "duplicate"
	}

	// CacheEvent reports that a prompt prefix was stored or evicted.
	CacheEvent struct {
		Sequence   uint64 `json:"sequence"`
		PrefixHash uint64 `json:"prefix-hash"`
		Stored     bool   `json:"stored"`
	}

	// CacheEvents is a batch of an engine's cache events. Missing sequence numbers are lost
	// and never delivered later.
	CacheEvents struct {
		Events []CacheEvent `json:"events"`
		Last   uint64       `json:"last"`
	}
)

// State returns the inventory and load of the engine. Every failure is an *Error.
func (c *Client) State(ctx context.Context) (backend.State, error) {
	var out backend.State
	resp, err := c.call(ctx, http.MethodGet, statePath, nil, &out)
	if err != nil {
		return out, err
	}
	return out, c.expect(resp, http.StatusOK)
}

// Fence raises the engine's fencing token to fence and returns the resulting inventory.
// Every failure is an *Error, of kind StaleFence if the engine has seen a higher token.
func (c *Client) Fence(ctx context.Context, fence uint64) (backend.Inventory, error) {
	var out backend.Inventory
	resp, err := c.call(ctx, http.MethodPost, fencePath, FenceRequest{Fence: fence}, &out)
	if err != nil {
		return out, err
	}
	return out, c.expect(resp, http.StatusOK)
}

// Order sends an order. It returns true if the requested state already holds and false if
// the engine has accepted the order. Every failure is an *Error. After StaleFence, NoSpace,
// NoBase, InUse, Leaving and NotSent nothing was changed; after Lost and the other kinds the
// outcome is unknown.
func (c *Client) Order(ctx context.Context, o backend.Order) (done bool, err error) {
	resp, err := c.call(ctx, http.MethodPost, orderPath, o, nil)
	if err != nil {
		return false, err
	}
	switch resp.Status {
	case http.StatusOK:
		return true, nil
	case http.StatusAccepted:
		return false, nil
	}
	return false, c.refusal(resp)
}

// Cancel cancels a request, whose stream then finishes with "cancelled". Every failure is an
// *Error.
func (c *Client) Cancel(ctx context.Context, requestID string) error {
	resp, err := c.call(ctx, http.MethodPost, cancelPath, CancelRequest{RequestID: requestID}, nil)
	if err != nil {
		return err
	}
	return c.expect(resp, http.StatusNoContent)
}

// CacheEvents returns the events published so far after sequence number since. Every failure
// is an *Error.
func (c *Client) CacheEvents(ctx context.Context, since uint64) (CacheEvents, error) {
	var out CacheEvents
	resp, err := c.call(ctx, http.MethodGet, fmt.Sprintf("%s?since=%d", cacheEventsPath, since), nil, &out)
	if err != nil {
		return out, err
	}
	return out, c.expect(resp, http.StatusOK)
}

// ExportKV returns the KV cache of a request. Every failure is an *Error, of kind
// UnknownRequest if the request does not exist.
func (c *Client) ExportKV(ctx context.Context, requestID string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(c.Timeout, DefaultTimeout))
	defer cancel()
	resp, err := c.calls.Backend(c.Address, c.Traffic).Do(ctx, jsonhttp.Call{Method: http.MethodGet, Path: kvPath + url.PathEscape(requestID)})
	if err != nil {
		return nil, c.transportError(err)
	}
	if resp.Status == http.StatusNotFound {
		return nil, c.newError(UnknownRequest, nil)
	}
	return resp.Body, c.expect(resp, http.StatusOK)
}

// ImportKV sends the KV cache of a request to the engine, where the request can then be
// resumed. Every failure is an *Error.
func (c *Client) ImportKV(ctx context.Context, requestID string, kv []byte) error {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(c.Timeout, DefaultTimeout))
	defer cancel()
	resp, err := c.calls.Backend(c.Address, c.Traffic).Do(ctx, jsonhttp.Call{Method: http.MethodPut, Path: kvPath + url.PathEscape(requestID), Body: kv})
	if err != nil {
		return c.transportError(err)
	}
	return c.expect(resp, http.StatusNoContent)
}

// Close closes idle connections. Open streams continue.
func (c *Client) Close() { c.calls.Backend(c.Address, c.Traffic).Close() }

// call makes one call, bounded by the timeout.
func (c *Client) call(ctx context.Context, method, path string, in, out any) (jsonhttp.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(c.Timeout, DefaultTimeout))
	defer cancel()
	resp, err := c.calls.Backend(c.Address, c.Traffic).JSON(ctx, method, path, in, out)
	if err != nil {
		return resp, c.transportError(err)
	}
	return resp, nil
}

// expect returns an error unless the response has the given status.
func (c *Client) expect(resp jsonhttp.Response, status int) error {
	if resp.Status == status {
		return nil
	}
	return c.refusal(resp)
}

// refusal returns the error for a response with an unexpected status, such as the rejection
// of an order or a fence.
func (c *Client) refusal(resp jsonhttp.Response) *Error {
	e := c.newError(Failed, eris.Errorf("status %d", resp.Status))
	e.statedNotRun = resp.Header.Get(NotRunHeader) == "1"
	switch resp.Status {
	case http.StatusConflict:
		var r Refusal
		if json.Unmarshal(resp.Body, &r) != nil {
			return c.newError(Malformed, eris.Errorf("%.200s", resp.Body))
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

// transportError returns the error for a call without a response.
func (c *Client) transportError(err error) *Error {
	switch jsonhttp.StageOf(err) {
	case jsonhttp.NotSent:
		return c.newError(NotSent, err)
	case jsonhttp.Malformed, jsonhttp.TooLarge:
		return c.newError(Malformed, err)
	default:
		return c.newError(Lost, err)
	}
}

// newError returns an *Error with the client's address.
func (c *Client) newError(k Kind, err error) *Error {
	return &Error{Kind: k, Address: c.Address, Err: err}
}
