package trace

import (
	"sync"
	"time"

	"guavapaddle/core/status"
)

const (
	// DefaultCapacity is the default number of events that a Recorder holds:
	// about seven minutes at 6 requests per second on the node and 6 events per
	// request.
	DefaultCapacity = 16384
	// DefaultPerRequest is the default maximum number of events of one request.
	// It prevents a request that is retried endlessly from evicting the events
	// of all others.
	DefaultPerRequest = 64
)

type (
	// Recorder is a ring buffer of events. Its exported fields must be set before
	// the first call. It is safe for concurrent use.
	Recorder struct {
		Node       string           // name of the local node
		Capacity   int              // maximum number of events; DefaultCapacity if zero
		PerRequest int              // maximum number of events of one request; DefaultPerRequest if zero
		Now        func() time.Time // clock; time.Now if nil

		mu       sync.Mutex
		ring     []entry
		sequence uint64              // sequence number of the next event
		byID     map[string][]uint64 // sequence numbers of the events held, oldest first
	}

	entry struct {
		id    string
		event status.Event
	}
)

// String returns a field of an event.
func String(name, value string) status.Field { return status.Field{Name: name, Value: value} }

// Add records an event of the request with the given ID. Once a request has
// PerRequest events, each further event replaces the latest one, so that the
// final event of a request is always held.
func (r *Recorder) Add(id, event string, fields ...status.Field) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	e := status.Event{AtUnixMS: r.Now().UnixMilli(), Sequence: r.sequence, Node: r.Node, Event: event, Fields: fields}
	if sequences := r.byID[id]; len(sequences) >= r.PerRequest {
		last := sequences[len(sequences)-1]
		e.Sequence = last
		r.ring[last%uint64(len(r.ring))].event = e
		return
	}
	slot := &r.ring[r.sequence%uint64(len(r.ring))]
	if r.sequence >= uint64(len(r.ring)) {
		r.removeOldest(slot.id)
	}
	*slot = entry{id: id, event: e}
	r.byID[id] = append(r.byID[id], r.sequence)
	r.sequence++
}

// init sets the defaults and allocates the buffer on first use.
func (r *Recorder) init() {
	if r.ring != nil {
		return
	}
	if r.Capacity == 0 {
		r.Capacity = DefaultCapacity
	}
	if r.PerRequest == 0 {
		r.PerRequest = DefaultPerRequest
	}
	if r.Now == nil {
		r.Now = time.Now
	}
	r.ring = make([]entry, r.Capacity)
	r.byID = make(map[string][]uint64)
}

// removeOldest removes the oldest event of a request from the index.
func (r *Recorder) removeOldest(id string) {
	sequences := r.byID[id]
	if len(sequences) <= 1 {
		delete(r.byID, id)
		return
	}
	r.byID[id] = sequences[1:]
}

// Explain returns the events held of the request with the given ID, and whether
// there are any.
func (r *Recorder) Explain(id string) (status.Explanation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sequences, ok := r.byID[id]
	e := status.Explanation{RequestID: id, Events: make([]status.Event, 0, len(sequences))}
	for _, s := range sequences {
		e.Events = append(e.Events, r.ring[s%uint64(len(r.ring))].event)
	}
	return e, ok
}
