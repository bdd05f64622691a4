package queue

import (
	"container/heap"
	"container/list"
	"math/rand/v2"
	"time"

	"guavapaddle/core/config"
	"guavapaddle/core/outcome"
)

const topPriority = 2 // engine priority of an urgent request

// running is an entry that was dispatched and is not done.
type running struct {
	Entry
	seconds    float64
	started    time.Time
	cancelling bool // a dispatch asked the caller to cancel it
}

// Queue holds the waiting and the running requests of one backend server.
type Queue struct {
	requested         Settings // as passed to New
	settings          Settings // requested with defaults applied
	estimates         estimator
	tree              tree
	expiry            expiryHeap
	ages              ageHeap
	aged              *list.List // entries (*waiting) that have waited for AgeAfter, longest wait first
	agedElements      map[string]*list.Element
	waiting           map[string]*waiting
	running           map[string]*running
	runningDeferrable int  // number of running deferrable entries
	cancelling        int  // number of running entries being cancelled
	isolated          bool // an isolated entry is running
	sinceAged         int  // dispatches since the last one of an aged entry
	sequence          uint64
}

// New returns an empty queue.
func New(requested Settings) *Queue {
	settings := requested.withDefaults()
	return &Queue{
		requested:    requested,
		settings:     settings,
		estimates:    newEstimator(settings),
		tree:         tree{random: rand.New(rand.NewPCG(1, 2))},
		aged:         list.New(),
		agedElements: map[string]*list.Element{},
		waiting:      map[string]*waiting{},
		running:      map[string]*running{},
	}
}

// SetSlots sets the number of requests that the server runs concurrently.
func (q *Queue) SetSlots(slots int) {
	q.requested.Slots = slots
	q.settings = q.requested.withDefaults()
}

// Enqueue admits e to the queue or refuses it. An entry whose ID is already
// waiting or running is refused with reason in-progress.
func (q *Queue) Enqueue(now time.Time, e Entry) Result {
	if q.contains(e.ID) {
		return Result{Reason: outcome.InProgress, RetryAfter: minRetryAfter}
	}
	w := q.newWaiting(now, e)
	wait := q.estimateWait(now, w)
	r := Result{Wait: wait, Seconds: w.seconds}
	if q.isProbe(now, w, wait) {
		w.latestStart = w.Deadline
	} else if late := q.lateness(now, w, wait); late > 0 {
		r.Reason, r.RetryAfter = outcome.DeadlineUnreachable, max(late, minRetryAfter)
		return r
	}
	if q.tree.len() >= q.settings.Limit {
		last := q.tree.last()
		if last.class <= w.class {
			r.Reason, r.RetryAfter = outcome.QueueFull, q.drainTime()
			return r
		}
		q.removeWaiting(last)
		r.Evicted = &Rejection{Entry: last.Entry, Reason: outcome.Preempted, RetryAfter: q.drainTime()}
	}
	q.addWaiting(w)
	r.Admitted = true
	return r
}

// Next returns the next entry to send to the server, or false if none may be
// sent now. The entry counts as running until Done is called for it.
func (q *Queue) Next(now time.Time) (Dispatch, bool) {
	q.promoteAged(now)
	if q.isolated {
		return Dispatch{}, false
	}
	w := q.nextAged()
	if w != nil {
		if d, ok := q.tryDispatch(now, w); ok || w.Isolated {
			return d, ok
		}
	}
	if w = q.tree.first(); w == nil {
		return Dispatch{}, false
	}
	return q.tryDispatch(now, w)
}

// Done removes a running entry that has ended and reports whether it was
// running. A positive seconds is its service time and updates the estimates;
// pass zero for an entry that failed or was cancelled.
func (q *Queue) Done(id string, now time.Time, seconds float64) bool {
	r, ok := q.running[id]
	if !ok {
		return false
	}
	delete(q.running, id)
	if r.Urgency == config.Deferrable {
		q.runningDeferrable--
	}
	if r.Isolated {
		q.isolated = false
	}
	if r.cancelling {
		q.cancelling--
	}
	if seconds > 0 {
		q.estimates.learn(r.Kind, r.Tokens, seconds)
	}
	return true
}

