package queue

import (
	"container/heap"
	"container/list"
	"math/rand/v2"
	"time"

	"guavapaddle/core/config"
	"guavapaddle/core/outcome"
)

const topPriority = 2 // of an urgent request at the engine

// running is an entry that was dispatched and is not done.
type running struct {
	Entry
	seconds  float64
	started  time.Time
	yielding bool // the caller was told to cancel it
}

// Queue holds the waiting and the running requests of one backend server.
type Queue struct {
	given    Settings // as given to New
	set      Settings // with defaults
	learned  estimator
	tree     tree
	expiry   expiryHeap
	ages     ageHeap
	aged     *list.List // of *waiting, those that waited longest first
	agedAt   map[string]*list.Element
	waiting  map[string]*waiting
	running  map[string]*running
	deferred int  // running entries that are deferrable
	yielding int  // running entries that the caller was told to cancel
	alone    bool // the only running entry runs alone
	turn     int  // dispatches since the last aged one
	sequence uint64
}

// New returns an empty queue.
func New(given Settings) *Queue {
	set := given.withDefaults()
	return &Queue{
		given:   given,
		set:     set,
		learned: newEstimator(set),
		tree:    tree{random: rand.New(rand.NewPCG(1, 2))},
		aged:    list.New(),
		agedAt:  map[string]*list.Element{},
		waiting: map[string]*waiting{},
		running: map[string]*running{},
	}
}

// SetSlots sets how many requests the server runs at the same time.
func (q *Queue) SetSlots(slots int) {
	q.given.Slots = slots
	q.set = q.given.withDefaults()
}

// Offer admits e to the queue or refuses it. An entry whose id is known is
// refused with reason in-progress.
func (q *Queue) Offer(now time.Time, e Entry) Result {
	if q.known(e.ID) {
		return Result{Reason: outcome.InProgress, RetryAfter: minRetryAfter}
	}
	w := q.newWaiting(now, e)
	wait := q.waitOf(now, w)
	r := Result{Wait: wait, Seconds: w.seconds}
	if q.probes(now, w, wait) {
		w.latestStart = w.Deadline
	} else if late := q.lateness(now, w, wait); late > 0 {
		r.Reason, r.RetryAfter = outcome.DeadlineUnreachable, max(late, minRetryAfter)
		return r
	}
	if q.tree.len() >= q.set.Limit {
		last := q.tree.last()
		if last.class <= w.class {
			r.Reason, r.RetryAfter = outcome.QueueFull, q.drainTime()
			return r
		}
		q.take(last)
		r.Evicted = &Ended{Entry: last.Entry, Reason: outcome.Preempted, RetryAfter: q.drainTime()}
	}
	q.add(w)
	r.Admitted = true
	return r
}

// Next returns the next entry to send to the server, or false if none may be
// sent now. The entry counts as running until Done.
func (q *Queue) Next(now time.Time) (Dispatch, bool) {
	q.age(now)
	if q.alone {
		return Dispatch{}, false
	}
	w := q.agedTurn()
	if w != nil {
		if d, ok := q.try(now, w); ok || w.Alone {
			return d, ok
		}
	}
	if w = q.tree.first(); w == nil {
		return Dispatch{}, false
	}
	return q.try(now, w)
}

// Done tells that a running entry ended. A positive seconds is its service time
// and is learned; give zero for one that failed or was cancelled. It tells
// whether the entry was running.
func (q *Queue) Done(id string, now time.Time, seconds float64) bool {
	r, ok := q.running[id]
	if !ok {
		return false
	}
	delete(q.running, id)
	if r.Urgency == config.Deferrable {
		q.deferred--
	}
	if r.Alone {
		q.alone = false
	}
	if r.yielding {
		q.yielding--
	}
	if seconds > 0 {
		q.learned.learn(r.Kind, r.Tokens, seconds)
	}
	return true
}

// Cancel takes a waiting entry out, and tells whether it was waiting. A running
// entry stays until Done.
func (q *Queue) Cancel(id string) bool {
	w, ok := q.waiting[id]
	if ok {
		q.take(w)
	}
	return ok
}

// Expire takes out the entries that can no longer end in time even if they
// started now, and returns them in the order of their latest start.
func (q *Queue) Expire(now time.Time) []Ended {
	var out []Ended
	for len(q.expiry) > 0 && q.expiry[0].latestStart.Before(now) {
		w := q.expiry[0]
		wait := q.waitOf(now, w)
		q.take(w)
		e := Ended{Entry: w.Entry, Reason: outcome.DeadlineUnreachable, RetryAfter: max(wait, minRetryAfter)}
		if !now.Before(w.Deadline) {
			e.Reason = outcome.DeadlinePassed
		}
		out = append(out, e)
	}
	return out
}

// NextExpiry returns when Expire has something to return, or false if no
// waiting entry has a deadline.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.expiry) == 0 {
		return time.Time{}, false
	}
	return q.expiry[0].latestStart.Add(time.Nanosecond), true
}

// Drain takes out all waiting entries, in the order of dispatch, for a server
// that leaves or is lost. Running entries stay until Done.
func (q *Queue) Drain() []Entry {
	out := make([]Entry, 0, len(q.waiting))
	for w := q.tree.first(); w != nil; w = q.tree.first() {
		q.take(w)
		out = append(out, w.Entry)
	}
	return out
}

// State returns the state of the queue, for the view of its server.
func (q *Queue) State(now time.Time) State {
	s := State{
		Slots:   q.set.Slots,
		Running: len(q.running),
		Queued:  q.tree.len(),
		Wait:    make(map[config.Urgency]time.Duration, 3),
		Seconds: q.learned.seconds("", 0),
	}
	for _, u := range []config.Urgency{config.Urgent, config.Normal, config.Deferrable} {
		s.Wait[u] = q.waitOf(now, &waiting{class: classOf(u), Entry: Entry{Urgency: u}, sequence: q.sequence + 1})
	}
	return s
}

