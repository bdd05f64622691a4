package configsync_test

import (
	"context"
	"math/rand"
	"slices"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/config"
	"guavapaddle/core/config/head"
	"guavapaddle/core/row"
	"guavapaddle/internal/configsync"
	"guavapaddle/internal/testbed/sample"
	"guavapaddle/io/table"
)

// Faults of a transaction at the platform.
const (
	answered   = iota // committed, and the reply received
	answerLost        // committed, but the reply is lost
	callLost          // not committed, unknown to the caller
	refused           // not committed, known to the caller
	late              // committed with the next transaction, unknown to the caller
)

// platform is an in-memory table and object store with injected faults.
type platform struct {
	mu       sync.Mutex
	rows     map[string]row.Row
	revision uint64
	objects  map[string][]byte
	history  []head.Head

	down         bool
	delayed      []row.Tx      // transactions with the fault late
	faults       []int         // faults of the next transactions; later ones are answered
	random       *rand.Rand    // draws the faults if set
	before       func()        // called once, before the next transaction
	reads        int           // reads of the table
	gets         int           // reads of the object store
	readsBlocked chan struct{} // blocks reads until it is closed, if set
}

func newPlatform() *platform {
	return &platform{rows: map[string]row.Row{}, objects: map[string][]byte{}}
}

func unavailable() error {
	return &table.Error{Kind: table.Unavailable, Err: context.DeadlineExceeded}
}

func uncertain() error {
	return &table.Error{Kind: table.Uncertain, Err: context.DeadlineExceeded}
}

func (p *platform) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

func (p *platform) nextFault() int {
	if p.random != nil {
		return p.random.Intn(late + 1)
	}
	if len(p.faults) == 0 {
		return answered
	}
	f := p.faults[0]
	p.faults = p.faults[1:]
	return f
}

func (p *platform) Transact(_ context.Context, tx row.Tx) (row.Result, error) {
	p.mu.Lock()
	before := p.before
	p.before = nil
	p.mu.Unlock()
	if before != nil {
		before()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.nextFault()
	switch {
	case p.down || f == refused:
		return row.Result{}, unavailable()
	case f == callLost:
		return row.Result{}, uncertain()
	case f == late:
		p.delayed = append(p.delayed, tx)
		return row.Result{}, uncertain()
	}
	for _, earlier := range p.delayed {
		p.commit(earlier)
	}
	p.delayed = nil
	result := p.commit(tx)
	if f == answerLost {
		return row.Result{}, uncertain()
	}
	return result, nil
}

func (p *platform) commit(tx row.Tx) row.Result {
	var r row.Result
	for _, c := range tx.Conditions {
		if have := p.row(c.Key); have.Revision != c.Revision {
			r.Conflicts = append(r.Conflicts, have)
		}
	}
	if len(r.Conflicts) > 0 {
		return r
	}
	p.revision++
	for _, w := range tx.Writes {
		p.rows[w.Key] = row.Row{Key: w.Key, Value: w.Value, Revision: p.revision}
	}
	h, _ := head.Parse(p.row(head.Key))
	p.history = append(p.history, h)
	return row.Result{Committed: true, Revision: p.revision}
}

func (p *platform) row(key string) row.Row {
	r := p.rows[key]
	r.Key = key
	return r
}

func (p *platform) Read(ctx context.Context, keys ...string) ([]row.Row, error) {
	p.mu.Lock()
	readsBlocked := p.readsBlocked
	p.mu.Unlock()
	if readsBlocked != nil {
		select {
		case <-readsBlocked:
		case <-ctx.Done():
			return nil, uncertain()
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	if p.down {
		return nil, unavailable()
	}
	rows := make([]row.Row, len(keys))
	for i, k := range keys {
		rows[i] = p.row(k)
	}
	return rows, nil
}

func (p *platform) Put(_ context.Context, key string, body []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return unavailable()
	}
	p.objects[key] = slices.Clone(body)
	return nil
}

func (p *platform) Get(_ context.Context, key string) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gets++
	body, ok := p.objects[key]
	if p.down || !ok {
		return nil, unavailable()
	}
	return body, nil
}

// accepted returns the accepted heads in order.
func (p *platform) accepted() []head.Head {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.history)
}

// document returns a valid document whose move price is n.
func document(n int) *config.Document {
	doc := sample.Corella()
	doc.Placement.MovePrice = float64(n)
	return doc
}

// apply makes document n the newest one.
func (p *platform) apply(t testing.TB, n int) head.Ref {
	t.Helper()
	a := &configsync.Applier{Table: p, Store: p, Operator: "setup"}
	applied, err := a.Apply(t.Context(), document(n))
	require.NoError(t, err)
	return applied.Head.Ref()
}

// applyWhileReadsBlock makes document n the newest one while the reads of others
// stay blocked.
func (p *platform) applyWhileReadsBlock(t testing.TB, n int) head.Ref {
	t.Helper()
	var readsBlocked chan struct{}
	p.set(func() { readsBlocked, p.readsBlocked = p.readsBlocked, nil })
	defer p.set(func() { p.readsBlocked = readsBlocked })
	return p.apply(t, n)
}
