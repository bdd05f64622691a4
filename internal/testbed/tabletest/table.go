// Package tabletest provides an in-memory table service for tests, with fault injection. It
// evaluates conditions as docs/PROTOCOLS.md specifies.
//
// # Usage
//
//	t := tabletest.New()
//	t.Fault = func(c tabletest.Call) tabletest.Fault { return tabletest.Fault{LoseResponse: true} }
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

// errInjected is the cause of every injected failure.
var errInjected = eris.New("injected failure")

type (
	// Call describes a call to a fault function.
	Call struct {
		Write  bool
		Number int // sequence number over all calls, from 1
	}

	// Fault is how a call fails. The zero value makes it succeed.
	Fault struct {
		Refuse       bool          // not executed, and the caller knows it
		LoseResponse bool          // executed, and the response is lost
		DropRequest  bool          // not executed, and the caller cannot tell
		Hang         bool          // not executed; no response until the caller gives up
		ApplyAfter   time.Duration // no response; a transaction is executed after this delay
		Delay        time.Duration // delay before anything else
	}

	// Table is an in-memory table. Fault is set before the first use or with SetFault.
	Table struct {
		Fault func(Call) Fault

		mu           sync.Mutex
		rows         map[string]row.Row
		revision     uint64
		calls        int
		transactions int
	}
)

// New returns an empty table.
func New() *Table { return &Table{rows: map[string]row.Row{}} }

// SetFault sets the fault function for subsequent calls.
func (t *Table) SetFault(f func(Call) Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Fault = f
}

// Transactions returns the number of transactions started, including failed ones.
func (t *Table) Transactions() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.transactions
}

// Transact commits tx if its conditions hold.
func (t *Table) Transact(ctx context.Context, tx row.Tx) (row.Result, error) {
	f := t.begin(true)
	if err := f.inject(ctx); err != nil {
		return row.Result{}, err
	}
	if f.ApplyAfter > 0 {
		time.AfterFunc(f.ApplyAfter, func() { t.apply(tx) })
		<-ctx.Done()
		return row.Result{}, tableError(table.Uncertain)
	}
	res := t.apply(tx)
	if f.LoseResponse {
		return row.Result{}, tableError(table.Uncertain)
	}
	return res, nil
}

// Read returns the rows for the given keys, in the order of the keys.
func (t *Table) Read(ctx context.Context, keys ...string) ([]row.Row, error) {
	f := t.begin(false)
	if err := f.inject(ctx); err != nil {
		return nil, err
	}
	if f.LoseResponse || f.ApplyAfter > 0 {
		return nil, tableError(table.Uncertain)
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

// Scan returns the rows whose keys begin with prefix, sorted by key.
func (t *Table) Scan(ctx context.Context, prefix string) ([]row.Row, error) {
	f := t.begin(false)
	if err := f.inject(ctx); err != nil {
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

// inject applies the delay and the failures of a fault that take effect before the call is
// executed.
func (f Fault) inject(ctx context.Context) error {
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return tableError(table.Uncertain)
		}
	}
	switch {
	case f.Refuse:
		return tableError(table.Unavailable)
	case f.DropRequest:
		return tableError(table.Uncertain)
	case f.Hang:
		<-ctx.Done()
		return tableError(table.Uncertain)
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
	t.revision++
	for _, w := range tx.Writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = row.Row{Key: w.Key, Value: w.Value, Revision: t.revision}
	}
	return row.Result{Committed: true, Revision: t.revision}
}

// tableError returns an error of the table client.
func tableError(k table.Kind) error { return &table.Error{Kind: k, Call: "test", Err: errInjected} }
