package trace

import (
	"sync"
	"time"

	"guavapaddle/core/status"
)

const (
	// DefaultCapacity is how many events a Recorder keeps: about seven minutes
	// at 6 requests a second and node and 6 events each.
	DefaultCapacity = 16384
	// DefaultPerRequest bounds the events of one request, so that one that is
	// retried without end can't push out all others.
	DefaultPerRequest = 64
)

type (
	// Recorder is a ring of events. Its exported fields are set before the
	// first call. It is safe for concurrent use.
	Recorder struct {
		Node       string           // name of this node
		Capacity   int              // events in all, DefaultCapacity if zero
		PerRequest int              // events of one request, DefaultPerRequest if zero
		Now        func() time.Time // time.Now if nil

		mu       sync.Mutex
		ring     []entry
		sequence uint64              // of the next event
		byID     map[string][]uint64 // sequences of the events kept, oldest first
	}

	entry struct {
		id    string
		event status.Event
	}
)

// String returns a field.
func String(name, value string) status.Field { return status.Field{Name: name, Value: value} }

// Add records an event of the request id. Beyond PerRequest events of one
// request the last one kept is replaced, so that its end can always be seen.
func (r *Recorder) Add(id, event string, fields ...status.Field) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	e := status.Event{AtUnixMS: r.Now().UnixMilli(), Sequence: r.sequence, Node: r.Node, Event: event, Fields: fields}
	if kept := r.byID[id]; len(kept) >= r.PerRequest {
		last := kept[len(kept)-1]
		e.Sequence = last
		r.ring[last%uint64(len(r.ring))].event = e
		return
	}
	slot := &r.ring[r.sequence%uint64(len(r.ring))]
	if r.sequence >= uint64(len(r.ring)) {
		r.forget(slot.id)
	}
	*slot = entry{id: id, event: e}
	r.byID[id] = append(r.byID[id], r.sequence)
	r.sequence++
}

// init fills in the defaults.
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

// forget drops the oldest event of a request.
func (r *Recorder) forget(id string) {
	kept := r.byID[id]
	if len(kept) <= 1 {
		delete(r.byID, id)
		return
	}
	r.byID[id] = kept[1:]
}

// Explain returns what is kept of the request id, and whether that is anything.
func (r *Recorder) Explain(id string) (status.Explanation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept, ok := r.byID[id]
	e := status.Explanation{RequestID: id, Events: make([]status.Event, 0, len(kept))}
	for _, s := range kept {
		e.Events = append(e.Events, r.ring[s%uint64(len(r.ring))].event)
	}
	return e, ok
}
