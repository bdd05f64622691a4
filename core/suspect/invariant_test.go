package suspect_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"guavapaddle/core/row"
	"guavapaddle/core/suspect"
)

// phase is the state of a request.
type phase int

const (
	idle         phase = iota // its caller has not sent it yet, or will send it again
	running                   // at a server
	broadcasting              // its server crashed; it waits until all live nodes have the mark
	planning                  // it has yet to get a trial
	charging                  // the rows were read and the charge will be written
	finished                  // a harmless request was served in every round
)

const (
	nodes            = 8
	servers          = 4
	harmlessRequests = 10
	rounds           = 3 // number of times that a harmless request is to be served
	crashing         = suspect.Fingerprint("crashing")
)

type (
	// request is a request and its caller, who sends it again until it is served.
	request struct {
		fp             suspect.Fingerprint
		phase          phase
		node           int
		server         int
		avoid          int // the server that crashed with it, -1 for none
		trial          suspect.Incident
		plan           suspect.Plan
		crashedHere    bool         // the crash was observed by this node
		unacknowledged map[int]bool // nodes that don't have the mark yet
		crashes        int          // number of crashes while it ran
		refused        int
		served         int
	}

	// message carries marks to a node.
	message struct {
		by    int
		to    int
		marks []suspect.Mark
		from  *request // the request that waits for the delivery, may be nil
	}

	// tableWrite is a node's pending write of a mark to the table.
	tableWrite struct {
		node  int
		fp    suspect.Fingerprint
		trial suspect.Incident // the trial whose slot is to be freed, may be zero
	}

	// simulation models all nodes, servers and requests and the table.
	simulation struct {
		now          time.Time
		sets         [nodes]*suspect.Set
		boots        [servers]int
		copies       int // number of copies of the crashing request, each with its own caller
		firstRuns    int // runs of the crashing request on nodes that had no mark of it
		trials       int // trials of the crashing request
		serversLost  int // crashes caused by it
		nodeFailures int // nodes that failed with the crashing request in flight
		requests     []*request
		messages     []message
		rows         map[string]row.Row
		last         uint64
		attempts     int
		down         bool // whether the table is unavailable
		outages      bool
		roundRobin   int // counter that replaces draws of servers and nodes in finish, zero before
		writes       []tableWrite
	}
)

// newSimulation returns a simulation with the given number of copies of the
// crashing request, each with its own caller, and with all harmless requests.
func newSimulation(copies int) *simulation {
	w := &simulation{now: time.UnixMilli(1_800_000_000_000), rows: map[string]row.Row{}, copies: copies}
	for i := range w.sets {
		w.sets[i] = &suspect.Set{}
	}
	for range copies {
		w.requests = append(w.requests, &request{fp: crashing, avoid: -1})
	}
	for i := range harmlessRequests {
		w.requests = append(w.requests, &request{fp: suspect.Fingerprint(fmt.Sprint("harmless", i)), avoid: -1})
	}
	return w
}

// server draws a server, or in finish returns the next one.
func (w *simulation) server(rt *rapid.T) int {
	if w.roundRobin > 0 {
		w.roundRobin++
		return w.roundRobin % servers
	}
	return rapid.IntRange(0, servers-1).Draw(rt, "server")
}

// node draws a node, or in finish returns the next one.
func (w *simulation) node(rt *rapid.T) int {
	if w.roundRobin > 0 {
		w.roundRobin++
		return w.roundRobin % nodes
	}
	return rapid.IntRange(0, nodes-1).Draw(rt, "node")
}

// read returns a row.
func (w *simulation) read(key string) row.Row {
	r := w.rows[key]
	r.Key = key
	return r
}

// commit commits tx if its conditions hold.
func (w *simulation) commit(tx row.Tx) bool {
	for _, c := range tx.Conditions {
		if w.rows[c.Key].Revision != c.Revision {
			return false
		}
	}
	w.last++
	for _, x := range tx.Writes {
		if x.Delete {
			delete(w.rows, x.Key)
		} else {
			w.rows[x.Key] = row.Row{Key: x.Key, Value: x.Value, Revision: w.last}
		}
	}
	return true
}

