// Package backend defines the messages between guavapaddle and a model engine:
// items in accelerator memory, orders, generation requests and tokens.
//
// The types are the wire format of docs/PROTOCOLS.md. They have no behaviour that
// needs a socket or a clock.
//
// # Usage
//
// An Item is comparable and can be used as a map key. String returns the form
// that is used in logs and rows.
package backend

import "strings"

// ItemState is the state of an item in an engine's memory.
type ItemState string

// Op is the operation that an order requests from an engine.
type Op string

const (
	// Loading means that the memory is allocated but the item can't serve
	// requests yet.
	Loading ItemState = "loading"
	// Resident means that the item can serve requests.
	Resident ItemState = "resident"
	// Unloading means that the item no longer serves requests but still occupies
	// its memory.
	Unloading ItemState = "unloading"
)

const (
	// Load orders an engine to load an item.
	Load Op = "load"
	// Unload orders an engine to unload an item.
	Unload Op = "unload"
)

// Item identifies a version of a model or of an adapter.
type Item struct {
	Name    string `json:"name" cbor:"1,keyasint"`
	Version string `json:"version" cbor:"2,keyasint"`
	Base    string `json:"base,omitempty" cbor:"3,keyasint,omitempty"` // name of the adapter's model; empty for a model
}

// String returns "name@version", or "base+name@version" for an adapter.
func (i Item) String() string {
	var b strings.Builder
	if i.Base != "" {
		b.WriteString(i.Base)
		b.WriteByte('+')
	}
	b.WriteString(i.Name)
	b.WriteByte('@')
	b.WriteString(i.Version)
	return b.String()
}

// ItemStatus is the state and size of an item in an engine's memory.
type ItemStatus struct {
	Item  Item      `json:"item"`
	State ItemState `json:"state"`
	Bytes int64     `json:"bytes"`
}

// Inventory is an engine's authoritative report of its memory at one moment.
type Inventory struct {
	Server      string       `json:"server"`
	BootID      string       `json:"boot-id"` // new at every start of the engine
	Fence       uint64       `json:"fence"`   // highest fencing number seen; zero if not checked
	MemoryBytes int64        `json:"memory-bytes"`
	Items       []ItemStatus `json:"items"`
}

// LoadReport is an engine's report of its load. It lags behind the actual load.
type LoadReport struct {
	Running int     `json:"running"` // requests in the batch
	Waiting int     `json:"waiting"` // requests not yet in the batch
	StepMS  float64 `json:"step-ms"` // duration of the last step in milliseconds
}

// State is an engine's reply to a request for its state.
type State struct {
	Inventory Inventory  `json:"inventory"`
	Load      LoadReport `json:"load"`
	Leaving   bool       `json:"leaving"`
}

// Order tells an engine to load or unload an item.
type Order struct {
	OrderID string `json:"order-id"` // idempotency key: an id that is sent twice takes effect once
	Fence   uint64 `json:"fence"`    // fencing number; rejected if lower than the highest seen
	Op      Op     `json:"op"`
	Item    Item   `json:"item"`
	Bytes   int64  `json:"bytes"`
}

// Generate requests a generation from an engine.
type Generate struct {
	RequestID string `json:"request-id"` // unique; echoed in the events
	Item      Item   `json:"item"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max-tokens"`
	Priority  int    `json:"priority"` // a higher priority is scheduled first and may preempt a lower one
}

// Resume requests the remaining events of a generation from an engine.
type Resume struct {
	RequestID string `json:"request-id"`
	Offset    int    `json:"offset"` // number of tokens that the requester already has
}

// Event is one line of a generation's stream. In a valid stream, exactly one of
// Token and Finish is set; a stream that ends without Finish was interrupted.
type Event struct {
	RequestID string `json:"request-id"`
	Offset    int    `json:"offset"` // index of the token, counted from zero
	Token     string `json:"token,omitempty"`
	Finish    string `json:"finish,omitempty"` // "stop", "length" or "cancelled"
	Item      Item   `json:"item"`             // item that generated the token
}
