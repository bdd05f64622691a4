// Package backend describes what guavapaddle and a model engine tell each
// other: items in accelerator memory, orders, generation requests and tokens.
//
// The types are the wire format of docs/PROTOCOLS.md and carry no behaviour
// that needs a socket or a clock.
//
// # Usage
//
// An Item is comparable and serves as a map key; String gives the form that
// logs and rows use.
package backend

import "strings"

// ItemState tells where an item stands in an engine's memory.
type ItemState string

// Op is what an order asks of an engine.
type Op string

const (
	// Loading means that the bytes are taken and the item can't serve yet.
	Loading ItemState = "loading"
	// Resident means that the item serves.
	Resident ItemState = "resident"
	// Unloading means that the item no longer serves and holds its bytes.
	Unloading ItemState = "unloading"
)

const (
	// Load orders an engine to load an item.
	Load Op = "load"
	// Unload orders an engine to unload an item.
	Unload Op = "unload"
)

// Item is one version of a model or of an adapter.
type Item struct {
	Name    string `json:"name" cbor:"1,keyasint"`
	Version string `json:"version" cbor:"2,keyasint"`
	Base    string `json:"base,omitempty" cbor:"3,keyasint,omitempty"` // an adapter's model; empty for a model
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

// ItemStatus is an item as an engine holds it.
type ItemStatus struct {
	Item  Item      `json:"item"`
	State ItemState `json:"state"`
	Bytes int64     `json:"bytes"`
}

// Inventory is an engine's truth about itself at one moment.
type Inventory struct {
	Server      string       `json:"server"`
	BootID      string       `json:"boot-id"` // new at every start of the engine
	Fence       uint64       `json:"fence"`   // highest fencing number seen; zero if not checked
	MemoryBytes int64        `json:"memory-bytes"`
	Items       []ItemStatus `json:"items"`
}

// LoadReport is an engine's report of its load, which lags.
type LoadReport struct {
	Running int     `json:"running"` // requests in the batch
	Waiting int     `json:"waiting"` // requests not yet in the batch
	StepMS  float64 `json:"step-ms"` // last step time in milliseconds
}

// State is what an engine answers when it is asked for its state.
type State struct {
	Inventory Inventory  `json:"inventory"`
	Load      LoadReport `json:"load"`
	Leaving   bool       `json:"leaving"`
}

// Order asks an engine to load or unload an item.
type Order struct {
	OrderID string `json:"order-id"` // the same id given twice takes effect once
	Fence   uint64 `json:"fence"`    // refused if lower than the highest seen
	Op      Op     `json:"op"`
	Item    Item   `json:"item"`
	Bytes   int64  `json:"bytes"`
}

// Generate asks an engine for an answer.
type Generate struct {
	RequestID string `json:"request-id"` // unique; the answer echoes it
	Item      Item   `json:"item"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max-tokens"`
	Priority  int    `json:"priority"` // higher goes first, may preempt lower
}

// Resume asks an engine for the rest of an answer.
type Resume struct {
	RequestID string `json:"request-id"`
	Offset    int    `json:"offset"` // tokens that the asker already has
}

// Event is one line of an answer's stream. Exactly one of Token and Finish is
// set in a sound stream; a stream that ends without Finish was cut.
type Event struct {
	RequestID string `json:"request-id"`
	Offset    int    `json:"offset"` // index of the token, from zero
	Token     string `json:"token,omitempty"`
	Finish    string `json:"finish,omitempty"` // "stop", "length" or "cancelled"
	Item      Item   `json:"item"`             // what generated it
}
