package session

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const tokenDigits = 6

// Stream is a streamed answer as a caller reads it.
type Stream struct {
	Status int
	Header http.Header
	Tokens []string // in order, each once if all is well
	Last   string   // id of the last event
	Done   bool     // the end marker came
	Error  string   // data of an error event
	Err    error    // of the connection

	body  io.ReadCloser
	lines *bufio.Scanner
}

// Chat returns the body of a streamed request.
func Chat(model, prompt string, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, tokens, prompt)
}

// Whole returns the body of a request that is not streamed.
func Whole(model, prompt string, tokens int) string {
	return strings.Replace(Chat(model, prompt, tokens), `"stream":true,`, "", 1)
}

// Expect returns the tokens that the engine stand-in answers to a chat with one
// user message. item is "name@version", or "base+name@version".
func Expect(item, prompt string, tokens int) []string {
	out := make([]string, tokens)
	for i := range out {
		h := xxhash.Sum64String(fmt.Sprintf("%s\x00user: %s\n\x00%d", item, prompt, i))
		out[i] = " t" + fmt.Sprintf("%016x", h)[:tokenDigits]
	}
	return out
}

// Stream sends a streamed request and returns when its answer begins.
func (s *System) Stream(node int, body string, header ...string) *Stream {
	resp, err := s.Open(node, http.MethodPost, "/v1/chat/completions", body, header...) //nolint:bodyclose // Stream.Close closes it
	if err != nil {
		return &Stream{Err: err}
	}
	return &Stream{Status: resp.StatusCode, Header: resp.Header, body: resp.Body, lines: bufio.NewScanner(resp.Body)}
}

// Resume sends the request again to a node, as a caller does whose connection
// broke, and goes on collecting.
func (s *System) Resume(st *Stream, node int, body string) {
	st.Close()
	again := s.Stream(node, body, "Last-Event-ID", st.Last)
	st.Status, st.Header, st.Err, st.Error = again.Status, again.Header, again.Err, ""
	st.body, st.lines = again.body, again.lines
}

// Read reads until n tokens have come in all, or to the end if n is negative.
// It tells whether they came.
func (st *Stream) Read(n int) bool {
	if st.lines == nil {
		return false
	}
	if st.Status != http.StatusOK {
		b, _ := io.ReadAll(st.body)
		st.Error = string(b)
		return false
	}
	failed := false
	for n < 0 || len(st.Tokens) < n {
		if !st.lines.Scan() {
			st.Err = st.lines.Err()
			return n < 0 && st.Done
		}
		line := st.lines.Text()
		switch {
		case line == "event: error":
			failed = true
		case strings.HasPrefix(line, "id: "):
			st.Last = line[len("id: "):]
		case line == "data: [DONE]":
			st.Done = true
		case strings.HasPrefix(line, "data: ") && failed:
			st.Error = line[len("data: "):]
		case strings.HasPrefix(line, "data: "):
			st.token(line[len("data: "):])
		}
	}
	return true
}

// token takes the token of one event.
func (st *Stream) token(data string) {
	var c struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) == 1 && c.Choices[0].Delta.Content != "" {
		st.Tokens = append(st.Tokens, c.Choices[0].Delta.Content)
	}
}

// Close closes the connection.
func (st *Stream) Close() {
	if st.body != nil {
		_ = st.body.Close()
	}
}
