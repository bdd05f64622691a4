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

// phase is where a try stands.
type phase int

const (
	inserting phase = iota // its insert is on its way or of unknown fate
	held                   // it may send
	closing                // it has ended and its last change must take effect
	over
)

const (
	nodes    = 3
	deadline = 5 * time.Second
)

type (
	// table is the platform's table: it serializes.
	table struct {
		rows map[string]row.Row
		last uint64
	}

	// try is one call of one caller through one node.
	try struct {
		id, node  int
		team      string
		key, body string
		phase     phase
		mine      claim.Claim
		change    claim.Change // of phase inserting or closing
		settle    bool         // change settles insert
		insert    claim.Change
		ran       bool
		told      *outcome.Error
		stored    string
		died      bool // with its node; its caller is told nothing
	}

	// copy is one transaction on its way; it arrives once, at any time.
	copyOf struct {
		t *try
		c claim.Change
	}

	// world is all nodes, callers, the table and the service.
	world struct {
		now    time.Time
		table  table
		tries  []*try
		flying []copyOf
		runs   map[string][]*try // by row key
	}
)

// apply commits a change if its condition holds.
func (w *world) apply(c claim.Change) (row.Result, row.Row) {
	if w.table.rows[c.Key].Revision != c.Revision {
		return row.Result{}, w.read(c.Key)
	}
	w.table.last++
	w.table.rows[c.Key] = row.Row{Key: c.Key, Value: c.Value(), Revision: w.table.last}
	return row.Result{Committed: true, Revision: w.table.last}, row.Row{}
}

// read returns a row.
func (w *world) read(key string) row.Row {
	r := w.table.rows[key]
	r.Key = key
	return r
}

// start begins a try.
func (w *world) start(node int, team, key, body string) *try {
	t := &try{id: len(w.tries), node: node, team: team, key: key, body: body}
	t.mine = claim.Claim{
		Team: team, BodyHash: claim.BodyHash("s", "POST", "/p", []byte(body)),
		Attempt: fmt.Sprint("a", t.id), Node: fmt.Sprint("n", node),
		AtMS: w.now.UnixMilli(), DeadlineMS: w.now.Add(deadline).UnixMilli(),
	}
	t.change = claim.Insert(claim.Key(team, key), t.mine, 0)
	w.tries = append(w.tries, t)
	return t
}

// write commits t's change, and tells t of it unless the answer is lost or the
// change stays on its way.
func (w *world) write(rt *rapid.T, t *try, fate string) {
	switch fate {
	case "flies":
		w.flying = append(w.flying, copyOf{t, t.change})
	case "answer lost":
		w.apply(t.change)
	default:
		res, standing := w.apply(t.change)
		if res.Committed {
			w.took(t, res.Revision)
			return
		}
		w.judge(rt, t, standing)
	}
}

// judge lets t learn from a row what became of its change.
func (w *world) judge(rt *rapid.T, t *try, r row.Row) {
	fate, err := t.change.Fate(r)
	require.NoError(rt, err)
	switch {
	case fate == claim.Took:
		w.took(t, r.Revision)
	case fate == claim.Open: // stays, to be written again
	case t.settle:
		w.settle(rt, t)
	case t.phase == closing:
		rt.Fatalf("try %d lost the row that it held: %s", t.id, r.Value)
	default:
		w.ask(rt, t, r)
	}
}

// took lets t go on after its change took effect.
func (w *world) took(t *try, revision uint64) {
	if t.phase == closing {
		t.phase = over
		return
	}
	t.phase = held
	t.mine = t.change.Claim
	t.change = t.change.Held(revision).Release() // replaced when it ends otherwise
}

// ask tells t's caller what stands in the way, or claims over it.
func (w *world) ask(rt *rapid.T, t *try, r row.Row) {
	v, err := claim.Ask(r, t.mine, w.now, nil)
	require.NoError(rt, err)
	switch v.Kind {
	case claim.Free:
		t.mine.Attempt += "+"
		t.change = claim.Insert(t.change.Key, t.mine, v.Revision)
		return
	case claim.Stored:
		t.stored = string(v.Answer.Body)
	default:
		t.told = v.Err
	}
	t.phase = over
}

// settle makes t's given-up insert harmless.
func (w *world) settle(rt *rapid.T, t *try) {
	c, needed, err := claim.Settle(t.insert, w.read(t.insert.Key), w.now.UnixMilli())
	require.NoError(rt, err)
	t.change = c
	if !needed {
		t.phase = over
	}
}

// send sends t's call, once.
func (w *world) send(t *try, how string) {
	h := claim.Held{Key: t.change.Key, Revision: t.change.Revision, Claim: t.mine}
	t.phase = closing
	if how != "not sent" && how != "lost before it ran" {
		t.ran = true
		w.runs[h.Key] = append(w.runs[h.Key], t)
	}
	switch how {
	case "answered":
		t.stored = answer(t.body)
		t.change = h.Finish(claim.Answer{Status: 200, Body: []byte(t.stored)})
	case "not sent":
		t.told = outcome.Refuse(outcome.BackendUnreachable, "", 0)
		t.change = h.Release()
	default:
		t.told = outcome.Unsure(outcome.BackendLost, "")
		t.change = h.Lose(outcome.BackendLost)
	}
}

// answer is what the service answers.
func answer(body string) string { return "answer to " + body }

// pick draws a try that f holds for.
func (w *world) pick(rt *rapid.T, f func(*try) bool) *try {
	var some []*try
	for _, t := range w.tries {
		if !t.died && f(t) {
			some = append(some, t)
		}
	}
	if len(some) == 0 {
		rt.Skip("no such try")
	}
	return rapid.SampledFrom(some).Draw(rt, "try")
}

