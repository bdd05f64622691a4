package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"guavapaddle/core/forward"
	"guavapaddle/core/outcome"
)

const (
	headerRequestID = "X-Request-ID"
	headerOutcome   = "X-Outcome"
	headerReason    = "X-Reason"
	headerStored    = "X-Stored-Answer"
	headerRetryMS   = "Retry-After-Ms"
)

// statuses maps the reason of a failure to a status; others are 503 for
// refusals and 502 for the rest.
var statuses = map[outcome.Reason]int{
	outcome.BadRequest:     http.StatusBadRequest,
	outcome.BodyTooLarge:   http.StatusRequestEntityTooLarge,
	outcome.HeaderTooLarge: http.StatusRequestHeaderFieldsTooLarge,
	outcome.Unauthorized:   http.StatusUnauthorized,
	outcome.NotFound:       http.StatusNotFound,
	outcome.KeyReused:      http.StatusUnprocessableEntity,
	outcome.KeyRequired:    http.StatusBadRequest,
	outcome.InProgress:     http.StatusConflict,
	outcome.TeamLimit:      http.StatusTooManyRequests,
	outcome.CrashSuspect:   http.StatusUnprocessableEntity,
	outcome.DeadlinePassed: http.StatusGatewayTimeout,
	outcome.Internal:       http.StatusInternalServerError,
}

type (
	// answer writes the answer to one request.
	answer struct {
		w       http.ResponseWriter
		id      string
		parsed  *parsed
		started bool // the status is out
		text    strings.Builder
		tokens  int
		offset  int // tokens that a caller that came back has already
	}

	usage struct {
		CompletionTokens int `json:"completion_tokens"`
	}

	choice struct {
		Index        int       `json:"index"`
		Message      *chatText `json:"message,omitempty"`
		Delta        *chatText `json:"delta,omitempty"`
		Text         *string   `json:"text,omitempty"`
		FinishReason *string   `json:"finish_reason"`
	}

	chatText struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content"`
	}

	completion struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   *usage   `json:"usage,omitempty"`
	}

	failure struct {
		Error failureBody `json:"error"`
	}

	failureBody struct {
		Type    outcome.Reason  `json:"type"`
		Outcome outcome.Outcome `json:"outcome"`
		Message string          `json:"message"`
	}

	model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}

	models struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}

	// Gone is the failure of a write to a caller that closed its connection.
	Gone struct{ Err error }
)

// Error returns the cause.
func (e *Gone) Error() string { return fmt.Sprintf("caller is gone: %v", e.Err) }

// Unwrap returns the cause.
func (e *Gone) Unwrap() error { return e.Err }

func modelList(names []string) models {
	m := models{Object: "list", Data: make([]model, len(names))}
	for i, n := range names {
		m.Data[i] = model{ID: n, Object: "model"}
	}
	return m
}

func (a *answer) begin(p *parsed) { a.parsed = p }

// reply takes one step of a generation.
func (a *answer) reply(r forward.Reply, at forward.ResumeToken) error {
	if a.parsed.stream {
		return a.event(r, at)
	}
	if r.Finish == "" {
		a.text.WriteString(r.Token)
		a.tokens++
		return nil
	}
	a.json(http.StatusOK, a.whole(r.Finish))
	return nil
}

// whole returns a collected answer.
func (a *answer) whole(finish string) completion {
	text := a.text.String()
	c := choice{FinishReason: &finish}
	object := "text_completion"
	if a.parsed.chat {
		object = "chat.completion"
		c.Message = &chatText{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	return completion{ID: a.id, Object: object, Model: a.parsed.model, Choices: []choice{c}, Usage: &usage{CompletionTokens: a.tokens}}
}

// event writes one step of a stream.
func (a *answer) event(r forward.Reply, at forward.ResumeToken) error {
	if !a.started {
		a.head(http.StatusOK, "text/event-stream", nil)
	}
	c := choice{}
	object := "text_completion"
	if r.Finish != "" {
		c.FinishReason = &r.Finish
	}
	if a.parsed.chat {
		object = "chat.completion.chunk"
		c.Delta = &chatText{Content: r.Token}
	} else {
		c.Text = &r.Token
	}
	data, err := json.Marshal(completion{ID: a.id, Object: object, Model: a.parsed.model, Choices: []choice{c}})
	if err != nil {
		return &Gone{Err: err}
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "id: %s\ndata: %s\n\n", at, data)
	if r.Finish != "" {
		fmt.Fprintf(&b, ": outcome=%s\n\ndata: [DONE]\n\n", outcome.Done)
	}
	return a.write(b.Bytes())
}

// write sends bytes at once.
func (a *answer) write(b []byte) error {
	if _, err := a.w.Write(b); err != nil {
		return &Gone{Err: err}
	}
	if f, ok := a.w.(http.Flusher); ok {
		f.Flush()
	}
	return nil
}

// head writes status and headers.
func (a *answer) head(status int, contentType string, e *outcome.Error) {
	h := a.w.Header()
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	h.Set("Cache-Control", "no-store")
	h.Set(headerRequestID, a.id)
	if e == nil {
		if a.parsed == nil || !a.parsed.stream {
			h.Set(headerOutcome, string(outcome.Done))
		}
	} else {
		h.Set(headerOutcome, string(e.Outcome))
		h.Set(headerReason, string(e.Reason))
		if e.RetryAfter > 0 {
			h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
			h.Set(headerRetryMS, strconv.FormatInt(int64(math.Ceil(float64(e.RetryAfter)/float64(time.Millisecond))), 10))
		}
	}
	a.started = true
	a.w.WriteHeader(status)
}

// json writes a whole answer.
func (a *answer) json(status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		a.fail(outcome.Fail(outcome.Internal, err.Error()))
		return
	}
	a.head(status, "application/json", nil)
	_, _ = a.w.Write(append(b, '\n'))
}

// fail writes a failure: a status of its own, or the last event of a stream.
func (a *answer) fail(e *outcome.Error) {
	b, err := json.Marshal(failure{Error: failureBody{Type: e.Reason, Outcome: e.Outcome, Message: e.Error()}})
	if err != nil {
		return
	}
	if a.started {
		_ = a.write([]byte(fmt.Sprintf("event: error\ndata: %s\n\n", b)))
		return
	}
	status, ok := statuses[e.Reason]
	switch {
	case ok:
	case e.Outcome == outcome.RefusedNotRun:
		status = http.StatusServiceUnavailable
	default:
		status = http.StatusBadGateway
	}
	a.head(status, "application/json", e)
	_, _ = a.w.Write(append(b, '\n'))
}

// service writes the answer of a plain service.
func (a *answer) service(s ServiceAnswer) {
	h := a.w.Header()
	for name, values := range s.Header {
		if endToEnd(name) {
			h[name] = values
		}
	}
	if s.Stored {
		h.Set(headerStored, "1")
	}
	a.head(s.Status, "", nil)
	_, _ = a.w.Write(s.Body)
}

// endToEnd tells whether a header of a backend server's answer is passed on.
func endToEnd(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade",
		"Date", "X-Request-Id", "X-Outcome", "X-Reason", "Guavapaddle-Not-Run":
		return false
	}
	return true
}