func (q *Queue) known(id string) bool {
	_, waits := q.waiting[id]
	_, runs := q.running[id]
	return waits || runs
}

func (q *Queue) newWaiting(now time.Time, e Entry) *waiting {
	q.sequence++
	w := &waiting{
		Entry: e, seconds: q.learned.seconds(e.Kind, e.Tokens), arrived: now, class: classOf(e.Urgency),
		worth: q.learned.worth(e), sequence: q.sequence, ageAt: now.Add(q.set.AgeAfter), expiryIndex: -1, ageIndex: -1,
	}
	if !e.Deadline.IsZero() {
		w.latestStart = e.Deadline.Add(-q.needed(w.seconds))
	}
	return w
}

// needed returns the time that a service time is held against a deadline with.
func (q *Queue) needed(seconds float64) time.Duration {
	return time.Duration(seconds * q.set.Margin * float64(time.Second))
}

// probes tells whether w is admitted whatever its estimated service time, since
// the server would run it at once and has half of its slots free. Without such
// requests an estimate that is too high would never be corrected.
func (q *Queue) probes(now time.Time, w *waiting, wait time.Duration) bool {
	return wait == 0 && 2*len(q.running) < q.set.Slots && !w.Deadline.IsZero() && now.Before(w.Deadline)
}

// lateness returns by how much w would miss its deadline.
func (q *Queue) lateness(now time.Time, w *waiting, wait time.Duration) time.Duration {
	if w.latestStart.IsZero() {
		return 0
	}
	wait = time.Duration(float64(wait) * q.set.Margin)
	return now.Add(wait).Sub(w.latestStart)
}

func (q *Queue) add(w *waiting) {
	q.waiting[w.ID] = w
	q.tree.insert(w)
	heap.Push(&q.ages, w)
	if !w.latestStart.IsZero() {
		heap.Push(&q.expiry, w)
	}
}

// take removes w from every structure.
func (q *Queue) take(w *waiting) {
	delete(q.waiting, w.ID)
	q.tree.remove(w)
	if w.ageIndex >= 0 {
		heap.Remove(&q.ages, w.ageIndex)
	}
	if w.expiryIndex >= 0 {
		heap.Remove(&q.expiry, w.expiryIndex)
	}
	if el, ok := q.agedAt[w.ID]; ok {
		q.aged.Remove(el)
		delete(q.agedAt, w.ID)
	}
}

// age raises the class of entries that have waited for AgeAfter.
func (q *Queue) age(now time.Time) {
	for len(q.ages) > 0 && !q.ages[0].ageAt.After(now) {
		w := heap.Pop(&q.ages).(*waiting)
		if _, ok := q.agedAt[w.ID]; !ok {
			q.agedAt[w.ID] = q.aged.PushBack(w)
		}
		if w.class == 0 {
			continue
		}
		q.tree.remove(w)
		w.class--
		q.tree.insert(w)
		w.ageAt = w.ageAt.Add(q.set.AgeAfter)
		heap.Push(&q.ages, w)
	}
}

// agedTurn returns the aged entry that has waited longest if it is its turn.
func (q *Queue) agedTurn() *waiting {
	front := q.aged.Front()
	if front == nil || q.turn+1 < q.set.AgedEvery {
		return nil
	}
	return front.Value.(*waiting)
}

// try dispatches w if there is a place for it.
func (q *Queue) try(now time.Time, w *waiting) (Dispatch, bool) {
	if w.Alone && len(q.running) > 0 {
		return Dispatch{}, false
	}
	victim, ok := q.place(w)
	if !ok {
		return Dispatch{}, false
	}
	d := q.dispatch(now, w)
	if victim != nil && q.set.CancelToPreempt {
		victim.yielding = true
		q.yielding++
		d.Preempts = victim.ID
	}
	return d, true
}

// place tells whether w may be sent now, and which running entry it displaces.
func (q *Queue) place(w *waiting) (victim *running, ok bool) {
	limit := q.set.Slots
	if w.class == classOf(config.Deferrable) {
		limit -= q.set.Reserve
	}
	if len(q.running)-q.yielding < limit {
		return nil, true
	}
	if w.Urgency != config.Urgent || w.Alone || len(q.running)-q.deferred >= q.set.Slots {
		return nil, false
	}
	v := q.victim()
	return v, v != nil
}

// victim returns the running deferrable entry that started last.
func (q *Queue) victim() *running {
	var v *running
	for _, r := range q.running {
		if r.Urgency != config.Deferrable || r.yielding {
			continue
		}
		if v == nil || r.started.After(v.started) || r.started.Equal(v.started) && r.ID > v.ID {
			v = r
		}
	}
	return v
}

func (q *Queue) dispatch(now time.Time, w *waiting) Dispatch {
	if _, aged := q.agedAt[w.ID]; aged {
		q.turn = 0
	} else {
		q.turn++
	}
	q.take(w)
	q.running[w.ID] = &running{Entry: w.Entry, seconds: w.seconds, started: now}
	if w.Urgency == config.Deferrable {
		q.deferred++
	}
	q.alone = w.Alone
	return Dispatch{
		Entry: w.Entry, Waited: now.Sub(w.arrived),
		Priority: Priority(w.Urgency),
	}
}

// Priority returns the priority at the engine of work of urgency u, for
// backend.Generate: higher goes first.
func Priority(u config.Urgency) int { return topPriority - classOf(u) }
