package fault

import (
	"net/http"
	"sync"
	"time"
)

// NotRunHeader is set to "1" on responses which confirm that a call was not
// executed.
const NotRunHeader = "Guavapaddle-Not-Run"

type (
	// Faults describes the active faults of a stand-in. The zero value has none.
	Faults struct {
		Down         bool   `json:"down,omitempty"`           // the connection of each call is closed before the call is processed
		Refuse       bool   `json:"refuse,omitempty"`         // every call is answered with 503
		DelayMS      int64  `json:"delay-ms,omitempty"`       // delay of every response
		Silent       bool   `json:"silent,omitempty"`         // connections that are open now go silent permanently
		BlackHole    bool   `json:"black-hole,omitempty"`     // no call gets a response
		DropAnswers  int    `json:"drop-answers,omitempty"`   // number of next calls that are executed, with the connection closed instead of a response
		CutStreams   int    `json:"cut-streams,omitempty"`    // number of next streams that are interrupted
		CutAfter     int    `json:"cut-after,omitempty"`      // tokens sent before a stream is interrupted
		CloseReused  bool   `json:"close-reused,omitempty"`   // calls on a reused connection are executed, with the connection closed instead of a response
		OrderDelayMS int64  `json:"order-delay-ms,omitempty"` // delay until an order takes effect
		LoseOrders   int    `json:"lose-orders,omitempty"`    // number of next orders that are accepted and never executed
		CrashOn      string `json:"crash-on,omitempty"`       // text in a prompt that crashes the engine when the prompt is processed
		Leaving      bool   `json:"leaving,omitempty"`        // new work is answered with 503
	}

	// Set holds the active faults of one stand-in. The exported fields must be set
	// before the Set is used.
	Set struct {
		Counters *Counters
		Server   *Server

		mu     sync.Mutex
		faults Faults
	}
)

// SetFaults replaces the active faults. Down closes the open connections of the
// stand-in; Silent and BlackHole silence them.
func (s *Set) SetFaults(f Faults) {
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

// Faults returns the active faults, with the remaining counts of those that apply
// to a number of calls.
func (s *Set) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// NextOrderLost reports whether the next order is lost, and counts it.
func (s *Set) NextOrderLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return decrement(&s.faults.LoseOrders)
}

// NextStreamCut reports whether the next stream is interrupted and after how many tokens,
// and counts it.
func (s *Set) NextStreamCut() (after int, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.CutAfter, decrement(&s.faults.CutStreams)
}

// Serve starts a server for the calls of a stand-in, to which it adds the calls that
// set its faults and read its counters. It listens on the given address, or on a free
// port of 127.0.0.1 if that is empty, and returns the address.
func (s *Set) Serve(listen string, calls *http.ServeMux) (string, error) {
	calls.HandleFunc("POST /fault", s.ServeFault)
	calls.Handle("GET /counters", s.Counters)
	s.Server = &Server{Listen: listen, Handler: calls}
	return s.Server.Start()
}

// ServeFault replaces the active faults by those in the body of the request. They do
// not affect the connection on which the request arrived.
func (s *Set) ServeFault(w http.ResponseWriter, r *http.Request) {
	ExemptConn(r)
	var f Faults
	if ReadJSON(w, r, &f) {
		s.SetFaults(f)
		w.WriteHeader(http.StatusNoContent)
	}
}

// ExemptConn exempts the connection of r from faults that affect open connections, until
// a further call arrives on it.
func ExemptConn(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		c.recordCall(nil)
	}
}

// Wrap returns a handler that applies the active faults to the calls of h. It counts
// the calls that were received and those that have ended, and records the longest
// duration of a call. For a call that failed in transit, these counters show whether
// the stand-in received it.
func (s *Set) Wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		read := time.Now()
		s.Counters.Add("calls-read", 1)
		defer func() {
			s.Counters.Add("calls-ended", 1)
			s.Counters.Max("longest-call-ms", time.Since(read).Milliseconds())
		}()
		f, drop := s.takeCallFaults()
		earlierCalls := 0
		c, ok := r.Context().Value(connKey{}).(*conn)
		if ok {
			earlierCalls = c.recordCall(s)
		}
		switch {
		case f.BlackHole && ok:
			c.silence()
		case f.Down || f.BlackHole:
			panic(http.ErrAbortHandler)
		case f.Refuse:
			w.Header().Set(NotRunHeader, "1")
			http.Error(w, "refused", http.StatusServiceUnavailable)
		case drop || f.CloseReused && earlierCalls > 0:
			s.Counters.Add("answers-dropped", 1)
			h.ServeHTTP(&discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		case f.DelayMS > 0:
			h.ServeHTTP(&delayedWriter{ResponseWriter: w, request: r, delay: time.Duration(f.DelayMS) * time.Millisecond}, r)
		default:
			h.ServeHTTP(w, r)
		}
	})
}

// takeCallFaults returns the faults that apply to one call and reports whether the
// response to it is dropped.
func (s *Set) takeCallFaults() (f Faults, drop bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f = s.faults
	if f.BlackHole || f.Down || f.Refuse {
		return f, false
	}
	return f, decrement(&s.faults.DropAnswers)
}

// decrement decrements n if it is positive and reports whether it did.
func decrement(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}
