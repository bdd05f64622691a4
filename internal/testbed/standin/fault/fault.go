package fault

import (
	"net/http"
	"sync"
	"time"
)

// NotRunHeader is set to "1" on answers that affirm that a call did not run.
const NotRunHeader = "Guavapaddle-Not-Run"

type (
	// Faults are the faults in force. The zero value is none.
	Faults struct {
		Down         bool   `json:"down,omitempty"`           // calls break at once, unread
		Refuse       bool   `json:"refuse,omitempty"`         // 503 to every call
		DelayMS      int64  `json:"delay-ms,omitempty"`       // every answer is late by so much
		Silent       bool   `json:"silent,omitempty"`         // connections open now go silent for good
		BlackHole    bool   `json:"black-hole,omitempty"`     // everything goes unanswered
		DropAnswers  int    `json:"drop-answers,omitempty"`   // next calls that run and break unanswered
		CutStreams   int    `json:"cut-streams,omitempty"`    // next streams that break
		CutAfter     int    `json:"cut-after,omitempty"`      // tokens before a stream breaks
		CloseReused  bool   `json:"close-reused,omitempty"`   // a second call on a connection runs and breaks unanswered
		OrderDelayMS int64  `json:"order-delay-ms,omitempty"` // orders take effect so much later
		LoseOrders   int    `json:"lose-orders,omitempty"`    // next orders that are accepted and never done
		CrashOn      string `json:"crash-on,omitempty"`       // text in a prompt that crashes the engine
		Leaving      bool   `json:"leaving,omitempty"`        // 503 to new work
	}

	// Set holds the faults of one stand-in. Its exported fields are set before
	// use.
	Set struct {
		Counters *Counters
		Server   *Server

		mu     sync.Mutex
		faults Faults
	}
)

// Put sets the faults in force. Down and BlackHole also meet the connections
// that are open.
func (s *Set) Put(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	if s.Server == nil {
		return
	}
	if f.Silent || f.BlackHole {
		s.Server.silence(s)
	}
	if f.Down {
		s.Server.Break(s)
	}
}

// Faults returns the faults in force, with what is left of those that count
// down.
func (s *Set) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// TakeLostOrder tells whether the next order is lost.
func (s *Set) TakeLostOrder() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return take(&s.faults.LoseOrders)
}

// TakeCut tells whether the next stream breaks, and after how many tokens.
func (s *Set) TakeCut() (after int, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.CutAfter, take(&s.faults.CutStreams)
}

// Serve starts to serve a stand-in's calls, beside those that set its faults and read
// its counters, on an address, a free port of 127.0.0.1 if that is empty. It returns the
// address.
func (s *Set) Serve(listen string, calls *http.ServeMux) (string, error) {
	calls.HandleFunc("POST /fault", s.ServeFault)
	calls.Handle("GET /counters", s.Counters)
	s.Server = &Server{Listen: listen, Handler: calls}
	return s.Server.Start()
}

// ServeFault sets the faults in force from the body of the request. They do not
// meet the connection that the request came on.
func (s *Set) ServeFault(w http.ResponseWriter, r *http.Request) {
	Spare(r)
	var f Faults
	if ReadJSON(w, r, &f) {
		s.Put(f)
		w.WriteHeader(http.StatusNoContent)
	}
}

// Spare keeps faults that meet open connections off the one that r came on,
// until a further call comes on it.
func Spare(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		c.use(nil)
	}
}

// Wrap returns h under the faults in force. It counts the calls that were read
// and those that h has ended with, and keeps the longest time between the two:
// for a call that failed on the way they tell whether the stand-in had it.
func (s *Set) Wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		read := time.Now()
		s.Counters.Add("calls-read", 1)
		defer func() {
			s.Counters.Add("calls-ended", 1)
			s.Counters.Max("longest-call-ms", time.Since(read).Milliseconds())
		}()
		f, drop := s.begin()
		before := 0
		c, ok := r.Context().Value(connKey{}).(*conn)
		if ok {
			before = c.use(s)
		}
		switch {
		case f.BlackHole && ok:
			c.silence()
		case f.Down || f.BlackHole:
			panic(http.ErrAbortHandler)
		case f.Refuse:
			w.Header().Set(NotRunHeader, "1")
			http.Error(w, "refused", http.StatusServiceUnavailable)
		case drop || f.CloseReused && before > 0:
			s.Counters.Add("answers-dropped", 1)
			h.ServeHTTP(&deafWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		case f.DelayMS > 0:
			h.ServeHTTP(&lateWriter{ResponseWriter: w, request: r, delay: time.Duration(f.DelayMS) * time.Millisecond}, r)
		default:
			h.ServeHTTP(w, r)
		}
	})
}

// begin returns the faults for one call and whether its answer is dropped.
func (s *Set) begin() (f Faults, drop bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f = s.faults
	if f.BlackHole || f.Down || f.Refuse {
		return f, false
	}
	return f, take(&s.faults.DropAnswers)
}

// take counts n down and tells whether there was something left.
func take(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}
