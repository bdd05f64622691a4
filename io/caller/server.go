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
	hardBodyBytes          = 32 << 20 // a connection with a larger body is closed without a response
	writeBuffer            = 8 << 20  // a caller with more unread bytes than this is disconnected
	watchPeriod            = 50 * time.Millisecond
	defaultIdleTimeout     = 2 * time.Minute
	defaultMaxOpenRequests = 4096
	defaultBodyBytes       = 4 << 20
	defaultHeaderBytes     = 32 << 10
	hardReadBytes          = hardBodyBytes + 1<<20 // limit of one request including its headers
	headerOverhead         = 4                     // length of ": " and CR LF in each header line
	pollerCount            = 1                     // one suffices: it only reads and parses, handlers run in their own goroutines
	pollerTimeout          = 10 * time.Second      // limit of the time from the engine's start to the poller's first read
)

type (
	// Generation is a request to a model.
	Generation struct {
		RequestID string
		Bearer    string
		Model     string
		Kind      string        // request kind, empty for the team's default
		Deadline  time.Duration // zero for the default of the kind
		Prompt    string
		MaxTokens int
		Stream    bool
		Key       string               // idempotency key, may be empty
		Resume    *forward.ResumeToken // nil for a new generation
		Body      []byte               // unmodified request body, for the fingerprint
	}

	// ServiceCall is a call to a plain service.
	ServiceCall struct {
		RequestID string
		Bearer    string
		Method    string
		Path      string // escaped, without query
		Query     string // without "?"
		Header    http.Header
		Body      []byte
		Key       string        // idempotency key, may be empty
		Deadline  time.Duration // zero for the default of the kind
	}

	// ServiceResponse is the complete response of a plain service.
	ServiceResponse struct {
		Status int
		Header http.Header
		Body   []byte
		Stored bool // the stored response of an earlier call with the same idempotency key
	}

	// Handler serves the requests of callers. Every error that it returns must be an
	// *outcome.Error.
	Handler interface {
		// Models returns the names of the models that the owner of an API key may use.
		Models(bearer string) ([]string, error)
		// Generate passes the replies of a generation to emit and returns nil after the
		// final one.
		Generate(ctx context.Context, g Generation, emit forward.Emit) error
		// Call calls a plain service.
		Call(ctx context.Context, c ServiceCall) (ServiceResponse, error)
		// RequestEnded is called when a request has ended; err is nil if it succeeded.
		RequestEnded(requestID string, started time.Time, err error)
	}

	// Server serves HTTP to callers. Exported fields must be set before Listen is called.
	Server struct {
		Address         string // IP:port
		Handler         Handler
		BodyBytes       func() int64                 // limit of a request body, default 4 MiB
		HeaderBytes     func() int                   // limit of all headers in bytes, default 32 KiB
		MaxOpenRequests func() int                   // limit of open requests, default 4096
		IdleTimeout     time.Duration                // idle timeout of a connection, default 2 min
		NewID           func() string                // returns a new request ID
		Draining        func() (time.Duration, bool) // returns the retry delay and whether new requests are refused
		// Panicked is called when a handler panicked, may be nil.
		Panicked func(requestID string, value any, stack []byte)
		// AcceptFailed is called when accepting a connection fails, may be nil. The server
		// then retries.
		AcceptFailed func(err error)

		engine       *nbhttp.Engine
		listener     net.Listener
		acceptDone   chan struct{} // closed when accept returns
		pollerReady  chan struct{} // closed at the first read of the engine's poller
		accepted     func()        // called while a connection is added, set only by tests
		open         atomic.Int64
		mu           sync.Mutex
		watchedConns map[net.Conn]*watchedConn
	}

	// watchedConn is the connection of a running request.
	watchedConn struct {
		cancel          context.CancelFunc
		deadlineCleared bool // the read deadline was cleared by cancelClosed
	}

	// ListenError reports an address on which the server cannot listen.
	ListenError struct {
		Address string
		Err     error
	}

	// PollerError reports that the engine's poller did not read anything within Timeout.
	PollerError struct {
		Timeout time.Duration
	}
)

// Error returns the address and the cause.
func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Error returns the timeout.
func (e *PollerError) Error() string {
	return fmt.Sprintf("poller did not read anything within %v", e.Timeout)
}

// OpenRequests returns the number of open requests.
func (s *Server) OpenRequests() int { return int(s.open.Load()) }

// cancelClosed cancels the contexts of requests whose caller disconnected.
func (s *Server) cancelClosed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, w := range s.watchedConns {
		if !w.deadlineCleared { // nbhttp may set the deadline again after the first request started
			w.deadlineCleared = c.SetReadDeadline(time.Time{}) == nil
		}
		if isClosed(c) {
			w.cancel()
			delete(s.watchedConns, c)
		}
	}
}

// isClosed reports whether the engine has closed a connection.
func isClosed(c net.Conn) bool {
	nc, ok := c.(*nbio.Conn)
	if !ok {
		return false
	}
	closed, _ := nc.IsClosed()
	return closed
}

