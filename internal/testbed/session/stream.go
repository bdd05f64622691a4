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

// Stream is a streamed response as a caller reads it.
type Stream struct {
	Status int
	Header http.Header
	Tokens []string // in order of arrival; no duplicates if the stream is correct
	Last   string   // ID of the last event
	Done   bool     // whether the end marker has arrived
	Error  string   // data of an error event, or the body of a response that is not a stream
	Err    error    // connection error

	body  io.ReadCloser
	lines *bufio.Scanner
}

// StreamedChat returns the body of a streamed chat request.
func StreamedChat(model, prompt string, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, tokens, prompt)
}

// UnstreamedChat returns the body of a chat request that is not streamed.
func UnstreamedChat(model, prompt string, tokens int) string {
	return strings.Replace(StreamedChat(model, prompt, tokens), `"stream":true,`, "", 1)
}

// ExpectedTokens returns the tokens that the stand-in engine generates for a chat with one user
// message. item is "name@version", or "base+name@version" for an adapter.
func ExpectedTokens(item, prompt string, tokens int) []string {
	out := make([]string, tokens)
	for i := range out {
		h := xxhash.Sum64String(fmt.Sprintf("%s\x00user: %s\n\x00%d", item, prompt, i))
		out[i] = " t" + fmt.Sprintf("%016x", h)[:tokenDigits]
	}
	return out
}

// Stream sends a streamed request and returns when its response headers have arrived.
func (s *System) Stream(node int, body string, header ...string) *Stream {
	resp, err := s.Open(node, http.MethodPost, "/v1/chat/completions", body, header...) //nolint:bodyclose // closed by Stream.Close
	if err != nil {
		return &Stream{Err: err}
	}
	return &Stream{Status: resp.StatusCode, Header: resp.Header, body: resp.Body, lines: bufio.NewScanner(resp.Body)}
}

// Resume sends the request to a node again with the ID of the last event, as a caller does
// after a broken connection, and appends further tokens to the same Stream.
func (s *System) Resume(st *Stream, node int, body string) {
	st.Close()
	resumed := s.Stream(node, body, "Last-Event-ID", st.Last)
	st.Status, st.Header, st.Err, st.Error = resumed.Status, resumed.Header, resumed.Err, ""
	st.body, st.lines = resumed.body, resumed.lines
}

// Read reads until n tokens have arrived in total, or to the end of the stream if n is
// negative. It reports whether it got that far.
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
			st.appendToken(line[len("data: "):])
		}
	}
	return true
}

// appendToken appends the token of one event.
func (st *Stream) appendToken(data string) {
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
