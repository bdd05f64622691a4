// Package service is a stand-in for a backend server of a plain service, with the
// calls for bookings and records of the users' workloads. It keeps a journal of the
// executed calls, so that a test can check what was executed and how often.
//
// # Usage
//
//	s := &service.Service{CallDuration: 5 * time.Millisecond, Slots: 16}
//	address, err := s.Start()
//	defer s.Close()
//	runs := s.Journal()
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"guavapaddle/core/backend"
	"guavapaddle/internal/testbed/standin/fault"
	ioservice "guavapaddle/io/service"
)

const maxBody = 16 << 20

type (
	// Service is a stand-in for a server of a plain service. The exported fields
	// must be set before Start.
	Service struct {
		Name         string        // name of the server
		Listen       string        // IP:port; a free port of 127.0.0.1 if empty
		CallDuration time.Duration // duration of a call
		Slots        int           // maximum concurrent calls, unlimited if zero; excess calls get a 503 that confirms that they were not executed
		Faults       fault.Set

		mu      sync.Mutex
		running int
		runs    []*Run
		index   map[Run]*Run // by the run with Count zero
	}

	// Run is an entry of the journal: a call and how often it was executed.
	Run struct {
		RequestID string `json:"request-id"`
		Method    string `json:"method"`
		Path      string `json:"path"`
		BodyHash  string `json:"body-hash"` // xxhash64 in hexadecimal
		Count     int    `json:"count"`
	}

	// Journal is the response to a call that reads the journal.
	Journal struct {
		Runs []Run `json:"runs"`
	}

	// Reply is the body of the response to a bookings or records call.
	Reply struct {
		Server    string `json:"server"`
		RequestID string `json:"request-id"`
		Method    string `json:"method"`
		Path      string `json:"path"`
		BodyHash  string `json:"body-hash"`
	}
)

// Start starts the server and returns its address.
func (s *Service) Start() (string, error) {
	if s.Faults.Counters == nil {
		s.Faults.Counters = &fault.Counters{}
	}
	calls := http.NewServeMux()
	calls.HandleFunc("GET "+ioservice.LoadPath, s.serveLoad)
	calls.HandleFunc("POST /bookings/confirm", s.serveWrite)
	calls.HandleFunc("POST /bookings/cancel", s.serveWrite)
	calls.HandleFunc("POST /records/", s.serveWrite)
	calls.HandleFunc("GET /records/", s.serveRead)
	mux := http.NewServeMux()
	mux.Handle("/", s.Faults.Wrap(calls))
	mux.HandleFunc("GET /journal", func(w http.ResponseWriter, _ *http.Request) {
		fault.WriteJSON(w, http.StatusOK, Journal{Runs: s.Journal()})
	})
	return s.Faults.Serve(s.Listen, mux)
}

// Close stops the server. The journal is kept, and Start may be called again.
func (s *Service) Close() { s.Faults.Server.Close() }

// Journal returns the executed calls, in the order of their first execution.
func (s *Service) Journal() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Run, 0, len(s.runs))
	for _, r := range s.runs {
		out = append(out, *r)
	}
	return out
}

// BodyHash returns the hash of a body as it is recorded in the journal.
func BodyHash(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }

// serveLoad responds with the load report.
func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	n := s.running
	s.mu.Unlock()
	fault.WriteJSON(w, http.StatusOK, backend.LoadReport{Running: n, StepMS: float64(s.CallDuration) / float64(time.Millisecond)})
}

// serveWrite handles a call with a JSON body.
func (s *Service) serveWrite(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	w.Header().Set(ioservice.RequestIDHeader, r.Header.Get(ioservice.RequestIDHeader))
	if err != nil || !json.Valid(body) {
		http.Error(w, "request body is not valid JSON", http.StatusBadRequest)
		return
	}
	s.run(w, r, body)
}

// serveRead handles a call without a body.
func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) { s.run(w, r, nil) }

// run executes a call. It records the call in the journal before it responds.
func (s *Service) run(w http.ResponseWriter, r *http.Request, body []byte) {
	if s.Faults.Faults().Leaving || !s.acquireSlot() {
		s.Faults.Counters.Add("refused", 1)
		w.Header().Set(fault.NotRunHeader, "1")
		http.Error(w, "not run", http.StatusServiceUnavailable)
		return
	}
	defer s.releaseSlot()
	id := r.Header.Get(ioservice.RequestIDHeader)
	hash := BodyHash(body)
	s.recordRun(Run{RequestID: id, Method: r.Method, Path: r.URL.Path, BodyHash: hash})
	if s.CallDuration > 0 {
		t := time.NewTimer(s.CallDuration)
		defer t.Stop()
		<-t.C // continues if the client disconnects
	}
	w.Header().Set(ioservice.RequestIDHeader, id)
	fault.WriteJSON(w, http.StatusOK, Reply{Server: s.Name, RequestID: id, Method: r.Method, Path: r.URL.Path, BodyHash: hash})
}

// acquireSlot acquires a slot and reports whether one was free.
func (s *Service) acquireSlot() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Slots > 0 && s.running >= s.Slots {
		return false
	}
	s.running++
	return true
}

// releaseSlot releases a slot.
func (s *Service) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// recordRun adds an execution to the journal.
func (s *Service) recordRun(r Run) {
	s.Faults.Counters.Add("runs", 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.index == nil {
		s.index = map[Run]*Run{}
	}
	entry, ok := s.index[r]
	if !ok {
		entry = &Run{RequestID: r.RequestID, Method: r.Method, Path: r.Path, BodyHash: r.BodyHash}
		s.index[r] = entry
		s.runs = append(s.runs, entry)
	}
	entry.Count++
}
