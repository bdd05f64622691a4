package claim_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"guavapaddle/core/claim"
	"guavapaddle/core/outcome"
	"guavapaddle/core/row"
)

// phase is the state of an attempt.
type phase int

const (
	inserting phase = iota // its insert is in transit or its outcome is unknown
	held                   // it holds the claim and may send the call
	finishing              // it has ended and its last change must be committed
	finished
)

const (
	nodes    = 3
	deadline = 5 * time.Second
)

type (
	// table models the platform's table, which serializes transactions.
	table struct {
		rows map[string]row.Row
		last uint64
	}

	// attempt is one call by one caller through one node.
	attempt struct {
		id, node  int
		team      string
		key, body string
		phase     phase
		own       claim.Claim
		change    claim.Change // to be committed, in phase inserting or finishing
		settle    bool         // change settles the abandoned insert
		insert    claim.Change
		ran       bool
		failure   *outcome.Error
		stored    string
		died      bool // together with its node; the caller gets no reply
	}

	// delayedWrite is a transaction in transit. It arrives once, at any time.
	delayedWrite struct {
		t *attempt
		c claim.Change
	}

	// simulation models all nodes and callers, the table and the service.
	simulation struct {
		now      time.Time
		table    table
		attempts []*attempt
		inFlight []delayedWrite
		runs     map[string][]*attempt // by row key
	}
)

// apply commits a change if its condition holds.
func (w *simulation) apply(c claim.Change) (row.Result, row.Row) {
	if w.table.rows[c.Key].Revision != c.Revision {
		return row.Result{}, w.read(c.Key)
	}
	w.table.last++
	w.table.rows[c.Key] = row.Row{Key: c.Key, Value: c.Value(), Revision: w.table.last}
	return row.Result{Committed: true, Revision: w.table.last}, row.Row{}
}

// read returns a row.
func (w *simulation) read(key string) row.Row {
	r := w.table.rows[key]
	r.Key = key
	return r
}

// start creates an attempt.
func (w *simulation) start(node int, team, key, body string) *attempt {
	t := &attempt{id: len(w.attempts), node: node, team: team, key: key, body: body}
	t.own = claim.Claim{
		Team: team, BodyHash: claim.BodyHash("s", "POST", "/p", []byte(body)),
		Attempt: fmt.Sprint("a", t.id), Node: fmt.Sprint("n", node),
		AtMS: w.now.UnixMilli(), DeadlineMS: w.now.Add(deadline).UnixMilli(),
	}
	t.change = claim.Insert(claim.Key(team, key), t.own, 0)
	w.attempts = append(w.attempts, t)
	return t
}

// write commits t's change and delivers the result to t, unless the reply is lost
// or the change remains in transit.
func (w *simulation) write(rt *rapid.T, t *attempt, result string) {
	switch result {
	case "in transit":
		w.inFlight = append(w.inFlight, delayedWrite{t, t.change})
	case "reply lost":
		w.apply(t.change)
	default:
		res, current := w.apply(t.change)
		if res.Committed {
			w.committed(t, res.Revision)
			return
		}
		w.resolve(rt, t, current)
	}
}

// resolve updates t with the outcome of its change as derived from a row.
func (w *simulation) resolve(rt *rapid.T, t *attempt, r row.Row) {
	result, err := t.change.Outcome(r)
	require.NoError(rt, err)
	switch {
	case result == claim.Committed:
		w.committed(t, r.Revision)
	case result == claim.Pending: // the change will be written again
	case t.settle:
		w.settle(rt, t)
	case t.phase == finishing:
		rt.Fatalf("attempt %d lost the row that it held: %s", t.id, r.Value)
	default:
		w.evaluate(rt, t, r)
	}
}

// committed advances t after its change was committed.
func (w *simulation) committed(t *attempt, revision uint64) {
	if t.phase == finishing {
		t.phase = finished
		return
	}
	t.phase = held
	t.own = t.change.Claim
	t.change = t.change.Held(revision).Release() // send replaces it by the change for the actual ending
}