// Cancel removes a waiting entry and reports whether it was waiting. A running
// entry stays until Done is called for it.
func (q *Queue) Cancel(id string) bool {
	w, ok := q.waiting[id]
	if ok {
		q.removeWaiting(w)
	}
	return ok
}

// Expire removes the waiting entries that would miss their deadline even if they
// started now, and returns them in order of their latest start time.
func (q *Queue) Expire(now time.Time) []Rejection {
	var out []Rejection
	for len(q.expiry) > 0 && q.expiry[0].latestStart.Before(now) {
		w := q.expiry[0]
		wait := q.estimateWait(now, w)
		q.removeWaiting(w)
		e := Rejection{Entry: w.Entry, Reason: outcome.DeadlineUnreachable, RetryAfter: max(wait, minRetryAfter)}
		if !now.Before(w.Deadline) {
			e.Reason = outcome.DeadlinePassed
		}
		out = append(out, e)
	}
	return out
}

// NextExpiry returns the earliest time at which Expire returns an entry, or
// false if no waiting entry has a deadline.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.expiry) == 0 {
		return time.Time{}, false
	}
	return q.expiry[0].latestStart.Add(time.Nanosecond), true
}

// Drain removes all waiting entries and returns them in dispatch order. It is
// used when a server leaves or is lost. Running entries stay until Done is
// called for them.
func (q *Queue) Drain() []Entry {
	out := make([]Entry, 0, len(q.waiting))
	for w := q.tree.first(); w != nil; w = q.tree.first() {
		q.removeWaiting(w)
		out = append(out, w.Entry)
	}
	return out
}

// State returns the current state of the queue, to be published in the server's
// view.
func (q *Queue) State(now time.Time) State {
	s := State{
		Slots:   q.settings.Slots,
		Running: len(q.running),
		Queued:  q.tree.len(),
		Wait:    make(map[config.Urgency]time.Duration, 3),
		Seconds: q.estimates.seconds("", 0),
	}
	for _, u := range []config.Urgency{config.Urgent, config.Normal, config.Deferrable} {
		s.Wait[u] = q.estimateWait(now, &waiting{class: classOf(u), Entry: Entry{Urgency: u}, sequence: q.sequence + 1})
	}
	return s
}

func (q *Queue) contains(id string) bool {
	_, waits := q.waiting[id]
	_, runs := q.running[id]
	return waits || runs
}

func (q *Queue) newWaiting(now time.Time, e Entry) *waiting {
	q.sequence++
	w := &waiting{
		Entry: e, seconds: q.estimates.seconds(e.Kind, e.Tokens), arrived: now, class: classOf(e.Urgency),
		valueRate: q.estimates.valueRate(e), sequence: q.sequence, ageAt: now.Add(q.settings.AgeAfter), expiryIndex: -1, ageIndex: -1,
	}
	if !e.Deadline.IsZero() {
		w.latestStart = e.Deadline.Add(-q.withMargin(w.seconds))
	}
	return w
}

// withMargin returns a service time multiplied by Margin, for comparison with a
// deadline.
func (q *Queue) withMargin(seconds float64) time.Duration {
	return time.Duration(seconds * q.settings.Margin * float64(time.Second))
}

// isProbe reports whether w is admitted regardless of its estimated service time,
// because the server would run it at once and more than half of its slots are
// free. Without such probes an estimate that is too high would never be
// corrected.
func (q *Queue) isProbe(now time.Time, w *waiting, wait time.Duration) bool {
	return wait == 0 && 2*len(q.running) < q.settings.Slots && !w.Deadline.IsZero() && now.Before(w.Deadline)
}

// lateness returns by how much w would miss its deadline.
func (q *Queue) lateness(now time.Time, w *waiting, wait time.Duration) time.Duration {
	if w.latestStart.IsZero() {
		return 0
	}
	wait = time.Duration(float64(wait) * q.settings.Margin)
	return now.Add(wait).Sub(w.latestStart)
}

