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

// statuses maps the reason of a failure to an HTTP status. Reasons that are not listed map
// to 503 for refusals and to 502 otherwise.
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
	// responseWriter writes the response to one request.
	responseWriter struct {
		w            http.ResponseWriter
		id           string
		modelRequest *modelRequest
		headSent     bool // the status line has been sent
		text         strings.Builder
		tokens       int
		offset       int // number of tokens that a resuming caller has already received
	}

	// usage is the token count of a completion.
	usage struct {
		CompletionTokens int `json:"completion_tokens"`
	}

	// choice is the text of a completion or of one stream event.
	choice struct {
		Index        int       `json:"index"`
		Message      *chatText `json:"message,omitempty"`
		Delta        *chatText `json:"delta,omitempty"`
		Text         *string   `json:"text,omitempty"`
		FinishReason *string   `json:"finish_reason"`
	}

	// chatText is a chat message, or the part of one that a stream event adds.
	chatText struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content"`
	}

	// completion is the body of a response, or of one stream event, of the model API.
	completion struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   *usage   `json:"usage,omitempty"`
	}

	// errorResponse is the body of an error response, or of the error event of a stream.
	errorResponse struct {
		Error errorDetail `json:"error"`
	}

	errorDetail struct {
		Type    outcome.Reason  `json:"type"`
		Outcome outcome.Outcome `json:"outcome"`
		Message string          `json:"message"`
	}

	// model is one entry of the list of models.
	model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}

	// models is the response body of /v1/models.
	models struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}

	// ClientGoneError reports a write to a caller that closed its connection.
	ClientGoneError struct{ Err error }
)

// Error returns a description with the cause.
func (e *ClientGoneError) Error() string { return fmt.Sprintf("caller is gone: %v", e.Err) }

// Unwrap returns the cause.
func (e *ClientGoneError) Unwrap() error { return e.Err }

func modelList(names []string) models {
	m := models{Object: "list", Data: make([]model, len(names))}
	for i, n := range names {
		m.Data[i] = model{ID: n, Object: "model"}
	}
	return m
}

func (rw *responseWriter) setRequest(p *modelRequest) { rw.modelRequest = p }

// reply writes one reply of a generation: as an event of a stream, or collected until the
// generation finishes.
func (rw *responseWriter) reply(r forward.Reply, at forward.ResumeToken) error {
	if rw.modelRequest.stream {
		return rw.writeEvent(r, at)
	}
	if r.Finish == "" {
		rw.text.WriteString(r.Token)
		rw.tokens++
		return nil
	}
	rw.json(http.StatusOK, rw.collected(r.Finish))
	return nil
}

// collected returns the response body of a generation that is not streamed.
func (rw *responseWriter) collected(finish string) completion {
	text := rw.text.String()
	c := choice{FinishReason: &finish}
	object := "text_completion"
	if rw.modelRequest.chat {
		object = "chat.completion"
		c.Message = &chatText{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	return completion{ID: rw.id, Object: object, Model: rw.modelRequest.model, Choices: []choice{c}, Usage: &usage{CompletionTokens: rw.tokens}}
}

// writeEvent writes one reply as a server-sent event.
func (rw *responseWriter) writeEvent(r forward.Reply, at forward.ResumeToken) error {
	if !rw.headSent {
		rw.writeHead(http.StatusOK, "text/event-stream", nil)
	}
	c := choice{}
	object := "text_completion"
	if r.Finish != "" {
		c.FinishReason = &r.Finish
	}
	if rw.modelRequest.chat {
		object = "chat.completion.chunk"
		c.Delta = &chatText{Content: r.Token}
	} else {
		c.Text = &r.Token
	}
	data, err := json.Marshal(completion{ID: rw.id, Object: object, Model: rw.modelRequest.model, Choices: []choice{c}})
	if err != nil {
		return &ClientGoneError{Err: err}
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "id: %s\ndata: %s\n\n", at, data)
	if r.Finish != "" {
		fmt.Fprintf(&b, ": outcome=%s\n\ndata: [DONE]\n\n", outcome.Done)
	}
	return rw.write(b.Bytes())
}

// write sends b and flushes it to the caller.
func (rw *responseWriter) write(b []byte) error {
	if _, err := rw.w.Write(b); err != nil {
		return &ClientGoneError{Err: err}
	}
	if f, ok := rw.w.(http.Flusher); ok {
		f.Flush()
	}
	return nil
}

// writeHead writes the status line and the headers.
func (rw *responseWriter) writeHead(status int, contentType string, e *outcome.Error) {
	h := rw.w.Header()
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	h.Set("Cache-Control", "no-store")
	h.Set(headerRequestID, rw.id)
	if e == nil {
		if rw.modelRequest == nil || !rw.modelRequest.stream {
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
	rw.headSent = true
	rw.w.WriteHeader(status)
}

// json writes a complete JSON response.
func (rw *responseWriter) json(status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		rw.writeError(outcome.Fail(outcome.Internal, err.Error()))
		return
	}
	rw.writeHead(status, "application/json", nil)
	_, _ = rw.w.Write(append(b, '\n'))
}

// writeError writes an error: as a response with its own status, or as the last event of a
// stream that has started.
func (rw *responseWriter) writeError(e *outcome.Error) {
	b, err := json.Marshal(errorResponse{Error: errorDetail{Type: e.Reason, Outcome: e.Outcome, Message: e.Error()}})
	if err != nil {
		return
	}
	if rw.headSent {
		_ = rw.write([]byte(fmt.Sprintf("event: error\ndata: %s\n\n", b)))
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
	rw.writeHead(status, "application/json", e)
	_, _ = rw.w.Write(append(b, '\n'))
}

// writeService writes the response of a plain service.
func (rw *responseWriter) writeService(s ServiceResponse) {
	h := rw.w.Header()
	for name, values := range s.Header {
		if endToEnd(name) {
			h[name] = values
		}
	}
	if s.Stored {
		h.Set(headerStored, "1")
	}
	rw.writeHead(s.Status, "", nil)
	_, _ = rw.w.Write(s.Body)
}

// endToEnd reports whether a header field of a backend server's response is passed on to the
// caller.
func endToEnd(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade",
		"Date", "X-Request-Id", "X-Outcome", "X-Reason", "Guavapaddle-Not-Run":
		return false
	}
	return true
}
