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
	// request is a request that the engine knows.
	request struct {
		gen     backend.Generate
		arrival uint64        // order of arrival
		made    int           // tokens made
		started bool          // has been in the batch
		refused bool          // has left the queue without a start
		finish  string        // set at the end
		doneAt  time.Time     // time of the end
		ready   time.Time     // end of the prefill
		parked  bool          // imported and not yet resumed
		changed chan struct{} // closed and replaced at each change
	}

	// batch holds the requests that run and wait.
	batch struct {
		slots, bound int
		running      []*request
		waiting      []*request // in the order in which they go next
	}
)

// newRequest returns a request that has not been submitted.
func newRequest(g backend.Generate, arrival uint64) *request {
	return &request{gen: g, arrival: arrival, changed: make(chan struct{})}
}

// notify wakes all who watch the request.
func (r *request) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// before tells whether r goes before o: by priority, then by arrival.
func (r *request) before(o *request) bool {
	if r.gen.Priority != o.gen.Priority {
		return r.gen.Priority > o.gen.Priority
	}
	return r.arrival < o.arrival
}

// submit queues a request. If batch and queue are full, it returns false, or
// true and the request of lower priority that was pushed out of the queue
// without having started.
func (b *batch) submit(r *request) (pushed *request, ok bool) {
	b.enqueue(r)
	if b.unstarted() <= b.bound+max(b.slots-len(b.running), 0) {
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

// fill moves requests into the batch: into free slots, and into those of
// running requests of lower priority, which wait again and keep their tokens.
// It returns the requests that came in and how many were put back.
func (b *batch) fill() (in []*request, preempted int) {
	for len(b.waiting) > 0 {
		next := b.waiting[0]
		if len(b.running) >= b.slots {
			last := b.lowest()
			if b.running[last].gen.Priority >= next.gen.Priority {
				return in, preempted
			}
			back := b.running[last]
			b.running = slices.Delete(b.running, last, last+1)
			in = slices.DeleteFunc(in, func(r *request) bool { return r == back })
			b.waiting = b.waiting[1:]
			b.enqueue(back)
			preempted++
		} else {
			b.waiting = b.waiting[1:]
		}
		b.running = append(b.running, next)
		in = append(in, next)
	}
	return in, preempted
}

// step makes one token for each request whose prefill has ended by now and
// returns those that are done with it.
func (b *batch) step(now time.Time) (done []*request) {
	for _, r := range b.running {
		if r.ready.After(now) {
			continue
		}
		r.made++
		if r.made >= r.gen.MaxTokens {
			r.finish = finishStop
			done = append(done, r)
		}
		r.notify()
	}
	b.running = slices.DeleteFunc(b.running, func(r *request) bool { return r.finish != "" })
	return done
}

// remove takes a request out of batch or queue.
func (b *batch) remove(r *request) {
	same := func(o *request) bool { return o == r }
	b.running = slices.DeleteFunc(b.running, same)
	b.waiting = slices.DeleteFunc(b.waiting, same)
}

// enqueue puts a request in its place in the queue.
func (b *batch) enqueue(r *request) {
	i, _ := slices.BinarySearchFunc(b.waiting, r, func(a, t *request) int {
		if a.before(t) {
			return -1
		}
		return 1
	})
	b.waiting = slices.Insert(b.waiting, i, r)
}

// unstarted returns how many requests wait that have never run.
func (b *batch) unstarted() int {
	n := 0
	for _, r := range b.waiting {
		if !r.started {
			n++
		}
	}
	return n
}

// lowest returns the index of the running request that goes first when room is
// needed: the latest of the lowest priority.
func (b *batch) lowest() int {
	last := 0
	for i, r := range b.running {
		if b.running[last].before(r) {
			last = i
		}
	}
	return last
}
