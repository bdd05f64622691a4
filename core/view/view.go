// Package view describes a backend server and the demand for models as nodes
// tell them to each other.
//
// The owner of a backend server publishes a Server each time something of it
// changes; nodes pass it on in their digests (see core/member). A view is
// always old: it may cost quality, never safety.
//
// # Usage
//
// Of two views of the same server the one for which Newer holds counts:
//
//	if a.Newer(b) { known[a.Server] = a }
package view

import "guavapaddle/core/backend"

type (
	// Server is what its owner last said of a backend server.
	Server struct {
		Server    string         `json:"server" cbor:"1,keyasint"`
		Owner     string         `json:"owner" cbor:"2,keyasint"`    // node name, empty if nobody owns it
		Epoch     uint64         `json:"epoch" cbor:"3,keyasint"`    // of the owner's lease
		Sequence  uint64         `json:"sequence" cbor:"4,keyasint"` // counts up within an epoch
		BootID    string         `json:"boot-id" cbor:"5,keyasint"`  // of the engine
		Resident  []backend.Item `json:"resident" cbor:"6,keyasint"` // items that serve
		Loading   []backend.Item `json:"loading" cbor:"7,keyasint"`  // items reserved or on their way
		Running   int            `json:"running" cbor:"8,keyasint"`  // requests sent to the server and not ended
		Queued    int            `json:"queued" cbor:"9,keyasint"`   // requests waiting at the owner
		Slots     int            `json:"slots" cbor:"10,keyasint"`   // requests the server runs at the same time
		WaitMS    int64          `json:"wait-ms" cbor:"11,keyasint"` // estimated wait of a new request of normal urgency, milliseconds
		FreeBytes int64          `json:"free-bytes" cbor:"12,keyasint"`
		Reachable bool           `json:"reachable" cbor:"13,keyasint"` // the engine answers its owner
		Leaving   bool           `json:"leaving" cbor:"14,keyasint"`   // takes no new work
	}

	// Demand is how much one node was asked for a model or an adapter.
	Demand struct {
		Name    string  `json:"name" cbor:"1,keyasint"`    // of the model or adapter
		Rate    float64 `json:"rate" cbor:"2,keyasint"`    // requests a second, smoothed
		Urgent  float64 `json:"urgent" cbor:"3,keyasint"`  // part of Rate that is urgent
		Seconds float64 `json:"seconds" cbor:"4,keyasint"` // server time a request takes, smoothed
		Waiting int     `json:"waiting" cbor:"5,keyasint"` // requests that wait for a copy now
	}
)

// Newer tells whether s was published after o by the order of lease epochs.
func (s Server) Newer(o Server) bool {
	if s.Epoch != o.Epoch {
		return s.Epoch > o.Epoch
	}
	return s.Sequence > o.Sequence
}

// Holds tells whether the server serves item i.
func (s Server) Holds(i backend.Item) bool {
	for _, r := range s.Resident {
		if r == i {
			return true
		}
	}
	return false
}
