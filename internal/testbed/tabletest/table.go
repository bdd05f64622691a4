// Package tabletest holds an in-memory table service for tests, whose calls
// fail on order. It keeps the conditions of docs/PROTOCOLS.md.
//
// # Usage
//
//	t := tabletest.New()
//	t.Fault = func(c tabletest.Call) tabletest.Fault { return tabletest.Fault{LoseAnswer: true} }
package tabletest

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"guavapaddle/core/row"
	"guavapaddle/io/table"
)

// errOnOrder is the cause of every failure.
var errOnOrder = eris.New("failed on order")

type (
	// Call is one call as a fault function sees it.
	Call struct {
		Write  bool
		Number int // counts all calls from one
	}

	// Fault is how a call fails. The zero value lets it succeed.
	Fault struct {
		Refuse     bool          // surely not done
		LoseAnswer bool          // done, and the answer is lost
		Lose       bool          // not done, and nobody can tell
		Hang       bool          // no answer until the caller gives up; not done
		Late       time.Duration // no answer; done so much later
		Delay      time.Duration // before anything else
	}

	// Table is the table. Its fields are set before its first use.
	Table struct {
		Fault func(Call) Fault

		mu           sync.Mutex
		rows         map[string]row.Row
		last         uint64
		calls        int
		transactions int
	}
)

// New returns an empty table.
func New() *Table { return &Table{rows: map[string]row.Row{}} }

// SetFault sets how calls fail from now on.
func (t *Table) SetFault(f func(Call) Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Fault = f
}

// Transactions returns the number of transactions that were begun.
func (t *Table) Transactions() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.transactions
}

// Transact commits tx if its conditions hold.
func (t *Table) Transact(ctx context.Context, tx row.Tx) (row.Result, error) {
	f := t.begin(true)
	if err := f.before(ctx); err != nil {
		return row.Result{}, err
	}
	if f.Late > 0 {
		time.AfterFunc(f.Late, func() { t.apply(tx) })
		<-ctx.Done()
		return row.Result{}, fail(table.Uncertain)
	}
	res := t.apply(tx)
	if f.LoseAnswer {
		return row.Result{}, fail(table.Uncertain)
	}
	return res, nil
}

// Read returns rows in the order of their keys.
func (t *Table) Read(ctx context.Context, keys ...string) ([]row.Row, error) {
	f := t.begin(false)
	if err := f.before(ctx); err != nil {
		return nil, err
	}
	if f.LoseAnswer || f.Late > 0 {
		return nil, fail(table.Uncertain)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]row.Row, len(keys))
	for i, k := range keys {
		out[i] = t.rows[k]
		out[i].Key = k
	}
	return out, nil
}

// Scan returns the rows whose keys begin with prefix.
func (t *Table) Scan(ctx context.Context, prefix string) ([]row.Row, error) {
	f := t.begin(false)
	if err := f.before(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []row.Row
	for k, r := range t.rows {
		if strings.HasPrefix(k, prefix) {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, nil
}

// begin counts a call and returns its fault.
func (t *Table) begin(write bool) Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls++
	if write {
		t.transactions++
	}
	if t.Fault == nil {
		return Fault{}
	}
	return t.Fault(Call{Write: write, Number: t.calls})
}

// before waits and fails as ordered.
func (f Fault) before(ctx context.Context) error {
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return fail(table.Uncertain)
		}
	}
	switch {
	case f.Refuse:
		return fail(table.Unavailable)
	case f.Lose:
		return fail(table.Uncertain)
	case f.Hang:
		<-ctx.Done()
		return fail(table.Uncertain)
	}
	return nil
}

// apply commits tx if its conditions hold.
func (t *Table) apply(tx row.Tx) row.Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	var conflicts []row.Row
	for _, c := range tx.Conditions {
		if r := t.rows[c.Key]; r.Revision != c.Revision {
			r.Key = c.Key
			conflicts = append(conflicts, r)
		}
	}
	if len(conflicts) > 0 {
		return row.Result{Conflicts: conflicts}
	}
	t.last++
	for _, w := range tx.Writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = row.Row{Key: w.Key, Value: w.Value, Revision: t.last}
	}
	return row.Result{Committed: true, Revision: t.last}
}

// fail returns a failure of the table client.
func fail(k table.Kind) error { return &table.Error{Kind: k, Call: "test", Err: errOnOrder} }