// serve handles one request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	id := s.NewID()
	started := time.Now()
	rw := &responseWriter{w: w, id: id}
	deferClose(w, r)
	if n := s.open.Add(1); n > int64(s.maxOpenRequests()) {
		s.open.Add(-1)
		s.refuse(rw, started, outcome.Refuse(outcome.QueueFull, "requests of this node", time.Second))
		return
	}
	defer s.open.Add(-1)
	defer s.recoverPanic(rw, started)
	if after, draining := s.Draining(); draining {
		w.Header().Set("Connection", "close")
		s.refuse(rw, started, outcome.Refuse(outcome.Draining, "", after))
		return
	}
	ctx, stop := s.watchConn(w)
	defer stop()
	if err := s.checkHeaders(r); err != nil {
		s.refuse(rw, started, err)
		return
	}
	body, err := s.body(r)
	if err != nil {
		s.refuse(rw, started, err)
		return
	}
	s.route(ctx, rw, r, body, started)
}

// deferClose keeps the engine from closing the connection if the caller requested
// "Connection: close", and leaves the closing to the caller. The engine would close the
// connection from the handler's goroutine. A new connection could then get the same file
// descriptor, and the engine's poller could apply a late event of the old connection to the
// new one and close it, so that its caller would get no response. A connection that the
// caller does not close is subject to the idle timeout.
func deferClose(w http.ResponseWriter, r *http.Request) {
	if r.Close && r.ProtoAtLeast(1, 1) {
		w.Header().Set("Connection", "close")
		r.Close = false
	}
}

// route dispatches a request by its path.
func (s *Server) route(ctx context.Context, rw *responseWriter, r *http.Request, body []byte, started time.Time) {
	var err error
	switch r.URL.Path {
	case "/v1/models":
		err = s.models(rw, r)
	case "/v1/chat/completions":
		err = s.generate(ctx, rw, r, body, parseChat)
	case "/v1/completions":
		err = s.generate(ctx, rw, r, body, parseCompletion)
	default:
		err = s.call(ctx, rw, r, body)
	}
	if err != nil {
		rw.writeError(outcome.From(err))
	}
	s.Handler.RequestEnded(rw.id, started, err)
}

// refuse responds with an error and reports the end of the request.
func (s *Server) refuse(rw *responseWriter, started time.Time, err error) {
	rw.writeError(outcome.From(err))
	s.Handler.RequestEnded(rw.id, started, err)
}

// recoverPanic responds to a request whose handler panicked. The engine would recover the
// panic itself and send no response.
func (s *Server) recoverPanic(rw *responseWriter, started time.Time) {
	p := recover()
	if p == nil {
		return
	}
	s.refuse(rw, started, outcome.Unconfirmed(outcome.Internal, fmt.Sprintf("panic: %v", p)))
	if s.Panicked != nil {
		s.Panicked(rw.id, p, debug.Stack())
	}
}

// watchConn returns a context that is cancelled when the caller's connection closes, and
// clears the connection's read deadline while the request runs.
func (s *Server) watchConn(w http.ResponseWriter) (context.Context, context.CancelFunc) {
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
	s.watchedConns[c] = &watchedConn{cancel: cancel}
	s.mu.Unlock()
	return ctx, func() {
		cancel()
		s.mu.Lock()
		delete(s.watchedConns, c)
		s.mu.Unlock()
	}
}

// checkHeaders refuses a request whose headers exceed the limit.
func (s *Server) checkHeaders(r *http.Request) error {
	limit := defaultHeaderBytes
	if s.HeaderBytes != nil {
		limit = s.HeaderBytes()
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

// body reads the request body and refuses one that exceeds the limit.
func (s *Server) body(r *http.Request) ([]byte, error) {
	limit := int64(defaultBodyBytes)
	if s.BodyBytes != nil {
		limit = s.BodyBytes()
	}
	return readBody(r.Body, limit)
}

// maxOpenRequests returns the limit of open requests.
func (s *Server) maxOpenRequests() int {
	if s.MaxOpenRequests == nil {
		return defaultMaxOpenRequests
	}
	return s.MaxOpenRequests()
}

// models responds with the list of models that the caller may use.
func (s *Server) models(rw *responseWriter, r *http.Request) error {
	if r.Method != http.MethodGet {
		return methodNotAllowed(r)
	}
	names, err := s.Handler.Models(bearer(r))
	if err != nil {
		return err
	}
	rw.json(http.StatusOK, modelList(names))
	return nil
}

// generate runs a generation and streams its response or sends it as a whole.
func (s *Server) generate(ctx context.Context, rw *responseWriter, r *http.Request, body []byte, parse bodyParser) error {
	if r.Method != http.MethodPost {
		return methodNotAllowed(r)
	}
	p, err := parse(body)
	if err != nil {
		return err
	}
	g, err := p.generation(r, rw.id, body)
	if err != nil {
		return err
	}
	rw.setRequest(p)
	if g.Resume != nil {
		rw.offset = g.Resume.Offset
	}
	return s.Handler.Generate(ctx, g, func(reply forward.Reply, at forward.ResumeToken) error {
		return rw.reply(reply, at)
	})
}

// call forwards a request to a plain service.
func (s *Server) call(ctx context.Context, rw *responseWriter, r *http.Request, body []byte) error {
	deadline, err := deadlineOf(r)
	if err != nil {
		return err
	}
	result, err := s.Handler.Call(ctx, ServiceCall{
		RequestID: rw.id,
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
	rw.writeService(result)
	return nil
}

// bearer returns the bearer token of a request, or an empty string if there is none.
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
