package experiment

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"guavapaddle/core/backend"
	"guavapaddle/core/outcome"
	"guavapaddle/internal/testbed/report"
	"guavapaddle/internal/testbed/standin/engine"
	"guavapaddle/internal/testbed/workload"
)

const (
	// slack is how long after its deadline a request is given up by its caller.
	slack = 2 * time.Second
	// maxSends bounds how often a caller comes back with the same request.
	maxSends = 5
	// lostReason is the reason of a request whose caller got no answer.
	lostReason = "connection-lost"
	// maxLine bounds a line of a stream, in bytes.
	maxLine = 1 << 20

	completionsPath = "/v1/completions"
	dataPrefix      = "data: "
	idPrefix        = "id: "
	errorEvent      = "event: error"
	doneData        = "[DONE]"
)

type (
	// balancer takes a node at random of those that answer.
	balancer struct {
		mu     sync.Mutex
		nodes  []string
		random *rand.Rand
	}

	// client sends the requests of callers.
	client struct {
		http     *http.Client
		balancer *balancer
		items    map[string]backend.Item
		start    time.Time
	}

	// answer is what a caller has got of an answer.
	answer struct {
		lastID   string
		tokens   []string
		last     time.Time // of the last token
		first    time.Time
		gaps     []time.Duration
		finished bool
		outcome  string
		reason   string
	}

	// completionBody is the body of a request.
	completionBody struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}

	// event is one event of a stream.
	event struct {
		Choices []struct {
			Text         string  `json:"text"`
			FinishReason *string `json:"finish_reason"`
		} `json:"choices"`
		Error *struct {
			Type    string `json:"type"`
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
)

func newBalancer(nodes []string, seed uint64) *balancer {
	return &balancer{nodes: append([]string(nil), nodes...), random: rand.New(rand.NewPCG(seed, 3))}
}

// pick returns the address of a node.
func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.nodes[b.random.IntN(len(b.nodes))]
}

// remove takes a node out.
func (b *balancer) remove(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, n := range b.nodes {
		if n == address && len(b.nodes) > 1 {
			b.nodes = append(b.nodes[:i], b.nodes[i+1:]...)
			return
		}
	}
}

func newClient(b *balancer, items map[string]backend.Item, start time.Time) *client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &client{balancer: b, items: items, start: start, http: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 256, DisableCompression: true,
	}}}
}

// do sends one request and returns what became of it.
func (c *client) do(ctx context.Context, a workload.Arrival) report.Request {
	at := c.start.Add(a.At)
	deadline := time.Duration(a.Mix.DeadlineMS) * time.Millisecond
	ctx, cancel := context.WithDeadline(ctx, at.Add(deadline+slack))
	defer cancel()
	prompt := a.Prompt()
	body, err := json.Marshal(completionBody{Model: a.Model, Prompt: prompt, MaxTokens: a.Tokens, Stream: true})
	if err != nil {
		panic(err) // strings and numbers only
	}
	got := &answer{}
	for range maxSends {
		if again := c.send(ctx, a, body, got); !again || ctx.Err() != nil {
			break
		}
	}
	now := time.Now()
	r := report.Request{
		At: a.At, Kind: a.Mix.Name, Urgency: a.Mix.Urgency, Team: a.Team, Value: a.Mix.Value,
		Deadline: deadline, Outcome: got.outcome, Reason: got.reason, Total: now.Sub(at), Gaps: got.gaps,
	}
	if r.Outcome == "" {
		r.Outcome, r.Reason = string(outcome.Unknown), lostReason
	}
	if !got.first.IsZero() {
		r.FirstToken = got.first.Sub(at)
	}
	r.Whole = got.finished && strings.Join(got.tokens, "") == strings.Join(engine.Answer(c.items[a.Model], prompt, a.Tokens), "")
	return r
}

// send sends the request, or asks for the rest of its answer, and reads. It
// returns true if the caller would come back.
func (c *client) send(ctx context.Context, a workload.Arrival, body []byte, got *answer) (again bool) {
	node := c.balancer.pick()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+completionsPath, bytes.NewReader(body))
	if err != nil {
		panic(err) // the address comes from a listener
	}
	req.GetBody = nil // the transport must not send it again by itself
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+workload.Key(a.Team))
	req.Header.Set("X-Kind", a.Mix.Name)
	left := time.Until(c.start.Add(a.At + time.Duration(a.Mix.DeadlineMS)*time.Millisecond))
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(max(1, left.Milliseconds()), 10))
	if got.lastID != "" {
		req.Header.Set("Last-Event-ID", got.lastID)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return ctx.Err() == nil
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		got.outcome, got.reason = res.Header.Get("X-Outcome"), res.Header.Get("X-Reason")
		_, _ = io.Copy(io.Discard, res.Body)
		if got.outcome == "" {
			got.outcome, got.reason = string(outcome.Unknown), "status-"+strconv.Itoa(res.StatusCode)
		}
		return false
	}
	return !got.read(res.Body)
}

// read reads a stream and returns whether it came to its end.
func (g *answer) read(r io.Reader) (ended bool) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4096), maxLine)
	failed := false
	id := ""
	for s.Scan() {
		line := s.Text()
		switch {
		case strings.HasPrefix(line, idPrefix):
			id = line[len(idPrefix):]
		case line == errorEvent:
			failed = true
		case line == dataPrefix+doneData:
			return true
		case strings.HasPrefix(line, dataPrefix):
			if g.event([]byte(line[len(dataPrefix):]), id, failed) {
				return true
			}
		}
	}
	return false
}

// event takes in one event and returns true if it is a failure.
func (g *answer) event(data []byte, id string, failed bool) bool {
	var e event
	if json.Unmarshal(data, &e) != nil || failed && e.Error == nil {
		g.outcome, g.reason = string(outcome.Unknown), "malformed"
		return true
	}
	if e.Error != nil {
		g.outcome, g.reason = e.Error.Outcome, e.Error.Type
		return true
	}
	now := time.Now()
	for _, choice := range e.Choices {
		if choice.FinishReason != nil {
			g.finished, g.outcome, g.reason = true, string(outcome.Done), ""
			continue
		}
		g.tokens = append(g.tokens, choice.Text)
		if g.first.IsZero() {
			g.first = now
		} else {
			g.gaps = append(g.gaps, now.Sub(g.last))
		}
		g.last = now
	}
	g.lastID = id
	return false
}
