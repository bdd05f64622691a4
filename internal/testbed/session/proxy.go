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

// Action is what a Proxy does with a transaction.
type Action int

const (
	// Pass forwards the transaction and its response.
	Pass Action = iota
	// DropRequest closes the connection; the transaction does not reach the table.
	DropRequest
	// DropResponse closes the connection after the transaction took effect.
	DropResponse
)

// Proxy forwards calls from the nodes to the table of a System. The function set by SetAction
// chooses what happens to each transaction before it is forwarded, and may block.
type Proxy struct {
	table string

	mu               sync.Mutex
	decide           func(tx row.Tx) Action
	droppedResponses chan struct{} // receives a value when a transaction took effect and its response was dropped
}

// maxDroppedResponses limits the dropped responses that are pending for AwaitDroppedResponse.
const maxDroppedResponses = 64

// StartProxy starts a Proxy in front of the table. Nodes that start afterwards use it.
func (s *System) StartProxy() *Proxy {
	p := &Proxy{table: s.Platform.Address("address"), droppedResponses: make(chan struct{}, maxDroppedResponses)}
	server := httptest.NewServer(p)
	s.t.Cleanup(server.Close)
	s.Table = strings.TrimPrefix(server.URL, "http://")
	return p
}

// SetAction sets the function that chooses what happens to subsequent transactions; nil
// forwards all of them.
func (p *Proxy) SetAction(f func(tx row.Tx) Action) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decide = f
}

// AwaitDroppedResponse waits until a transaction with the action DropResponse has taken
// effect. A node that is killed in the meantime breaks its caller's connection earlier, so
// the caller's view doesn't show whether the transaction took effect.
func (p *Proxy) AwaitDroppedResponse() { <-p.droppedResponses }

// OnClaims calls f for transactions that move a claim into the given state, and forwards all
// others.
func (p *Proxy) OnClaims(state claim.State, f func(c claim.Claim) Action) {
	p.SetAction(func(tx row.Tx) Action {
		for _, w := range tx.Writes {
			c, found, err := claim.Decode(row.Row{Key: w.Key, Value: w.Value, Revision: 1})
			if strings.HasPrefix(w.Key, claim.Prefix) && err == nil && found && c.State == state {
				return f(c)
			}
		}
		return Pass
	})
}

// ServeHTTP forwards one call to the table.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	action := Pass
	if strings.HasSuffix(r.URL.Path, "/transact") {
		action = p.action(body)
	}
	if action == DropRequest {
		panic(http.ErrAbortHandler)
	}
	resp, err := http.Post("http://"+p.table+r.URL.Path, r.Header.Get("Content-Type"), bytes.NewReader(body))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = resp.Body.Close() }()
	response, err := io.ReadAll(resp.Body)
	if action == DropResponse {
		select {
		case p.droppedResponses <- struct{}{}:
		default:
		}
	}
	if err != nil || action == DropResponse {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(response)
}

// action returns what to do with a transaction.
func (p *Proxy) action(body []byte) Action {
	p.mu.Lock()
	decide := p.decide
	p.mu.Unlock()
	var tx row.Tx
	if decide == nil || json.Unmarshal(body, &tx) != nil {
		return Pass
	}
	return decide(tx)
}

// PostAll sends the same call to all given nodes concurrently.
func (s *System) PostAll(nodes []int, path, body, key string) []Response {
	responses := make([]Response, len(nodes))
	var wg sync.WaitGroup
	for k, i := range nodes {
		wg.Go(func() { responses[k] = s.Do(i, http.MethodPost, path, body, "Idempotency-Key", key) })
	}
	wg.Wait()
	for _, a := range responses {
		require.NoError(s.t, a.Err)
	}
	return responses
}