// broadcast sends marks of a node to all other nodes. A non-nil r waits for their
// delivery.
func (w *simulation) broadcast(node int, r *request, marks ...suspect.Mark) {
	for to := range nodes {
		if to == node {
			continue
		}
		if r != nil {
			r.unacknowledged[to] = true
		}
		w.messages = append(w.messages, message{by: node, to: to, marks: marks, from: r})
	}
}

// queueWrite adds a pending write of r's mark to the table by r's node.
func (w *simulation) queueWrite(r *request) {
	w.writes = append(w.writes, tableWrite{r.node, r.fp, r.trial})
}

// write performs the pending write i. During an outage it remains pending.
func (w *simulation) write(i int) {
	if w.down {
		return
	}
	x := w.writes[i]
	w.writes = slices.Delete(w.writes, i, i+1)
	tx, err := w.sets[x.node].Update(w.now, x.fp, w.read(suspect.Key(x.fp)))
	if err != nil {
		panic(err)
	}
	if x.trial != (suspect.Incident{}) {
		tx = suspect.FreeSlot(tx, x.trial, w.read(suspect.SlotKey(x.trial.Server)))
	}
	w.commit(tx)
}

// begin starts a round of r: r runs, waits for a trial, or is refused.
func (w *simulation) begin(rt *rapid.T, r *request) {
	r.node, r.crashedHere = w.node(rt), false
	r.trial, r.avoid = suspect.Incident{}, -1
	switch w.sets[r.node].Verdict(w.now, r.fp) {
	case suspect.Refuse:
		r.refused++
		w.endRound(r)
	case suspect.Isolate:
		r.phase = planning
	default:
		r.phase, r.server = running, w.server(rt)
		if r.fp == crashing {
			w.firstRuns++
		}
	}
}

// endRound ends a round of r. The caller sends r again; the caller of a harmless
// request stops when it has been served in every round.
func (w *simulation) endRound(r *request) {
	r.phase = idle
	if r.served == rounds {
		r.phase = finished
	}
}

// crash crashes a server with all requests that run there. The crash is broadcast
// by the nodes of these requests, which wait for the delivery, and by the
// server's owner.
func (w *simulation) crash(server, owner int) {
	w.serversLost++
	i := suspect.Incident{Server: fmt.Sprint("s", server), BootID: fmt.Sprint(w.boots[server])}
	w.boots[server]++
	var inflight []suspect.Fingerprint
	for _, r := range w.requests {
		if r.phase != running || r.server != server {
			continue
		}
		inflight = append(inflight, r.fp)
		r.crashes++
		marks := w.sets[r.node].RecordCrash(w.now, i, []suspect.Fingerprint{r.fp})
		r.phase, r.crashedHere, r.avoid, r.unacknowledged = broadcasting, true, server, map[int]bool{}
		w.queueWrite(r)
		w.broadcast(r.node, r, marks...)
	}
	w.broadcast(owner, nil, w.sets[owner].RecordCrash(w.now, i, inflight)...)
}

// endRun ends a run: the crashing request crashes its server, others succeed.
func (w *simulation) endRun(rt *rapid.T, r *request) {
	if r.fp == crashing {
		w.crash(r.server, rapid.IntRange(0, nodes-1).Draw(rt, "owner"))
		return
	}
	r.served++
	if m, marked := w.sets[r.node].RecordSuccess(w.now, r.fp); marked {
		w.queueWrite(r)
		w.broadcast(r.node, nil, m)
	}
	w.endRound(r)
}

