package caller_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/forward"
	"guavapaddle/core/outcome"
	"guavapaddle/internal/testbed/await"
	"guavapaddle/io/caller"
)

// handler is a Handler that records generations and returns fixed replies unless generate is
// set.
type handler struct {
	generations chan caller.Generation
	generate    func(ctx context.Context, g caller.Generation, emit forward.Emit) error
}

func (h *handler) Models(bearer string) ([]string, error) {
	if bearer != "key" {
		return nil, outcome.Refuse(outcome.Unauthorized, "", 0)
	}
	return []string{"m"}, nil
}

func (h *handler) Generate(ctx context.Context, g caller.Generation, emit forward.Emit) error {
	h.generations <- g
	if h.generate != nil {
		return h.generate(ctx, g, emit)
	}
	return emit(forward.Reply{Finish: "stop"}, forward.ResumeToken{RequestID: g.RequestID, Server: "s"})
}

func (h *handler) Call(_ context.Context, c caller.ServiceCall) (caller.ServiceResponse, error) {
	return caller.ServiceResponse{Status: http.StatusTeapot, Header: http.Header{"X-Own": {"1"}, "Connection": {"close"}}, Body: []byte(c.Path + "?" + c.Query + " " + c.Key)}, nil
}

func (h *handler) RequestEnded(string, time.Time, error) {}

// start runs a server until the test ends and returns its URL. configure may change the
// server before it listens.
func start(t testing.TB, h *handler, configure func(s *caller.Server)) string {
	h.generations = make(chan caller.Generation, 100)
	var ids atomic.Int64
	s := &caller.Server{
		Address: "127.0.0.1:0", Handler: h,
		NewID:    func() string { return fmt.Sprint("id-", ids.Add(1)) },
		Draining: func() (time.Duration, bool) { return 0, false },
	}
	if configure != nil {
		configure(s)
	}
	address, err := s.Listen()
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, await.Value(t, done, "the server's end"))
	})
	return "http://" + address
}

// reply is the status and the headers of a response.
type reply struct {
	StatusCode int
	Header     http.Header
}

// post sends a POST request with the given header names and values and returns the response
// and its body.
func post(t testing.TB, url, body string, header ...string) (reply, string) {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	require.NoError(t, err)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return reply{StatusCode: resp.StatusCode, Header: resp.Header}, string(b)
}

func TestRequestBodies(t *testing.T) {
	h := &handler{}
	url := start(t, h, nil)
	for _, test := range []struct {
		name, path, body, prompt string
		tokens                   int
	}{
		{"chat", "/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":"hi"}]}`, "user: hi\n", 256},
		{"parts", "/v1/chat/completions", `{"model":"m","max_tokens":3,"messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}`, "user: ab\n", 3},
		{"max_completion_tokens", "/v1/chat/completions", `{"model":"m","max_completion_tokens":4,"unknown":1,"messages":[{"role":"system","content":"s"}]}`, "system: s\n", 4},
		{"completion", "/v1/completions", `{"model":"m","prompt":"p","max_tokens":1}`, "p", 1},
		{"list of prompts", "/v1/completions", `{"model":"m","prompt":["p","q"]}`, "pq", 256},
	} {
		t.Run(test.name, func(t *testing.T) {
			resp, body := post(t, url+test.path, test.body)
			require.Equal(t, http.StatusOK, resp.StatusCode, body)
			g := <-h.generations
			require.Equal(t, test.prompt, g.Prompt)
			require.Equal(t, test.tokens, g.MaxTokens)
		})
	}
}

