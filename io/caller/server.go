package caller

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"guavapaddle/core/forward"
	"guavapaddle/core/outcome"
)

const (
	hardBodyBytes  = 32 << 20 // beyond it the connection is closed unanswered
	writeBuffer    = 8 << 20  // a caller that reads so far behind is cut off
	watchPeriod    = 50 * time.Millisecond
	defaultIdle    = 2 * time.Minute
	defaultStreams = 4096
	defaultBody    = 4 << 20
	defaultHeader  = 32 << 10
	hardReadBytes  = hardBodyBytes + 1<<20 // of one request, headers included
	headerOverhead = 4                     // bytes of ": " and the line's end
	pollers        = 1                     // it only reads and parses; handlers have goroutines
	pollerTimeout  = 10 * time.Second      // from the engine's start to the poller's first read
)

type (
	// Generation is one request to a model.
	Generation struct {
		RequestID string
		Bearer    string
		Model     string
		Kind      string        // empty for the team's default
		Deadline  time.Duration // zero for the kind's
		Prompt    string
		MaxTokens int
		Stream    bool
		Key       string               // idempotency key, may be empty
		Resume    *forward.ResumeToken // nil for a new answer
		Body      []byte               // as it came, for the fingerprint
	}

	// ServiceCall is one call of a plain service.
	ServiceCall struct {
		RequestID string
		Bearer    string
		Method    string
		Path      string // escaped, without query
		Query     string // without "?"
		Header    http.Header
		Body      []byte
		Key       string        // idempotency key, may be empty
		Deadline  time.Duration // zero for the kind's
	}

	// ServiceAnswer is the whole answer of a plain service.
	ServiceAnswer struct {
		Status int
		Header http.Header
		Body   []byte
		Stored bool // the answer of an earlier call with the same key
	}

	// Handler does what callers ask for. All errors are *outcome.Error.
	Handler interface {
		// Models returns the names that the owner of a key may call.
		Models(bearer string) ([]string, error)
		// Generate passes an answer's replies to emit and returns nil after
		// the finish.
		Generate(ctx context.Context, g Generation, emit forward.Emit) error
		// Call calls a plain service.
		Call(ctx context.Context, c ServiceCall) (ServiceAnswer, error)
		// Ended is told how a request ended; err is nil for done.
		Ended(requestID string, started time.Time, err error)
	}

	// Server listens for callers.
	Server struct {
		Address   string // IP:port
		Handler   Handler
		BodyBytes func() int64                 // bound of a body, default 4 MiB
		Headers   func() int                   // bound of all headers in bytes, default 32 KiB
		Streams   func() int                   // bound of open requests, default 4096
		Idle      time.Duration                // of a connection without request, default 2 min
		NewID     func() string                // of requests
		Draining  func() (time.Duration, bool) // when to come back, and whether new requests are refused
		// Panicked is called for a handler that panicked, may be nil.
		Panicked func(requestID string, value any, stack []byte)
		// AcceptFailed is called for a connection that could not be accepted,
		// may be nil. The server tries again.
		AcceptFailed func(err error)

		engine    *nbhttp.Engine
		listener  net.Listener
		accepting chan struct{} // closed when accept has returned
		polling   chan struct{} // closed when the engine's poller has read
		accepted  func()        // called while a connection is added, nil but in tests
		open      atomic.Int64
		mu        sync.Mutex
		watch     map[net.Conn]*watched
	}

	// watched is the connection of a request that runs.
	watched struct {
		cancel context.CancelFunc
		lifted bool // the read deadline, for good
	}

	// ListenError reports an address that can't be used.
	ListenError struct {
		Address string
		Err     error
	}

	// PollerError reports an engine whose poller has not read within Timeout.
	PollerError struct {
		Timeout time.Duration
	}
)

// Error returns address and cause.
func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Error returns the timeout.
func (e *PollerError) Error() string { return fmt.Sprintf("poller reads nothing within %v", e.Timeout) }

// Open returns how many requests are open.
func (s *Server) Open() int { return int(s.open.Load()) }

// cancelClosed cancels the requests whose caller has gone.
func (s *Server) cancelClosed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, w := range s.watch {
		if !w.lifted { // nbhttp may set it once more after the first request began
			w.lifted = c.SetReadDeadline(time.Time{}) == nil
		}
		if closed(c) {
			w.cancel()
			delete(s.watch, c)
		}
	}
}

func closed(c net.Conn) bool {
	nc, ok := c.(*nbio.Conn)
	if !ok {
		return false
	}
	is, _ := nc.IsClosed()
	return is
}

// serve answers one request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	id := s.NewID()
	started := time.Now()
	a := &answer{w: w, id: id}
	leaveClosing(w, r)
	if n := s.open.Add(1); n > int64(s.streams()) {
		s.open.Add(-1)
		s.refuse(a, started, outcome.Refuse(outcome.QueueFull, "requests of this node", time.Second))
		return
	}
	defer s.open.Add(-1)
	defer s.recovered(a, started)
	if after, yes := s.Draining(); yes {
		w.Header().Set("Connection", "close")
		s.refuse(a, started, outcome.Refuse(outcome.Draining, "", after))
		return
	}
	ctx, stop := s.watching(w)
	defer stop()
	if err := s.checkHeaders(r); err != nil {
		s.refuse(a, started, err)
		return
	}
	body, err := s.body(r)
	if err != nil {
		s.refuse(a, started, err)
		return
	}
	s.route(ctx, a, r, body, started)
}

