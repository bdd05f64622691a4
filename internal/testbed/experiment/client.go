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
	// abandonAfter is the time after its deadline at which a client abandons a request.
	abandonAfter = 2 * time.Second
	// maxAttempts is the maximum number of attempts of a client per request.
	maxAttempts = 5
	// lostReason is the reason of a request to which the client received no response.
	lostReason = "connection-lost"
	// maxLine is the maximum length of a line of a stream, in bytes.
	maxLine = 1 << 20

	completionsPath = "/v1/completions"
	dataPrefix      = "data: "
	idPrefix        = "id: "
	errorEvent      = "event: error"
	doneData        = "[DONE]"
)

type (
	// balancer selects a random node among those that have not been removed.
	balancer struct {
		mu     sync.Mutex
		nodes  []string
		random *rand.Rand
	}

	// client sends requests and reads their responses.
	client struct {
		http     *http.Client
		balancer *balancer
		items    map[string]backend.Item
		start    time.Time
	}

	// response is the received part of the response to a request, over all
	// attempts.
	response struct {
		lastID   string
		tokens   []string
		last     time.Time // arrival time of the last token
		first    time.Time
		gaps     []time.Duration
		finished bool
		outcome  string
		reason   string
	}

	// completionBody is the body of a completion request.
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

// pick returns the address of a random node.
func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.nodes[b.random.IntN(len(b.nodes))]
}

// remove removes a node, unless it is the last one.
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

// request sends one request, with retries, and returns its result.
func (c *client) request(ctx context.Context, a workload.Arrival) report.Request {
	at := c.start.Add(a.At)
	deadline := time.Duration(a.Mix.DeadlineMS) * time.Millisecond
	ctx, cancel := context.WithDeadline(ctx, at.Add(deadline+abandonAfter))
	defer cancel()
	prompt := a.Prompt()
	body, err := json.Marshal(completionBody{Model: a.Model, Prompt: prompt, MaxTokens: a.Tokens, Stream: true})
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	got := &response{}
	for range maxAttempts {
		if retry := c.send(ctx, a, body, got); !retry || ctx.Err() != nil {
			break
		}
	}
	now := time.Now()
	r := report.Request{
		At: a.At, Kind: a.Mix.Name, Urgency: a.Mix.Urgency, Team: a.Team, Value: a.Mix.Value,
		Deadline: deadline, Outcome: got.outcome, Reason: got.reason, Total: now.Sub(at), TokenGaps: got.gaps,
	}
	if r.Outcome == "" {
		r.Outcome, r.Reason = string(outcome.Unknown), lostReason
	}
	if !got.first.IsZero() {
		r.FirstToken = got.first.Sub(at)
	}
	r.Complete = got.finished && strings.Join(got.tokens, "") == strings.Join(engine.ExpectedTokens(c.items[a.Model], prompt, a.Tokens), "")
	return r
}

// send sends the request, or resumes its stream if a part of it was received, and
// reads the response. It reports whether the client should retry.
func (c *client) send(ctx context.Context, a workload.Arrival, body []byte, got *response) (retry bool) {
	node := c.balancer.pick()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+completionsPath, bytes.NewReader(body))
	if err != nil {
		panic(err) // the address comes from a listener, so that the URL is valid
	}
	req.GetBody = nil // prevents the transport from retrying the request
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+workload.Key(a.Team))
	req.Header.Set("X-Kind", a.Mix.Name)
	remaining := time.Until(c.start.Add(a.At + time.Duration(a.Mix.DeadlineMS)*time.Millisecond))
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
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

// read reads a stream and reports whether the stream ended, completely or with an error
// event, before the connection broke.
func (r *response) read(body io.Reader) (ended bool) {
	s := bufio.NewScanner(body)
	s.Buffer(make([]byte, 0, 4096), maxLine)
	errorSeen := false
	id := ""
	for s.Scan() {
		line := s.Text()
		switch {
		case strings.HasPrefix(line, idPrefix):
			id = line[len(idPrefix):]
		case line == errorEvent:
			errorSeen = true
		case line == dataPrefix+doneData:
			return true
		case strings.HasPrefix(line, dataPrefix):
			if r.event([]byte(line[len(dataPrefix):]), id, errorSeen) {
				return true
			}
		}
	}
	return false
}

// event processes one event and reports whether it is a failure.
func (r *response) event(data []byte, id string, failed bool) bool {
	var e event
	if json.Unmarshal(data, &e) != nil || failed && e.Error == nil {
		r.outcome, r.reason = string(outcome.Unknown), "malformed"
		return true
	}
	if e.Error != nil {
		r.outcome, r.reason = e.Error.Outcome, e.Error.Type
		return true
	}
	now := time.Now()
	for _, choice := range e.Choices {
		if choice.FinishReason != nil {
			r.finished, r.outcome, r.reason = true, string(outcome.Done), ""
			continue
		}
		r.tokens = append(r.tokens, choice.Text)
		if r.first.IsZero() {
			r.first = now
		} else {
			r.gaps = append(r.gaps, now.Sub(r.last))
		}
		r.last = now
	}
	r.lastID = id
	return false
}