func TestRefusals(t *testing.T) {
	h := &handler{}
	url := start(t, h, func(s *caller.Server) { s.BodyBytes = func() int64 { return 200 } })
	chat := "/v1/chat/completions"
	for _, test := range []struct {
		name, path, body string
		header           []string
		status           int
		reason           string
	}{
		{"not JSON", chat, `{`, nil, 400, "bad-request"},
		{"no model", chat, `{"messages":[{"role":"u","content":"c"}]}`, nil, 400, "bad-request"},
		{"no messages", chat, `{"model":"m"}`, nil, 400, "bad-request"},
		{"content of a number", chat, `{"model":"m","messages":[{"role":"u","content":1}]}`, nil, 400, "bad-request"},
		{"no tokens", "/v1/completions", `{"model":"m","prompt":"p","max_tokens":0}`, nil, 400, "bad-request"},
		{"too many tokens", "/v1/completions", `{"model":"m","prompt":"p","max_tokens":999999}`, nil, 400, "bad-request"},
		{"deadline", "/v1/completions", `{"model":"m","prompt":"p"}`, []string{"X-Deadline-Ms", "soon"}, 400, "bad-request"},
		{"resume token", "/v1/completions", `{"model":"m","prompt":"p"}`, []string{"Last-Event-ID", "x"}, 400, "bad-request"},
		{"large headers", "/v1/completions", `{"model":"m","prompt":"p"}`, []string{"X-Much", strings.Repeat("h", 40<<10)}, 431, "header-too-large"},
		{"large body", "/v1/completions", `{"model":"m","prompt":"` + strings.Repeat("p", 200) + `"}`, nil, 413, "body-too-large"},
	} {
		t.Run(test.name, func(t *testing.T) {
			resp, body := post(t, url+test.path, test.body, test.header...)
			require.Equal(t, test.status, resp.StatusCode, body)
			require.Equal(t, test.reason, resp.Header.Get("X-Reason"))
			require.Equal(t, "refused-not-run", resp.Header.Get("X-Outcome"))
			require.Contains(t, body, test.reason)
			require.Empty(t, h.generations)
		})
	}
}

func TestServiceCall(t *testing.T) {
	url := start(t, &handler{}, nil)
	resp, body := post(t, url+"/bookings/a%2Fb?q=1", "x", "Idempotency-Key", "k")
	require.Equal(t, http.StatusTeapot, resp.StatusCode)
	require.Equal(t, "/bookings/a%2Fb?q=1 k", body)
	require.Equal(t, "1", resp.Header.Get("X-Own"))
	require.Equal(t, "done", resp.Header.Get("X-Outcome"))
}

// TestFailureInStream checks that a failing stream ends with an error event and without the
// end marker.
func TestFailureInStream(t *testing.T) {
	h := &handler{generate: func(_ context.Context, _ caller.Generation, emit forward.Emit) error {
		if err := emit(forward.Reply{Token: "a"}, forward.ResumeToken{RequestID: "r", Offset: 1, Server: "s"}); err != nil {
			return err
		}
		return outcome.Fail(outcome.BackendLost, "")
	}}
	url := start(t, h, nil)
	resp, body := post(t, url+"/v1/completions", `{"model":"m","prompt":"p","stream":true}`)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Contains(t, body, "id: r.1.s\n")
	require.Contains(t, body, "event: error\ndata: {\"error\":{\"type\":\"backend-lost\",\"outcome\":\"failed-after-start\"")
	require.NotContains(t, body, "[DONE]")
}

// TestPanicInHandler checks that the caller gets a response when the handler panics.
func TestPanicInHandler(t *testing.T) {
	h := &handler{generate: func(context.Context, caller.Generation, forward.Emit) error { panic("misuse") }}
	url := start(t, h, nil)
	resp, _ := post(t, url+"/v1/completions", `{"model":"m","prompt":"p"}`)
	require.Equal(t, http.StatusInternalServerError, resp.StatusCode)
	require.Equal(t, "unknown", resp.Header.Get("X-Outcome"))
}

// TestContextIsCancelledWhenCallerDisconnects checks that the handler's context is cancelled
// when the caller closes the connection before the response has started.
func TestContextIsCancelledWhenCallerDisconnects(t *testing.T) {
	ended := make(chan error, 1)
	h := &handler{generate: func(ctx context.Context, _ caller.Generation, _ forward.Emit) error {
		<-ctx.Done()
		ended <- ctx.Err()
		return outcome.Fail(outcome.CallerGone, "")
	}}
	url := start(t, h, nil)
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	require.NoError(t, err)
	body := `{"model":"m","prompt":"p"}`
	_, err = fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	require.NoError(t, err)
	<-h.generations
	require.NoError(t, c.Close())
	select {
	case err := <-ended:
		require.ErrorIs(t, err, context.Canceled)
	case <-time.After(10 * time.Second):
		require.Fail(t, "the handler's context was not cancelled")
	}
}