// leaveClosing leaves it to a caller who asked for the connection to be closed
// to close it. The engine would do so from the handler's goroutine; the next
// connection may then get the same file descriptor, and the engine's poller
// take a late event of the old connection for one of the new and close that,
// whose caller would get no answer. A caller that does not close its end is
// idle.
func leaveClosing(w http.ResponseWriter, r *http.Request) {
	if r.Close && r.ProtoAtLeast(1, 1) {
		w.Header().Set("Connection", "close")
		r.Close = false
	}
}

// route passes a request on by its path.
func (s *Server) route(ctx context.Context, a *answer, r *http.Request, body []byte, started time.Time) {
	var err error
	switch r.URL.Path {
	case "/v1/models":
		err = s.models(a, r)
	case "/v1/chat/completions":
		err = s.generate(ctx, a, r, body, parseChat)
	case "/v1/completions":
		err = s.generate(ctx, a, r, body, parseCompletion)
	default:
		err = s.call(ctx, a, r, body)
	}
	if err != nil {
		a.fail(outcome.From(err))
	}
	s.Handler.Ended(a.id, started, err)
}

func (s *Server) refuse(a *answer, started time.Time, err error) {
	a.fail(outcome.From(err))
	s.Handler.Ended(a.id, started, err)
}

// recovered answers a request whose handler panicked. The engine below would
// swallow the panic and leave the caller without an answer.
func (s *Server) recovered(a *answer, started time.Time) {
	p := recover()
	if p == nil {
		return
	}
	s.refuse(a, started, outcome.Unconfirmed(outcome.Internal, fmt.Sprintf("panic: %v", p)))
	if s.Panicked != nil {
		s.Panicked(a.id, p, debug.Stack())
	}
}

// watching returns a context that ends when the caller's connection closes, and
// lifts the connection's read deadline while the request runs.
func (s *Server) watching(w http.ResponseWriter) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	res, ok := w.(*nbhttp.Response)
	if !ok || res.Parser == nil || res.Parser.Conn == nil {
		return ctx, cancel
	}
	c := res.Parser.Conn
	if nc, ok := c.(*nbhttp.Conn); ok {
		c = nc.Conn
	}
	_ = c.SetReadDeadline(time.Time{})
	s.mu.Lock()
	s.watch[c] = &watched{cancel: cancel}
	s.mu.Unlock()
	return ctx, func() {
		cancel()
		s.mu.Lock()
		delete(s.watch, c)
		s.mu.Unlock()
	}
}

// checkHeaders refuses a request whose headers are larger than the bound.
func (s *Server) checkHeaders(r *http.Request) error {
	limit := defaultHeader
	if s.Headers != nil {
		limit = s.Headers()
	}
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + headerOverhead
		}
	}
	if size > limit {
		return outcome.Refuse(outcome.HeaderTooLarge, fmt.Sprintf("%d bytes, at most %d", size, limit), 0)
	}
	return nil
}

// body returns the whole body if it is within the bound.
func (s *Server) body(r *http.Request) ([]byte, error) {
	limit := int64(defaultBody)
	if s.BodyBytes != nil {
		limit = s.BodyBytes()
	}
	return readBody(r.Body, limit)
}

func (s *Server) streams() int {
	if s.Streams == nil {
		return defaultStreams
	}
	return s.Streams()
}

// models lists what the caller may call.
func (s *Server) models(a *answer, r *http.Request) error {
	if r.Method != http.MethodGet {
		return methodNotAllowed(r)
	}
	names, err := s.Handler.Models(bearer(r))
	if err != nil {
		return err
	}
	a.json(http.StatusOK, modelList(names))
	return nil
}

// generate runs a generation and streams or collects its answer.
func (s *Server) generate(ctx context.Context, a *answer, r *http.Request, body []byte, parse parser) error {
	if r.Method != http.MethodPost {
		return methodNotAllowed(r)
	}
	p, err := parse(body)
	if err != nil {
		return err
	}
	g, err := p.generation(r, a.id, body)
	if err != nil {
		return err
	}
	a.begin(p)
	if g.Resume != nil {
		a.offset = g.Resume.Offset
	}
	return s.Handler.Generate(ctx, g, func(reply forward.Reply, at forward.ResumeToken) error {
		return a.reply(reply, at)
	})
}

// call calls a plain service.
func (s *Server) call(ctx context.Context, a *answer, r *http.Request, body []byte) error {
	deadline, err := deadlineOf(r)
	if err != nil {
		return err
	}
	got, err := s.Handler.Call(ctx, ServiceCall{
		RequestID: a.id,
		Bearer:    bearer(r),
		Method:    r.Method,
		Path:      r.URL.EscapedPath(),
		Query:     r.URL.RawQuery,
		Header:    r.Header,
		Body:      body,
		Key:       r.Header.Get("Idempotency-Key"),
		Deadline:  deadline,
	})
	if err != nil {
		return err
	}
	a.service(got)
	return nil
}

func bearer(r *http.Request) string {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

func methodNotAllowed(r *http.Request) error {
	return outcome.Refuse(outcome.BadRequest, "method "+r.Method, 0)
}
