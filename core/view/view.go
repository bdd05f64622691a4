// Package view defines the views of backend servers and of the demand for models
// that nodes exchange by gossip.
//
// The owner of a backend server publishes a new Server each time the server's
// state changes. Nodes forward it in their gossip digests (see core/member). A
// view is always outdated to some degree. Decisions based on it may be worse than
// the current state would allow, but never unsafe.
//
// # Usage
//
// Of two views of the same server, the newer one is kept:
//
//	if a.Newer(b) { known[a.Server] = a }
package view

import "guavapaddle/core/backend"

type (
	// Server is the state of a backend server as last published by its owner.
	Server struct {
		Server    string         `json:"server" cbor:"1,keyasint"`
		Owner     string         `json:"owner" cbor:"2,keyasint"`    // name of the owning node, empty if there is none
		Epoch     uint64         `json:"epoch" cbor:"3,keyasint"`    // of the owner's lease
		Sequence  uint64         `json:"sequence" cbor:"4,keyasint"` // increases within an epoch
		BootID    string         `json:"boot-id" cbor:"5,keyasint"`  // of the engine
		Resident  []backend.Item `json:"resident" cbor:"6,keyasint"` // items that can serve requests
		Loading   []backend.Item `json:"loading" cbor:"7,keyasint"`  // items that are loading or whose memory is reserved
		Running   int            `json:"running" cbor:"8,keyasint"`  // requests sent to the server and not yet completed
		Queued    int            `json:"queued" cbor:"9,keyasint"`   // requests waiting at the owner
		Slots     int            `json:"slots" cbor:"10,keyasint"`   // maximum number of concurrent requests
		WaitMS    int64          `json:"wait-ms" cbor:"11,keyasint"` // estimated wait in milliseconds of a new request of normal urgency
		FreeBytes int64          `json:"free-bytes" cbor:"12,keyasint"`
		Reachable bool           `json:"reachable" cbor:"13,keyasint"` // the engine responds to its owner
		Leaving   bool           `json:"leaving" cbor:"14,keyasint"`   // the server accepts no new work
	}

	// Demand is the demand for a model or an adapter that one node receives.
	Demand struct {
		Name    string  `json:"name" cbor:"1,keyasint"`    // name of the model or adapter
		Rate    float64 `json:"rate" cbor:"2,keyasint"`    // smoothed rate of requests per second
		Urgent  float64 `json:"urgent" cbor:"3,keyasint"`  // rate of urgent requests, included in Rate
		Seconds float64 `json:"seconds" cbor:"4,keyasint"` // smoothed server time per request in seconds
		Waiting int     `json:"waiting" cbor:"5,keyasint"` // requests currently waiting for a copy
	}
)

// Newer reports whether s was published after o. Views are ordered by lease epoch
// and then by sequence number.
func (s Server) Newer(o Server) bool {
	if s.Epoch != o.Epoch {
		return s.Epoch > o.Epoch
	}
	return s.Sequence > o.Sequence
}

// Holds reports whether item i is resident on the server.
func (s Server) Holds(i backend.Item) bool {
	for _, r := range s.Resident {
		if r == i {
			return true
		}
	}
	return false
}