// TestLongStreamIsNotCutOff checks that a stream that lasts longer than the idle timeout is
// not cut off.
func TestLongStreamIsNotCutOff(t *testing.T) {
	const idle = 300 * time.Millisecond
	h := &handler{generate: func(_ context.Context, _ caller.Generation, emit forward.Emit) error {
		for i := range 6 {
			if err := emit(forward.Reply{Offset: i, Token: "t"}, forward.ResumeToken{RequestID: "r", Offset: i + 1, Server: "s"}); err != nil {
				return err
			}
			<-time.After(idle / 2)
		}
		return emit(forward.Reply{Offset: 6, Finish: "stop"}, forward.ResumeToken{RequestID: "r", Offset: 6, Server: "s"})
	}}
	url := start(t, h, func(s *caller.Server) { s.IdleTimeout = idle })
	_, body := post(t, url+"/v1/completions", `{"model":"m","prompt":"p","stream":true}`)
	require.Contains(t, body, "[DONE]")
}

// TestOpenRequestLimitAndDraining checks the limit on open requests and the refusal of new
// requests while draining.
func TestOpenRequestLimitAndDraining(t *testing.T) {
	release := make(chan struct{})
	h := &handler{generate: func(_ context.Context, g caller.Generation, emit forward.Emit) error {
		<-release
		return emit(forward.Reply{Finish: "stop"}, forward.ResumeToken{RequestID: g.RequestID, Server: "s"})
	}}
	draining := false
	url := start(t, h, func(s *caller.Server) {
		s.MaxOpenRequests = func() int { return 1 }
		s.Draining = func() (time.Duration, bool) { return time.Second, draining }
	})
	first := make(chan string)
	go func() {
		resp, err := http.Post(url+"/v1/completions", "", strings.NewReader(`{"model":"m","prompt":"p"}`))
		if err != nil {
			first <- err.Error()
			return
		}
		_ = resp.Body.Close()
		first <- resp.Status
	}()
	<-h.generations
	resp, _ := post(t, url+"/v1/completions", `{"model":"m","prompt":"p"}`)
	require.Equal(t, "queue-full", resp.Header.Get("X-Reason"))
	require.Equal(t, "1", resp.Header.Get("Retry-After"))
	close(release)
	require.Equal(t, "200 OK", <-first)
	draining = true
	resp, _ = post(t, url+"/v1/completions", `{"model":"m","prompt":"p"}`)
	require.Equal(t, "draining", resp.Header.Get("X-Reason"))
}

// FuzzBody sends arbitrary bodies to the model API. The response must be valid HTTP with an
// outcome, and the handler must not be called without a model or without a positive number
// of tokens.
func FuzzBody(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"hi"}]}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"stream":true}`,
		`{"model":"m","max_tokens":-1,"messages":[{"role":"user","content":null}]}`, `[]`, `{"model":1}`, ``,
	} {
		f.Add([]byte(seed))
	}
	h := &handler{}
	url := start(f, h, nil)
	f.Fuzz(func(t *testing.T, body []byte) {
		resp, err := http.Post(url+"/v1/chat/completions", "application/json", strings.NewReader(string(body)))
		require.NoError(t, err)
		defer func() { _ = resp.Body.Close() }()
		_, err = bufio.NewReader(resp.Body).ReadByte()
		require.True(t, err == nil || errors.Is(err, io.EOF))
		if resp.StatusCode == http.StatusOK {
			g := <-h.generations
			require.NotEmpty(t, g.Model)
			require.Positive(t, g.MaxTokens)
			return
		}
		require.Equal(t, http.StatusBadRequest, resp.StatusCode)
		require.Equal(t, "refused-not-run", resp.Header.Get("X-Outcome"))
	})
}
