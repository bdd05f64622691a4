// Package bound computes the deadline attainment that the same arrivals would have with one
// pooled deadline queue for all servers, each of which holds every model.
//
// # Method
//
// The arrivals go through one core/queue with the slots of all engines, in simulated time.
// Nothing is moved, sent or reported late, prefixes are always cached, requests are spread
// evenly over the engines, and urgent work preempts running deferrable work without loss.
// The time per token of a request is that of the mean batch at its start. The result is an
// upper bound for placement and routing with this queue order, not for all conceivable
// orders.
//
// # Usage
//
//	met := bound.Run(deployment, arrivals)
//	if met[arrival.Index] { ... }
package bound

import (
	"container/heap"
	"strconv"
	"time"

	"guavapaddle/core/queue"
	"guavapaddle/internal/testbed/workload"
)

// uncachedTail is the number of tokens at the end of a prompt that are never cached.
const uncachedTail = 24

type (
	// job is a running request.
	job struct {
		arrival  int // index of its arrival
		started  time.Duration
		perToken time.Duration
		tokens   int
		ends     time.Duration
		index    int // index in the heap
	}

	// jobs is a heap of jobs by end time, for container/heap.
	jobs []*job

	// pool is the pooled queue and the running requests.
	pool struct {
		deployment workload.Deployment
		arrivals   []workload.Arrival
		q          *queue.Queue
		ends       jobs
		running    map[string]*job
		remaining  []int // by arrival: tokens that it still needs
		met        []bool
	}
)

// Len returns the number of jobs.
func (j jobs) Len() int { return len(j) }

// Less reports whether job a ends before job b.
func (j jobs) Less(a, b int) bool { return j[a].ends < j[b].ends }

// Swap swaps two jobs.
func (j jobs) Swap(a, b int) {
	j[a], j[b] = j[b], j[a]
	j[a].index, j[b].index = a, b
}

// Push appends a *job.
func (j *jobs) Push(x any) {
	n := x.(*job)
	n.index = len(*j)
	*j = append(*j, n)
}

// Pop removes and returns the last job.
func (j *jobs) Pop() any {
	last := (*j)[len(*j)-1]
	*j = (*j)[:len(*j)-1]
	return last
}

// Run reports for each arrival whether it meets its deadline.
func Run(deployment workload.Deployment, arrivals []workload.Arrival) []bool {
	p := &pool{
		deployment: deployment, arrivals: arrivals, running: map[string]*job{},
		remaining: make([]int, len(arrivals)), met: make([]bool, len(arrivals)),
		q: queue.New(queue.Settings{
			Slots: deployment.Engines * deployment.Slots, Reserve: -1, Limit: len(arrivals) + 1, CancelToPreempt: true,
			StepSeconds: deployment.FullStep().Seconds(),
		}),
	}
	for i, a := range arrivals {
		p.finishUntil(a.At)
		p.remaining[i] = a.Tokens
		p.enqueue(i, a.At)
		p.start(a.At)
	}
	p.finishUntil(1 << 62)
	return p.met
}

// queueTime converts simulated time to the time values that the queue takes.
func queueTime(at time.Duration) time.Time { return time.Unix(0, 0).Add(at) }

// enqueue adds an arrival, or the remainder of a preempted one, to the queue.
func (p *pool) enqueue(arrival int, now time.Duration) {
	a := p.arrivals[arrival]
	deadline := a.At + time.Duration(a.Mix.DeadlineMS)*time.Millisecond
	p.q.Enqueue(queueTime(now), queue.Entry{
		ID: strconv.Itoa(arrival), Kind: a.Mix.Name, Urgency: a.Mix.Urgency, Value: a.Mix.Value,
		Deadline: queueTime(deadline), Tokens: p.remaining[arrival],
	})
}

// start dispatches requests until the pool has no free slot or the queue has no request that
// may run.
func (p *pool) start(now time.Duration) {
	p.q.Expire(queueTime(now))
	for {
		e, ok := p.q.Next(queueTime(now))
		if !ok {
			return
		}
		if e.Preempts != "" {
			p.preempt(e.Preempts, now)
		}
		arrival, _ := strconv.Atoi(e.ID)
		p.run(arrival, now)
	}
}

// run starts a request at the step time of the mean batch.
func (p *pool) run(arrival int, now time.Duration) {
	batch := (len(p.running) + p.deployment.Engines) / p.deployment.Engines
	j := &job{
		arrival: arrival, started: now + uncachedTail*p.deployment.Prefill, tokens: p.remaining[arrival],
		perToken: p.deployment.Step + time.Duration(batch-1)*p.deployment.StepSlope,
	}
	j.ends = j.started + time.Duration(j.tokens)*j.perToken
	heap.Push(&p.ends, j)
	p.running[strconv.Itoa(arrival)] = j
}

// preempt stops a running request and enqueues it again with the tokens that it still needs.
func (p *pool) preempt(id string, now time.Duration) {
	j := p.running[id]
	delete(p.running, id)
	heap.Remove(&p.ends, j.index)
	generated := int(max(0, now-j.started) / j.perToken)
	p.remaining[j.arrival] = max(1, j.tokens-generated)
	p.q.Done(id, queueTime(now), 0)
	p.enqueue(j.arrival, now)
}

// finishUntil ends, in order, the requests that complete by a time, and starts others in
// their place.
func (p *pool) finishUntil(until time.Duration) {
	for len(p.ends) > 0 && p.ends[0].ends <= until {
		j := heap.Pop(&p.ends).(*job)
		id := strconv.Itoa(j.arrival)
		delete(p.running, id)
		p.q.Done(id, queueTime(j.ends), (j.ends - j.started).Seconds())
		a := p.arrivals[j.arrival]
		p.met[j.arrival] = j.ends <= a.At+time.Duration(a.Mix.DeadlineMS)*time.Millisecond
		p.start(j.ends)
	}
}