// evaluate replaces the row r if that is allowed, or else ends t with the stored
// answer or the error for its caller.
func (w *simulation) evaluate(rt *rapid.T, t *attempt, r row.Row) {
	v, err := claim.Evaluate(r, t.own, w.now, nil)
	require.NoError(rt, err)
	switch v.Decision {
	case claim.Free:
		t.own.Attempt += "+"
		t.change = claim.Insert(t.change.Key, t.own, v.Revision)
		return
	case claim.Stored:
		t.stored = string(v.Answer.Body)
	default:
		t.failure = v.Err
	}
	t.phase = finished
}

// settle prepares the change that settles t's abandoned insert.
func (w *simulation) settle(rt *rapid.T, t *attempt) {
	c, needed, err := claim.Settle(t.insert, w.read(t.insert.Key), w.now.UnixMilli())
	require.NoError(rt, err)
	t.change = c
	if !needed {
		t.phase = finished
	}
}

// send sends t's call once and ends it as given.
func (w *simulation) send(t *attempt, ending string) {
	h := claim.Held{Key: t.change.Key, Revision: t.change.Revision, Claim: t.own}
	t.phase = finishing
	if ending != "not sent" && ending != "lost before it ran" {
		t.ran = true
		w.runs[h.Key] = append(w.runs[h.Key], t)
	}
	switch ending {
	case "answered":
		t.stored = answer(t.body)
		t.change = h.Finish(claim.Answer{Status: 200, Body: []byte(t.stored)})
	case "not sent":
		t.failure = outcome.Refuse(outcome.BackendUnreachable, "", 0)
		t.change = h.Release()
	default:
		t.failure = outcome.Unconfirmed(outcome.BackendLost, "")
		t.change = h.MarkUnknown(outcome.BackendLost)
	}
}

// answer returns the service's answer to a call with the given body.
func answer(body string) string { return "answer to " + body }

// drawAttempt draws a live attempt for which f returns true.
func (w *simulation) drawAttempt(rt *rapid.T, f func(*attempt) bool) *attempt {
	var live []*attempt
	for _, t := range w.attempts {
		if !t.died && f(t) {
			live = append(live, t)
		}
	}
	if len(live) == 0 {
		rt.Skip("no such attempt")
	}
	return rapid.SampledFrom(live).Draw(rt, "attempt")
}

// hasPendingWrite reports whether t has a change to commit.
func hasPendingWrite(t *attempt) bool { return t.phase == inserting || t.phase == finishing }

// steps returns the possible actions with the frequent ones repeated, so that
// most calls make progress before a fault.
func (w *simulation) steps() map[string]func(*rapid.T) {
	all := w.actions()
	for _, usual := range []string{"write", "send"} {
		for i := range 3 {
			all[fmt.Sprint(usual, i)] = all[usual]
		}
	}
	return all
}

// actions returns each possible action once.
func (w *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"call": func(rt *rapid.T) {
			w.start(rapid.IntRange(0, nodes-1).Draw(rt, "node"),
				rapid.SampledFrom([]string{"corella", "corella", "kabinaki"}).Draw(rt, "team"),
				rapid.SampledFrom([]string{"k1", "k1", "k2"}).Draw(rt, "key"),
				rapid.SampledFrom([]string{"b1", "b1", "b1", "b2"}).Draw(rt, "body"))
		},
		"write": func(rt *rapid.T) {
			callOutcome := rapid.SampledFrom([]string{"answered", "answered", "answered", "reply lost", "in transit"}).Draw(rt, "outcome")
			w.write(rt, w.drawAttempt(rt, hasPendingWrite), callOutcome)
		},
		"arrive": func(rt *rapid.T) {
			if len(w.inFlight) == 0 {
				rt.Skip("nothing in transit")
			}
			i := rapid.IntRange(0, len(w.inFlight)-1).Draw(rt, "write")
			w.apply(w.inFlight[i].c)
			w.inFlight = slices.Delete(w.inFlight, i, i+1)
		},
		"read back": func(rt *rapid.T) {
			t := w.drawAttempt(rt, hasPendingWrite)
			w.resolve(rt, t, w.read(t.change.Key))
		},
		"give up": func(rt *rapid.T) {
			t := w.drawAttempt(rt, func(t *attempt) bool { return t.phase == inserting })
			t.failure = outcome.Refuse(outcome.TableDown, "", 0)
			t.phase, t.settle, t.insert = finishing, true, t.change
			w.settle(rt, t)
		},
		"send": func(rt *rapid.T) {
			how := rapid.SampledFrom([]string{"answered", "not sent", "lost after it ran", "lost before it ran"}).Draw(rt, "how")
			w.send(w.drawAttempt(rt, func(t *attempt) bool { return t.phase == held }), how)
		},
		"node dies": func(rt *rapid.T) {
			n := rapid.IntRange(0, 8*nodes).Draw(rt, "node")
			for _, t := range w.attempts {
				t.died = t.died || (t.node == n && t.phase != finished)
			}
		},
		"wait": func(_ *rapid.T) { w.now = w.now.Add(deadline / 2) },
		"":     w.check,
	}
}