func (q *Queue) addWaiting(w *waiting) {
	q.waiting[w.ID] = w
	q.tree.insert(w)
	heap.Push(&q.ages, w)
	if !w.latestStart.IsZero() {
		heap.Push(&q.expiry, w)
	}
}

// removeWaiting removes w from the tree, the heaps and the indexes.
func (q *Queue) removeWaiting(w *waiting) {
	delete(q.waiting, w.ID)
	q.tree.remove(w)
	if w.ageIndex >= 0 {
		heap.Remove(&q.ages, w.ageIndex)
	}
	if w.expiryIndex >= 0 {
		heap.Remove(&q.expiry, w.expiryIndex)
	}
	if el, ok := q.agedElements[w.ID]; ok {
		q.aged.Remove(el)
		delete(q.agedElements, w.ID)
	}
}

// promoteAged promotes each entry that has waited for AgeAfter since it arrived or was
// last promoted, and adds it to the aged entries.
func (q *Queue) promoteAged(now time.Time) {
	for len(q.ages) > 0 && !q.ages[0].ageAt.After(now) {
		w := heap.Pop(&q.ages).(*waiting)
		if _, ok := q.agedElements[w.ID]; !ok {
			q.agedElements[w.ID] = q.aged.PushBack(w)
		}
		if w.class == 0 {
			continue
		}
		q.tree.remove(w)
		w.class--
		q.tree.insert(w)
		w.ageAt = w.ageAt.Add(q.settings.AgeAfter)
		heap.Push(&q.ages, w)
	}
}

// nextAged returns the aged entry that has waited longest if AgingInterval-1
// dispatches have passed since the last one of an aged entry, or nil.
func (q *Queue) nextAged() *waiting {
	front := q.aged.Front()
	if front == nil || q.sinceAged+1 < q.settings.AgingInterval {
		return nil
	}
	return front.Value.(*waiting)
}

// tryDispatch dispatches w if a slot is free or can be preempted for it.
func (q *Queue) tryDispatch(now time.Time, w *waiting) (Dispatch, bool) {
	if w.Isolated && len(q.running) > 0 {
		return Dispatch{}, false
	}
	victim, ok := q.findSlot(w)
	if !ok {
		return Dispatch{}, false
	}
	d := q.dispatch(now, w)
	if victim != nil && q.settings.CancelToPreempt {
		victim.cancelling = true
		q.cancelling++
		d.Preempts = victim.ID
	}
	return d, true
}

// findSlot reports whether w may be dispatched now, and which running entry it
// preempts, if any.
func (q *Queue) findSlot(w *waiting) (victim *running, ok bool) {
	limit := q.settings.Slots
	if w.class == classOf(config.Deferrable) {
		limit -= q.settings.Reserve
	}
	if len(q.running)-q.cancelling < limit {
		return nil, true
	}
	if w.Urgency != config.Urgent || w.Isolated || len(q.running)-q.runningDeferrable >= q.settings.Slots {
		return nil, false
	}
	v := q.victim()
	return v, v != nil
}

// victim returns the running deferrable entry that started last and is not
// being cancelled already, or nil if there is none.
func (q *Queue) victim() *running {
	var v *running
	for _, r := range q.running {
		if r.Urgency != config.Deferrable || r.cancelling {
			continue
		}
		if v == nil || r.started.After(v.started) || r.started.Equal(v.started) && r.ID > v.ID {
			v = r
		}
	}
	return v
}

func (q *Queue) dispatch(now time.Time, w *waiting) Dispatch {
	if _, aged := q.agedElements[w.ID]; aged {
		q.sinceAged = 0
	} else {
		q.sinceAged++
	}
	q.removeWaiting(w)
	q.running[w.ID] = &running{Entry: w.Entry, seconds: w.seconds, started: now}
	if w.Urgency == config.Deferrable {
		q.runningDeferrable++
	}
	q.isolated = w.Isolated
	return Dispatch{
		Entry: w.Entry, Waited: now.Sub(w.arrived),
		Priority: Priority(w.Urgency),
	}
}

// Priority returns the engine priority of work of urgency u, for
// backend.Generate. A higher priority runs first.
func Priority(u config.Urgency) int { return topPriority - classOf(u) }
