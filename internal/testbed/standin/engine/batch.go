package engine

import (
	"slices"
	"time"

	"guavapaddle/core/backend"
)

const (
	finishStop      = "length"
	finishCancelled = "cancelled"
)

type (
	// request is a request and the state of its generation.
	request struct {
		gen        backend.Generate
		arrival    uint64        // position in the order of arrival
		generated  int           // number of generated tokens
		started    bool          // has been in the batch
		displaced  bool          // was removed from the queue before it started
		finish     string        // finish reason, empty until the request has finished
		finishedAt time.Time     // when the request finished
		prefillEnd time.Time     // when the prefill is complete
		imported   bool          // imported from another engine and not yet resumed
		changed    chan struct{} // closed and replaced on each change
	}

	// batch holds the running and the waiting requests. The slots are the maximum
	// batch size; bound is the maximum number of waiting requests that have not
	// started.
	batch struct {
		slots, bound int
		running      []*request
		waiting      []*request // in the order in which they are scheduled
	}
)

// newRequest returns a request that is not yet submitted.
func newRequest(g backend.Generate, arrival uint64) *request {
	return &request{gen: g, arrival: arrival, changed: make(chan struct{})}
}

// notify wakes all goroutines that wait for a change of the request.
func (r *request) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// precedes reports whether r is scheduled before o: by higher priority, then by
// earlier arrival.
func (r *request) precedes(o *request) bool {
	if r.gen.Priority != o.gen.Priority {
		return r.gen.Priority > o.gen.Priority
	}
	return r.arrival < o.arrival
}

// submit adds a request to the queue. If the batch and the queue are full, the last
// unstarted request in the queue is removed: submit returns false if that is r
// itself, and otherwise true and the removed request.
func (b *batch) submit(r *request) (removed *request, ok bool) {
	b.enqueue(r)
	if b.countUnstarted() <= b.bound+max(b.slots-len(b.running), 0) {
		return nil, true
	}
	for i := len(b.waiting) - 1; i >= 0; i-- {
		if w := b.waiting[i]; !w.started {
			b.waiting = slices.Delete(b.waiting, i, i+1)
			return w, w != r
		}
	}
	return nil, true
}

// fill moves waiting requests into free slots of the batch and into the slots of
// running requests of lower priority. The preempted requests return to the queue and
// keep their tokens. It returns the admitted requests and the number of preemptions.
func (b *batch) fill() (admitted []*request, preempted int) {
	for len(b.waiting) > 0 {
		next := b.waiting[0]
		if len(b.running) >= b.slots {
			victimIndex := b.lowestPriority()
			if b.running[victimIndex].gen.Priority >= next.gen.Priority {
				return admitted, preempted
			}
			victim := b.running[victimIndex]
			b.running = slices.Delete(b.running, victimIndex, victimIndex+1)
			admitted = slices.DeleteFunc(admitted, func(r *request) bool { return r == victim })
			b.waiting = b.waiting[1:]
			b.enqueue(victim)
			preempted++
		} else {
			b.waiting = b.waiting[1:]
		}
		b.running = append(b.running, next)
		admitted = append(admitted, next)
	}
	return admitted, preempted
}

// step generates one token for each running request whose prefill is complete at now.
// It removes the requests that have finished from the batch and returns them.
func (b *batch) step(now time.Time) (done []*request) {
	for _, r := range b.running {
		if r.prefillEnd.After(now) {
			continue
		}
		r.generated++
		if r.generated >= r.gen.MaxTokens {
			r.finish = finishStop
			done = append(done, r)
		}
		r.notify()
	}
	b.running = slices.DeleteFunc(b.running, func(r *request) bool { return r.finish != "" })
	return done
}

// remove removes a request from the batch or the queue.
func (b *batch) remove(r *request) {
	same := func(o *request) bool { return o == r }
	b.running = slices.DeleteFunc(b.running, same)
	b.waiting = slices.DeleteFunc(b.waiting, same)
}

// enqueue inserts a request into the queue in scheduling order.
func (b *batch) enqueue(r *request) {
	i, _ := slices.BinarySearchFunc(b.waiting, r, func(a, t *request) int {
		if a.precedes(t) {
			return -1
		}
		return 1
	})
	b.waiting = slices.Insert(b.waiting, i, r)
}

// countUnstarted returns the number of waiting requests that have not started.
func (b *batch) countUnstarted() int {
	n := 0
	for _, r := range b.waiting {
		if !r.started {
			n++
		}
	}
	return n
}

// lowestPriority returns the index of the running request that is preempted first: the
// one of the lowest priority that arrived last.
func (b *batch) lowestPriority() int {
	lowest := 0
	for i, r := range b.running {
		if b.running[lowest].precedes(r) {
			lowest = i
		}
	}
	return lowest
}
