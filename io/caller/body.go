package caller

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"guavapaddle/core/forward"
	"guavapaddle/core/outcome"
)

const (
	defaultMaxTokens = 256
	mostMaxTokens    = 32768
	maxDeadlineMS    = 24 * 60 * 60 * 1000
)

type (
	// parser reads a model request's body.
	parser func(body []byte) (*parsed, error)

	// parsed is a model request's body.
	parsed struct {
		chat      bool
		model     string
		prompt    string
		maxTokens int
		stream    bool
	}

	chatBody struct {
		Model     string    `json:"model"`
		Messages  []message `json:"messages"`
		MaxTokens *int      `json:"max_tokens"`
		Newer     *int      `json:"max_completion_tokens"`
		Stream    bool      `json:"stream"`
	}

	completionBody struct {
		Model     string `json:"model"`
		Prompt    text   `json:"prompt"`
		MaxTokens *int   `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}

	message struct {
		Role    string `json:"role"`
		Content text   `json:"content"`
	}

	// text is a string, or a list of strings or text parts, joined.
	text string

	part struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
)

var (
	errText      = &TextError{}
	errMaxTokens = outcome.Refuse(outcome.BadRequest, "max_tokens must be from 1 to "+strconv.Itoa(mostMaxTokens), 0)
)

// TextError tells that content is neither a string nor text parts.
type TextError struct{}

// Error returns the text of the error.
func (*TextError) Error() string { return "content must be a string or text parts" }

// UnmarshalJSON reads a string, a list of strings or a list of text parts.
func (t *text) UnmarshalJSON(b []byte) error {
	var s string
	if json.Unmarshal(b, &s) == nil {
		*t = text(s)
		return nil
	}
	var list []json.RawMessage
	if json.Unmarshal(b, &list) != nil {
		return errText
	}
	var joined strings.Builder
	for _, raw := range list {
		var p part
		switch {
		case json.Unmarshal(raw, &s) == nil:
			joined.WriteString(s)
		case json.Unmarshal(raw, &p) == nil && p.Type == "text":
			joined.WriteString(p.Text)
		default:
			return errText
		}
	}
	*t = text(joined.String())
	return nil
}

func parseChat(body []byte) (*parsed, error) {
	var c chatBody
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, outcome.Refuse(outcome.BadRequest, err.Error(), 0)
	}
	if len(c.Messages) == 0 {
		return nil, outcome.Refuse(outcome.BadRequest, "messages is empty", 0)
	}
	var prompt strings.Builder
	for _, m := range c.Messages {
		prompt.WriteString(m.Role)
		prompt.WriteString(": ")
		prompt.WriteString(string(m.Content))
		prompt.WriteByte('\n')
	}
	if c.MaxTokens == nil {
		c.MaxTokens = c.Newer
	}
	return check(&parsed{chat: true, model: c.Model, prompt: prompt.String(), stream: c.Stream}, c.MaxTokens)
}

func parseCompletion(body []byte) (*parsed, error) {
	var c completionBody
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, outcome.Refuse(outcome.BadRequest, err.Error(), 0)
	}
	return check(&parsed{model: c.Model, prompt: string(c.Prompt), stream: c.Stream}, c.MaxTokens)
}

// check fills in what both kinds of body have.
func check(p *parsed, maxTokens *int) (*parsed, error) {
	if p.model == "" {
		return nil, outcome.Refuse(outcome.BadRequest, "model is missing", 0)
	}
	p.maxTokens = defaultMaxTokens
	if maxTokens != nil {
		p.maxTokens = *maxTokens
	}
	if p.maxTokens < 1 || p.maxTokens > mostMaxTokens {
		return nil, errMaxTokens
	}
	return p, nil
}

// generation joins body and headers.
func (p *parsed) generation(r *http.Request, id string, body []byte) (Generation, error) {
	g := Generation{
		RequestID: id,
		Bearer:    bearer(r),
		Model:     p.model,
		Kind:      r.Header.Get("X-Kind"),
		Prompt:    p.prompt,
		MaxTokens: p.maxTokens,
		Stream:    p.stream,
		Key:       r.Header.Get("Idempotency-Key"),
		Body:      body,
	}
	var err error
	if g.Deadline, err = deadlineOf(r); err != nil {
		return g, err
	}
	last := r.Header.Get("Last-Event-ID")
	if last == "" {
		return g, nil
	}
	t, err := forward.ParseResumeToken(last)
	if err != nil {
		return g, outcome.Refuse(outcome.BadRequest, err.Error(), 0)
	}
	g.Resume = &t
	return g, nil
}

// deadlineOf returns the deadline that a caller asks for, zero for none.
func deadlineOf(r *http.Request) (time.Duration, error) {
	v := r.Header.Get("X-Deadline-Ms")
	if v == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms < 1 || ms > maxDeadlineMS {
		return 0, outcome.Refuse(outcome.BadRequest, "X-Deadline-Ms: "+strconv.Quote(v), 0)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// readBody reads a body of at most limit bytes.
func readBody(r io.Reader, limit int64) ([]byte, error) {
	if r == nil {
		return nil, nil
	}
	b, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, outcome.Refuse(outcome.BadRequest, err.Error(), 0)
	}
	if int64(len(b)) > limit {
		return nil, outcome.Refuse(outcome.BodyTooLarge, "more than "+strconv.FormatInt(limit, 10)+" bytes", 0)
	}
	return b, nil
}