// check checks the invariants; it runs after every step.
func (w *simulation) check(rt *rapid.T) {
	for key, runs := range w.runs {
		if len(runs) > 1 {
			rt.Fatalf("%s ran %d times", key, len(runs))
		}
	}
	for _, t := range w.attempts {
		switch {
		case t.failure != nil && t.failure.Outcome == outcome.RefusedNotRun && t.ran:
			rt.Fatalf("attempt %d was refused as not run (%s) but ran", t.id, t.failure.Reason)
		case t.failure == nil && t.stored != "" && t.stored != answer(t.body):
			rt.Fatalf("attempt %d sent %q and got %q", t.id, t.body, t.stored)
		case t.failure == nil && t.stored != "" && !w.ran(t):
			rt.Fatalf("attempt %d got the answer of a call that never ran", t.id)
		}
	}
}

// ran reports whether the call of t ran for t's team.
func (w *simulation) ran(t *attempt) bool {
	runs := w.runs[claim.Key(t.team, t.key)]
	return len(runs) == 1 && runs[0].team == t.team
}

// newSimulation returns a simulation without attempts and with an empty table.
func newSimulation() *simulation {
	return &simulation{
		now:   time.UnixMilli(1_800_000_000_000),
		table: table{rows: map[string]row.Row{}},
		runs:  map[string][]*attempt{},
	}
}

// drain delivers all writes in transit and lets every live node finish its
// attempts without faults.
func (w *simulation) drain(rt *rapid.T) {
	for _, f := range w.inFlight {
		w.apply(f.c)
	}
	w.inFlight = nil
	for _, t := range w.attempts {
		for range 10 {
			if t.died || !hasPendingWrite(t) {
				break
			}
			w.write(rt, t, "answered")
		}
		if !t.died && t.phase == held {
			w.send(t, "not sent")
			w.write(rt, t, "answered")
		}
	}
	w.check(rt)
}

// TestInvariantAtMostOnceAcrossNodes checks that a call runs at most once under
// its key and that no caller gets another call's answer or an incomplete one,
// although writes are lost, delayed or repeated and nodes fail.
func TestInvariantAtMostOnceAcrossNodes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newSimulation()
		rt.Repeat(w.steps())
		w.drain(rt)
	})
}

// TestInvariantRefusedNotRunRepeats checks that a call whose attempts were all
// refused as not run can be claimed again once the table is available.
func TestInvariantRefusedNotRunRepeats(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newSimulation()
		rt.Repeat(w.steps())
		w.drain(rt)
		refused := map[string]bool{}
		for _, t := range w.attempts {
			key := claim.Key(t.team, t.key)
			if _, seen := refused[key]; !seen {
				refused[key] = true
			}
			refused[key] = refused[key] && !t.died && t.failure != nil && t.failure.Outcome == outcome.RefusedNotRun
		}
		for _, t := range slices.Clone(w.attempts) {
			if !refused[claim.Key(t.team, t.key)] {
				continue
			}
			refused[claim.Key(t.team, t.key)] = false
			repeat := w.start(t.node, t.team, t.key, t.body)
			w.write(rt, repeat, "answered")
			if repeat.phase == inserting {
				w.write(rt, repeat, "answered")
			}
			require.Equal(rt, held, repeat.phase, "a call that was only refused must be claimable again; got %v", repeat.failure)
		}
	})
}
