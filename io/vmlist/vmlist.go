package vmlist

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"guavapaddle/io/jsonhttp"
	"guavapaddle/io/tcp"
)

// Role is the kind of process that a VM runs.
type Role string

// State reports whether a VM accepts new work.
type State string

// Kind classifies a failure by its meaning for the call.
type Kind string

const (
	// Node is a VM that runs a guavapaddle node.
	Node Role = "node"
	// Engine is a VM that runs a model engine.
	Engine Role = "engine"
	// Service is a VM that runs a plain service.
	Service Role = "service"
)

const (
	// Live means that the VM accepts new work.
	Live State = "live"
	// Leaving means that the VM will stop soon.
	Leaving State = "leaving"
	// Gone removes the VM from the list.
	Gone State = "gone"
)

const (
	// Unavailable means that the call was certainly not executed.
	Unavailable Kind = "unavailable"
	// Uncertain means that the call may have been executed.
	Uncertain Kind = "uncertain"
)

const (
	// DefaultTimeout bounds a call.
	DefaultTimeout = 2 * time.Second
	// ListPath is the path of the call that reads the list.
	ListPath = "/vms/v1/list"
	// SetPath is the path of the call that sets an entry.
	SetPath = "/vms/v1/set"
)

type (
	// VM is an entry of the list.
	VM struct {
		Name       string `json:"name"`
		Address    string `json:"address"` // IP:port
		Role       Role   `json:"role"`
		DataCentre string `json:"data-centre"`
		State      State  `json:"state"`
	}

	// List is the response to a call of ListPath.
	List struct {
		VMs []VM `json:"vms"`
	}

	// Set is the body of a call of SetPath.
	Set struct {
		VM VM `json:"vm"`
	}

	// Client reads and sets entries of the list. Its exported fields must be set before the
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
)

// Error returns the kind, the call and the cause.
func (e *Error) Error() string { return fmt.Sprintf("vmlist: %s: %s: %v", e.Kind, e.Call, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// List returns the VMs currently listed, ordered by name. Every failure is an *Error.
func (c *Client) List(ctx context.Context) ([]VM, error) {
	var out List
	err := c.call(ctx, http.MethodGet, ListPath, nil, &out)
	return out.VMs, err
}

// Set sets the entry of a VM, or removes it if its state is Gone. Every failure is an
// *Error.
func (c *Client) Set(ctx context.Context, vm VM) error {
	return c.call(ctx, http.MethodPost, SetPath, Set{VM: vm}, nil)
}

// Close closes idle connections.
func (c *Client) Close() { c.http.WithTraffic(c.Address, c.Traffic).Close() }

// call makes one call and classifies its failure.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(c.Timeout, DefaultTimeout))
	defer cancel()
	resp, err := c.http.WithTraffic(c.Address, c.Traffic).JSON(ctx, method, path, in, out)
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
	}
	return &Error{Kind: Uncertain, Call: path, Err: eris.Errorf("status %d", resp.Status)}
}