// plan attempts to get a trial for r.
func (w *simulation) plan(rt *rapid.T, r *request) {
	r.server = w.server(rt)
	if r.server == r.avoid {
		return
	}
	w.attempts++
	name := fmt.Sprint("s", r.server)
	trial := suspect.Incident{Server: name, Trial: fmt.Sprint("t", w.attempts)}
	set := w.sets[r.node]
	if w.down {
		if !r.crashedHere || set.Verdict(w.now, r.fp) != suspect.Isolate {
			r.refused++
			w.endRound(r)
			return
		}
		w.charge(r, trial)
		return
	}
	p, err := set.Plan(w.now, r.fp, trial, w.now.Add(time.Minute), w.read(suspect.Key(r.fp)), w.read(suspect.SlotKey(name)))
	require.NoError(rt, err)
	switch {
	case p.Verdict == suspect.Refuse:
		w.commit(p.Tx)
		r.refused++
		w.endRound(r)
	case p.Verdict == suspect.Clear:
		r.phase = running
	case !p.Busy: // if busy, r remains in planning and draws another server
		r.phase, r.plan, r.trial = charging, p, trial
	}
}

// commitPlan commits the charge of r, unless one of the rows has changed.
func (w *simulation) commitPlan(r *request) {
	if !w.down && w.commit(r.plan.Tx) {
		w.charge(r, r.trial)
		return
	}
	r.phase, r.trial = planning, suspect.Incident{}
}

// charge starts the trial of r.
func (w *simulation) charge(r *request, trial suspect.Incident) {
	m := w.sets[r.node].RecordCharge(w.now, r.fp, trial)
	r.trial, r.phase = trial, running
	if r.fp == crashing {
		w.trials++
	}
	w.broadcast(r.node, nil, m)
}

// deliver delivers the message i.
func (w *simulation) deliver(i int) {
	m := w.messages[i]
	w.messages = slices.Delete(w.messages, i, i+1)
	w.sets[m.to].Merge(w.now, m.marks)
	if m.from != nil {
		delete(m.from.unacknowledged, m.to)
	}
}

// failNode replaces the node that has the crashing request in flight by a new
// node, which copies the marks of peer before it accepts requests. The server
// crashes nevertheless. Undelivered messages and pending writes of the failed
// node are lost, and peer, as the server's owner, broadcasts the crash.
func (w *simulation) failNode(peer int) {
	g := w.requests[0]
	failed := g.node
	if g.phase == idle || peer == failed {
		return
	}
	if g.phase == running {
		w.crash(g.server, peer)
	}
	w.nodeFailures++
	w.messages = slices.DeleteFunc(w.messages, func(m message) bool { return m.by == failed })
	w.sets[failed] = &suspect.Set{}
	w.sets[failed].Merge(w.now, w.sets[peer].Marks(w.now))
	w.writes = slices.DeleteFunc(w.writes, func(x tableWrite) bool { return x.node == failed })
	for _, r := range w.requests {
		delete(r.unacknowledged, failed)
		if r.node == failed && r.phase != finished {
			r.phase = idle
		}
	}
}

// advance performs the next step of r.
func (w *simulation) advance(rt *rapid.T, r *request) {
	switch r.phase {
	case idle:
		w.begin(rt, r)
	case running:
		w.endRun(rt, r)
	case broadcasting:
		if len(r.unacknowledged) == 0 {
			r.phase = planning
		}
	case planning:
		w.plan(rt, r)
	case charging:
		w.commitPlan(r)
	case finished:
		rt.Skip("over")
	}
}

