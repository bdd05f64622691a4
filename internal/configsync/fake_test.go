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

// Fates of a transaction at the platform.
const (
	answered   = iota // done and answered
	answerLost        // done, but the answer is lost
	callLost          // not done, which the caller can't know
	refused           // not done, which the caller is told
	late              // done at the next transaction, which the caller can't know
)

// platform is a table and an object store in memory, with faults.
type platform struct {
	mu       sync.Mutex
	rows     map[string]row.Row
	revision uint64
	objects  map[string][]byte
	history  []head.Head

	down     bool
	onTheWay []row.Tx      // late transactions
	fates    []int         // of the next transactions, answered after these
	random   *rand.Rand    // draws fates if set
	before   func()        // runs once before the next transaction
	reads    int           // of the table
	gets     int           // of the object store
	silence  chan struct{} // reads wait for it if set
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

func (p *platform) fate() int {
	if p.random != nil {
		return p.random.Intn(late + 1)
	}
	if len(p.fates) == 0 {
		return answered
	}
	f := p.fates[0]
	p.fates = p.fates[1:]
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
	f := p.fate()
	switch {
	case p.down || f == refused:
		return row.Result{}, unavailable()
	case f == callLost:
		return row.Result{}, uncertain()
	case f == late:
		p.onTheWay = append(p.onTheWay, tx)
		return row.Result{}, uncertain()
	}
	for _, earlier := range p.onTheWay {
		p.commit(earlier)
	}
	p.onTheWay = nil
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
	silence := p.silence
	p.mu.Unlock()
	if silence != nil {
		select {
		case <-silence:
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

// accepted returns the apply ids in order.
func (p *platform) accepted() []head.Head {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.history)
}

// document returns a valid document that differs by n.
func document(n int) *config.Document {
	doc := sample.Corella()
	doc.Placement.MovePrice = float64(n)
	return doc
}

// apply makes document n the newest.
func (p *platform) apply(t testing.TB, n int) head.Ref {
	t.Helper()
	a := &configsync.Applier{Table: p, Store: p, Operator: "setup"}
	applied, err := a.Apply(t.Context(), document(n))
	require.NoError(t, err)
	return applied.Head.Ref()
}

// applySilently does so while others' readings stay unanswered.
func (p *platform) applySilently(t testing.TB, n int) head.Ref {
	t.Helper()
	var silence chan struct{}
	p.set(func() { silence, p.silence = p.silence, nil })
	defer p.set(func() { p.silence = silence })
	return p.apply(t, n)
}
