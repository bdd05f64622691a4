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
		Server    string         `json:"server"`
		Owner     string         `json:"owner"`    // node name, empty if nobody owns it
		Epoch     uint64         `json:"epoch"`    // of the owner's lease
		Sequence  uint64         `json:"sequence"` // counts up within an epoch
		BootID    string         `json:"boot-id"`  // of the engine
		Resident  []backend.Item `json:"resident"` // items that serve
		Loading   []backend.Item `json:"loading"`  // items reserved or on their way
		Running   int            `json:"running"`  // requests sent to the server and not ended
		Queued    int            `json:"queued"`   // requests waiting at the owner
		Slots     int            `json:"slots"`    // requests the server runs at the same time
		WaitMS    int64          `json:"wait-ms"`  // estimated wait of a new request of normal urgency, milliseconds
		FreeBytes int64          `json:"free-bytes"`
		Reachable bool           `json:"reachable"` // the engine answers its owner
		Leaving   bool           `json:"leaving"`   // takes no new work
	}

	// Demand is how much one node was asked for a model or an adapter.
	Demand struct {
		Name    string  `json:"name"`    // of the model or adapter
		Rate    float64 `json:"rate"`    // requests a second, smoothed
		Urgent  float64 `json:"urgent"`  // part of Rate that is urgent
		Seconds float64 `json:"seconds"` // server time a request takes, smoothed
		Waiting int     `json:"waiting"` // requests that wait for a copy now
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
