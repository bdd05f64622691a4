package session

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/claim"
	"guavapaddle/core/row"
)

// Fate is what a Proxy does with a transaction.
type Fate int

const (
	// Pass lets a transaction through and its answer back.
	Pass Fate = iota
	// Drop breaks the connection; the transaction does not reach the table.
	Drop
	// Lose breaks the connection after the transaction took effect.
	Lose
)

// Proxy stands between the nodes and the table of a System. Decide is asked
// about each transaction before it goes on and may block.
type Proxy struct {
	table string

	mu     sync.Mutex
	decide func(tx row.Tx) Fate
	lost   chan struct{} // a transaction took effect whose answer is lost
}

// lostMost bounds the lost answers that nobody waits for.
const lostMost = 64

// Between puts a Proxy before the table of nodes that start from now on.
func (s *System) Between() *Proxy {
	p := &Proxy{table: s.Platform.Address("address"), lost: make(chan struct{}, lostMost)}
	server := httptest.NewServer(p)
	s.t.Cleanup(server.Close)
	s.Table = strings.TrimPrefix(server.URL, "http://")
	return p
}

// Decide sets what happens to transactions from now on, nil for nothing.
func (p *Proxy) Decide(f func(tx row.Tx) Fate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decide = f
}

// AwaitLost waits until a transaction of fate Lose has taken effect. A node
// that was killed meanwhile breaks its caller's connection before that, so what
// the caller sees doesn't tell.
func (p *Proxy) AwaitLost() { <-p.lost }

// Claims decides about transactions that bring a claim into a state, whose
// request they are for, and lets all others through.
func (p *Proxy) Claims(state claim.State, f func(c claim.Claim) Fate) {
	p.Decide(func(tx row.Tx) Fate {
		for _, w := range tx.Writes {
			c, found, err := claim.Decode(row.Row{Key: w.Key, Value: w.Value, Revision: 1})
			if strings.HasPrefix(w.Key, claim.Prefix) && err == nil && found && c.State == state {
				return f(c)
			}
		}
		return Pass
	})
}

// ServeHTTP forwards one call.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	fate := Pass
	if strings.HasSuffix(r.URL.Path, "/transact") {
		fate = p.fate(body)
	}
	if fate == Drop {
		panic(http.ErrAbortHandler)
	}
	resp, err := http.Post("http://"+p.table+r.URL.Path, r.Header.Get("Content-Type"), bytes.NewReader(body))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if fate == Lose {
		select {
		case p.lost <- struct{}{}:
		default:
		}
	}
	if err != nil || fate == Lose {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(answer)
}

// fate decides about a transaction.
func (p *Proxy) fate(body []byte) Fate {
	p.mu.Lock()
	decide := p.decide
	p.mu.Unlock()
	var tx row.Tx
	if decide == nil || json.Unmarshal(body, &tx) != nil {
		return Pass
	}
	return decide(tx)
}

// Repeat sends the same call to all given nodes at once.
func (s *System) Repeat(nodes []int, path, body, key string) []Answer {
	answers := make([]Answer, len(nodes))
	var wg sync.WaitGroup
	for k, i := range nodes {
		wg.Go(func() { answers[k] = s.Do(i, http.MethodPost, path, body, "Idempotency-Key", key) })
	}
	wg.Wait()
	for _, a := range answers {
		require.NoError(s.t, a.Err)
	}
	return answers
}