// steps returns the possible actions, optionally with node failures and with
// outages of the table.
func (w *simulation) steps(failures, outages bool) map[string]func(*rapid.T) {
	advanceAny := func(rt *rapid.T) { w.advance(rt, rapid.SampledFrom(w.requests).Draw(rt, "request")) }
	deliver := func(rt *rapid.T) {
		for range min(len(w.messages), rapid.IntRange(1, 12).Draw(rt, "messages")) {
			w.deliver(rapid.IntRange(0, len(w.messages)-1).Draw(rt, "message"))
		}
	}
	all := map[string]func(*rapid.T){
		"request": advanceAny, "request again": advanceAny, "deliver": deliver, "deliver again": deliver,
		"next step of crashing request": func(rt *rapid.T) { w.advance(rt, rapid.SampledFrom(w.requests[:w.copies]).Draw(rt, "copy")) },
		"write": func(rt *rapid.T) {
			if len(w.writes) > 0 {
				w.write(rapid.IntRange(0, len(w.writes)-1).Draw(rt, "record"))
			}
		},
		"": w.check,
	}
	if failures {
		all["fail node"] = func(rt *rapid.T) {
			if rapid.IntRange(0, 9).Draw(rt, "rarely") == 0 {
				w.failNode(rapid.IntRange(0, nodes-1).Draw(rt, "peer"))
			}
		}
	}
	if outages {
		w.outages = true
		all["outage"] = func(rt *rapid.T) { w.down = rapid.Bool().Draw(rt, "down") }
	}
	return all
}

// check checks the invariants; it runs after every step.
func (w *simulation) check(rt *rapid.T) {
	summary := fmt.Sprintf("%d crashes by one request in %d first runs and %d trials, %d nodes failed with it in flight",
		w.serversLost, w.firstRuns, w.trials, w.nodeFailures)
	switch {
	case w.copies == 1 && w.serversLost > 2+w.nodeFailures:
		rt.Fatal(summary)
	case !w.outages && w.trials > 1:
		rt.Fatal(summary)
	case w.trials > 1+w.firstRuns:
		rt.Fatal(summary)
	}
}

// finish completes all harmless requests without faults.
func (w *simulation) finish(rt *rapid.T) {
	w.down, w.roundRobin = false, 1
	for range 40 * rounds {
		for len(w.messages) > 0 {
			w.deliver(0)
		}
		for len(w.writes) > 0 {
			w.write(0)
		}
		for _, r := range w.requests[w.copies:] {
			if r.phase != finished {
				w.advance(rt, r)
			}
		}
	}
	for _, r := range w.requests[w.copies:] {
		if w.copies > 1 && r.crashes > 1 {
			continue // indistinguishable from a crashing request
		}
		require.Equal(rt, rounds, r.served, "%s is in phase %d, refused %d times", r.fp, r.phase, r.refused)
	}
}

// TestInvariantCrashingRequest checks that a request that crashes every server
// that runs it crashes at most two, although its caller sends it again through
// any of 8 nodes after each failure and marks arrive late and in any order.
// Harmless requests, some of them on the same servers, are served.
func TestInvariantCrashingRequest(t *testing.T) {
	serversLost := map[int]int{}
	rapid.Check(t, func(rt *rapid.T) {
		w := newSimulation(1)
		rt.Repeat(w.steps(false, false))
		w.finish(rt)
		serversLost[w.serversLost]++
	})
	require.Greater(t, serversLost[2], 50, "too few runs with two crashes: %v", serversLost)
}

// TestInvariantCrashingRequestCopies checks that if four callers send the request
// at the same time, it runs on nodes that have no mark of it and in one trial in
// the whole system, but not otherwise. Harmless requests are served, except those
// that were in flight at two crashes.
func TestInvariantCrashingRequestCopies(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newSimulation(4)
		rt.Repeat(w.steps(false, false))
		w.finish(rt)
	})
}

// TestInvariantCrashingRequestInAnOutage checks the limits during outages of the
// table: at most two crashes with one caller, and with four callers at most one
// more trial than there are first runs.
func TestInvariantCrashingRequestInAnOutage(t *testing.T) {
	for _, copies := range []int{1, 4} {
		rapid.Check(t, func(rt *rapid.T) { rt.Repeat(newSimulation(copies).steps(false, true)) })
	}
}

// TestInvariantCrashingRequestAndNodeDeaths checks that each node that fails with
// the request in flight, and so can't report the crash, allows at most one more
// crash.
func TestInvariantCrashingRequestAndNodeDeaths(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { rt.Repeat(newSimulation(1).steps(true, true)) })
}
