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
	maxTokensLimit   = 32768
	maxDeadlineMS    = 24 * 60 * 60 * 1000
)

type (
	// bodyParser parses the body of a request to the model API.
	bodyParser func(body []byte) (*modelRequest, error)

	// modelRequest is the parsed body of a request to the model API.
	modelRequest struct {
		chat      bool
		model     string
		prompt    string
		maxTokens int
		stream    bool
	}

	// chatBody is the JSON body of a chat completion request.
	chatBody struct {
		Model               string    `json:"model"`
		Messages            []message `json:"messages"`
		MaxTokens           *int      `json:"max_tokens"`
		MaxCompletionTokens *int      `json:"max_completion_tokens"`
		Stream              bool      `json:"stream"`
	}

	// completionBody is the JSON body of a completion request.
	completionBody struct {
		Model     string `json:"model"`
		Prompt    text   `json:"prompt"`
		MaxTokens *int   `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}

	// message is one message of a chat.
	message struct {
		Role    string `json:"role"`
		Content text   `json:"content"`
	}

	// text is decoded from a string, or from a list of strings or text parts, which are
	// concatenated.
	text string

	// part is one part of a message's content; only parts of type "text" are accepted.
	part struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
)

var (
	errText      = &ContentTypeError{}
	errMaxTokens = outcome.Refuse(outcome.BadRequest, "max_tokens must be from 1 to "+strconv.Itoa(maxTokensLimit), 0)
)

// ContentTypeError reports content that is neither a string nor a list of text parts.
type ContentTypeError struct{}

// Error returns the description that callers see.
func (*ContentTypeError) Error() string { return "content must be a string or text parts" }

// UnmarshalJSON decodes a string, a list of strings or a list of text parts.
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

// parseChat parses a chat completion request. The prompt is one "role: content" line for
// each message.
func parseChat(body []byte) (*modelRequest, error) {
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
		c.MaxTokens = c.MaxCompletionTokens
	}
	return validate(&modelRequest{chat: true, model: c.Model, prompt: prompt.String(), stream: c.Stream}, c.MaxTokens)
}

// parseCompletion parses a completion request.
func parseCompletion(body []byte) (*modelRequest, error) {
	var c completionBody
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, outcome.Refuse(outcome.BadRequest, err.Error(), 0)
	}
	return validate(&modelRequest{model: c.Model, prompt: string(c.Prompt), stream: c.Stream}, c.MaxTokens)
}

// validate checks the fields that both request types share and applies the default of
// max_tokens.
func validate(p *modelRequest, maxTokens *int) (*modelRequest, error) {
	if p.model == "" {
		return nil, outcome.Refuse(outcome.BadRequest, "model is missing", 0)
	}
	p.maxTokens = defaultMaxTokens
	if maxTokens != nil {
		p.maxTokens = *maxTokens
	}
	if p.maxTokens < 1 || p.maxTokens > maxTokensLimit {
		return nil, errMaxTokens
	}
	return p, nil
}

// generation builds a Generation from the parsed body and the headers.
func (p *modelRequest) generation(r *http.Request, id string, body []byte) (Generation, error) {
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
	lastEventID := r.Header.Get("Last-Event-ID")
	if lastEventID == "" {
		return g, nil
	}
	token, err := forward.ParseResumeToken(lastEventID)
	if err != nil {
		return g, outcome.Refuse(outcome.BadRequest, err.Error(), 0)
	}
	g.Resume = &token
	return g, nil
}

// deadlineOf returns the deadline that the caller requests in a header, or zero if there is
// none.
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

// readBody reads a body of at most limit bytes and refuses a longer one.
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
