// Package object is an in-memory stand-in for the platform's object store.
//
// # Usage
//
//	o := &object.Store{}
//	address, err := o.Start()
//	defer o.Close()
package object

import (
	"cmp"
	"io"
	"net/http"
	"sync"

	"golang.org/x/time/rate"

	"guavapaddle/internal/testbed/standin/capacity"
	"guavapaddle/internal/testbed/standin/fault"
)

const maxBody = 64 << 20

// Store is a stand-in for the object store. The exported fields must be set before
// Start or Handler.
type Store struct {
	Listen    string  // IP:port; a free port of 127.0.0.1 if empty
	WriteRate float64 // maximum writes per second, capacity.DefaultWrites if zero; excess calls wait
	ReadRate  float64 // maximum reads per second, capacity.DefaultReads if zero; excess calls wait
	Faults    fault.Set

	mu      sync.Mutex
	objects map[string][]byte
	writes  *rate.Limiter
	reads   *rate.Limiter
}

// Start starts the server and returns its address.
func (s *Store) Start() (string, error) {
	mux := http.NewServeMux()
	mux.Handle("/object/v1/", s.Handler())
	return s.Faults.Serve(s.Listen, mux)
}

// Close stops the server. The objects are kept, and Start may be called again.
func (s *Store) Close() { s.Faults.Server.Close() }

// Handler returns the HTTP handler of the store, with its faults applied.
func (s *Store) Handler() http.Handler {
	if s.Faults.Counters == nil {
		s.Faults.Counters = &fault.Counters{}
	}
	s.writes = capacity.New(cmp.Or(s.WriteRate, capacity.DefaultWrites))
	s.reads = capacity.New(cmp.Or(s.ReadRate, capacity.DefaultReads))
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /object/v1/{key...}", s.put)
	mux.HandleFunc("GET /object/v1/{key...}", s.get)
	return s.Faults.Wrap(mux)
}

// put handles a write.
func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil || s.writes.Wait(r.Context()) != nil {
		http.Error(w, "request body could not be read", http.StatusBadRequest)
		return
	}
	s.Faults.Counters.Add("puts", 1)
	s.mu.Lock()
	if s.objects == nil {
		s.objects = map[string][]byte{}
	}
	s.objects[r.PathValue("key")] = body
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// get handles a read.
func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	if s.reads.Wait(r.Context()) != nil {
		return
	}
	s.Faults.Counters.Add("gets", 1)
	s.mu.Lock()
	body, ok := s.objects[r.PathValue("key")]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(body)
}