// writing tells whether t has a change to commit.
func writing(t *try) bool { return t.phase == inserting || t.phase == closing }

// steps are what may happen, in any order. The usual steps are there more than
// once, so that most calls get somewhere before a fault.
func (w *world) steps() map[string]func(*rapid.T) {
	all := w.each()
	for _, usual := range []string{"write", "send"} {
		for i := range 3 {
			all[fmt.Sprint(usual, i)] = all[usual]
		}
	}
	return all
}

// each returns every step once.
func (w *world) each() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"call": func(rt *rapid.T) {
			w.start(rapid.IntRange(0, nodes-1).Draw(rt, "node"),
				rapid.SampledFrom([]string{"corella", "corella", "kabinaki"}).Draw(rt, "team"),
				rapid.SampledFrom([]string{"k1", "k1", "k2"}).Draw(rt, "key"),
				rapid.SampledFrom([]string{"b1", "b1", "b1", "b2"}).Draw(rt, "body"))
		},
		"write": func(rt *rapid.T) {
			fate := rapid.SampledFrom([]string{"answered", "answered", "answered", "answer lost", "flies"}).Draw(rt, "fate")
			w.write(rt, w.pick(rt, writing), fate)
		},
		"arrive": func(rt *rapid.T) {
			if len(w.flying) == 0 {
				rt.Skip("nothing on its way")
			}
			i := rapid.IntRange(0, len(w.flying)-1).Draw(rt, "copy")
			w.apply(w.flying[i].c)
			w.flying = slices.Delete(w.flying, i, i+1)
		},
		"read back": func(rt *rapid.T) {
			t := w.pick(rt, writing)
			w.judge(rt, t, w.read(t.change.Key))
		},
		"give up": func(rt *rapid.T) {
			t := w.pick(rt, func(t *try) bool { return t.phase == inserting })
			t.told = outcome.Refuse(outcome.TableDown, "", 0)
			t.phase, t.settle, t.insert = closing, true, t.change
			w.settle(rt, t)
		},
		"send": func(rt *rapid.T) {
			how := rapid.SampledFrom([]string{"answered", "not sent", "lost after it ran", "lost before it ran"}).Draw(rt, "how")
			w.send(w.pick(rt, func(t *try) bool { return t.phase == held }), how)
		},
		"node dies": func(rt *rapid.T) {
			n := rapid.IntRange(0, 8*nodes).Draw(rt, "node")
			for _, t := range w.tries {
				t.died = t.died || (t.node == n && t.phase != over)
			}
		},
		"wait": func(_ *rapid.T) { w.now = w.now.Add(deadline / 2) },
		"":     w.check,
	}
}

// check holds after every step.
func (w *world) check(rt *rapid.T) {
	for key, runs := range w.runs {
		if len(runs) > 1 {
			rt.Fatalf("%s ran %d times", key, len(runs))
		}
	}
	for _, t := range w.tries {
		switch {
		case t.told != nil && t.told.Outcome == outcome.RefusedNotRun && t.ran:
			rt.Fatalf("try %d was refused as not run (%s) and ran", t.id, t.told.Reason)
		case t.told == nil && t.stored != "" && t.stored != answer(t.body):
			rt.Fatalf("try %d asked for %q and got %q", t.id, t.body, t.stored)
		case t.told == nil && t.stored != "" && !w.ran(t):
			rt.Fatalf("try %d got an answer of a call that never ran", t.id)
		}
	}
}

// ran tells whether t's team's call ran.
func (w *world) ran(t *try) bool {
	runs := w.runs[claim.Key(t.team, t.key)]
	return len(runs) == 1 && runs[0].team == t.team
}

// newWorld returns a world in which nothing has happened.
func newWorld() *world {
	return &world{
		now:   time.UnixMilli(1_800_000_000_000),
		table: table{rows: map[string]row.Row{}},
		runs:  map[string][]*try{},
	}
}

// heal lets everything that is on its way arrive and every live node end what
// it has begun, without faults.
func (w *world) heal(rt *rapid.T) {
	for _, f := range w.flying {
		w.apply(f.c)
	}
	w.flying = nil
	for _, t := range w.tries {
		for range 10 {
			if t.died || !writing(t) {
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

// TestInvariantAtMostOnceAcrossNodes: whatever is lost, late, doubled or dies,
// a call runs at most once under its key and nobody gets an answer that is not
// the whole one to his own call.
func TestInvariantAtMostOnceAcrossNodes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld()
		rt.Repeat(w.steps())
		w.heal(rt)
	})
}

// TestInvariantRefusedNotRunRepeats: a call of which every try was refused as
// not run, or none was made, can be claimed by a repeat once the table is back.
func TestInvariantRefusedNotRunRepeats(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld()
		rt.Repeat(w.steps())
		w.heal(rt)
		refused := map[string]bool{}
		for _, t := range w.tries {
			key := claim.Key(t.team, t.key)
			if _, seen := refused[key]; !seen {
				refused[key] = true
			}
			refused[key] = refused[key] && !t.died && t.told != nil && t.told.Outcome == outcome.RefusedNotRun
		}
		for _, t := range slices.Clone(w.tries) {
			if !refused[claim.Key(t.team, t.key)] {
				continue
			}
			refused[claim.Key(t.team, t.key)] = false
			repeat := w.start(t.node, t.team, t.key, t.body)
			w.write(rt, repeat, "answered")
			if repeat.phase == inserting {
				w.write(rt, repeat, "answered")
			}
			require.Equal(rt, held, repeat.phase, "a repeat after refusals only must run; told %v", repeat.told)
		}
	})
}
