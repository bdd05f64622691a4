// Package bound tells what attainment the same arrivals would have with one
// pooled deadline queue for all servers, each of which holds every model.
//
// # Method
//
// The arrivals go through one core/queue with the slots of all engines, in
// computed time. Nothing is moved, sent or reported late, prefixes are always
// cached, requests are spread evenly over the engines, and urgent work displaces
// running deferrable work without loss. A request's time a token is that of the
// mean batch when it starts. The figure is a bound of what placement and routing
// can reach with this order of the queue, not of all conceivable orders.
//
// # Usage
//
//	met := bound.Run(deployment, arrivals)
//	if met[arrival.Number] { ... }
package bound

import (
	"container/heap"
	"strconv"
	"time"

	"guavapaddle/core/queue"
	"guavapaddle/internal/testbed/workload"
)

// cachedTail is the length in tokens of the part of a prompt that is never
// cached.
const cachedTail = 24

type (
	// job is a request that runs.
	job struct {
		number   int
		started  time.Duration
		perToken time.Duration
		tokens   int
		ends     time.Duration
		index    int // in the heap
	}

	// jobs is a heap by end, for container/heap.
	jobs []*job

	// pool is the pooled queue with what runs.
	pool struct {
		d        workload.Deployment
		arrivals []workload.Arrival
		q        *queue.Queue
		ends     jobs
		running  map[string]*job
		left     []int // tokens that an arrival still needs
		met      []bool
	}
)

// Len returns the number of jobs.
func (j jobs) Len() int { return len(j) }

// Less tells whether job a ends before job b.
func (j jobs) Less(a, b int) bool { return j[a].ends < j[b].ends }

// Swap swaps two jobs.
func (j jobs) Swap(a, b int) {
	j[a], j[b] = j[b], j[a]
	j[a].index, j[b].index = a, b
}

// Push adds a *job at the end.
func (j *jobs) Push(x any) {
	n := x.(*job)
	n.index = len(*j)
	*j = append(*j, n)
}

// Pop takes the last job off.
func (j *jobs) Pop() any {
	last := (*j)[len(*j)-1]
	*j = (*j)[:len(*j)-1]
	return last
}

// Run returns for each arrival whether it would be met in time.
func Run(d workload.Deployment, arrivals []workload.Arrival) []bool {
	p := &pool{
		d: d, arrivals: arrivals, running: map[string]*job{},
		left: make([]int, len(arrivals)), met: make([]bool, len(arrivals)),
		q: queue.New(queue.Settings{
			Slots: d.Engines * d.Slots, Reserve: -1, Limit: len(arrivals) + 1, CancelToPreempt: true,
			StepSeconds: d.FullStep().Seconds(),
		}),
	}
	for i, a := range arrivals {
		p.finishUntil(a.At)
		p.left[i] = a.Tokens
		p.offer(i, a.At)
		p.start(a.At)
	}
	p.finishUntil(1 << 62)
	return p.met
}

// clock turns computed time into the time that the queue wants.
func clock(at time.Duration) time.Time { return time.Unix(0, 0).Add(at) }

// offer puts an arrival, or the rest of a displaced one, into the queue.
func (p *pool) offer(number int, now time.Duration) {
	a := p.arrivals[number]
	deadline := a.At + time.Duration(a.Mix.DeadlineMS)*time.Millisecond
	p.q.Enqueue(clock(now), queue.Entry{
		ID: strconv.Itoa(number), Kind: a.Mix.Name, Urgency: a.Mix.Urgency, Value: a.Mix.Value,
		Deadline: clock(deadline), Tokens: p.left[number],
	})
}

// start dispatches what the pool has room for.
func (p *pool) start(now time.Duration) {
	p.q.Expire(clock(now))
	for {
		e, ok := p.q.Next(clock(now))
		if !ok {
			return
		}
		if e.Preempts != "" {
			p.displace(e.Preempts, now)
		}
		number, _ := strconv.Atoi(e.ID)
		p.run(number, now)
	}
}

// run starts a request at the step time of the mean batch.
func (p *pool) run(number int, now time.Duration) {
	batch := (len(p.running) + p.d.Engines) / p.d.Engines
	j := &job{
		number: number, started: now + cachedTail*p.d.Prefill, tokens: p.left[number],
		perToken: p.d.Step + time.Duration(batch-1)*p.d.StepSlope,
	}
	j.ends = j.started + time.Duration(j.tokens)*j.perToken
	heap.Push(&p.ends, j)
	p.running[strconv.Itoa(number)] = j
}

// displace puts a running request back with the tokens that it still needs.
func (p *pool) displace(id string, now time.Duration) {
	j := p.running[id]
	delete(p.running, id)
	heap.Remove(&p.ends, j.index)
	made := int(max(0, now-j.started) / j.perToken)
	p.left[j.number] = max(1, j.tokens-made)
	p.q.Done(id, clock(now), 0)
	p.offer(j.number, now)
}

// finishUntil ends the requests that are done by a time, in order, and starts
// others in their place.
func (p *pool) finishUntil(until time.Duration) {
	for len(p.ends) > 0 && p.ends[0].ends <= until {
		j := heap.Pop(&p.ends).(*job)
		id := strconv.Itoa(j.number)
		delete(p.running, id)
		p.q.Done(id, clock(j.ends), (j.ends - j.started).Seconds())
		a := p.arrivals[j.number]
		p.met[j.number] = j.ends <= a.At+time.Duration(a.Mix.DeadlineMS)*time.Millisecond
		p.start(j.ends)
	}
}
