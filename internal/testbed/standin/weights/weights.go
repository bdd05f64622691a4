// Package weights is a stand-in for the platform's weight store. It limits the rate
// at which loads start, and when more than FullSpeed loads run concurrently, all of
// them slow down in proportion.
//
// # Usage
//
//	s := &weights.Store{LoadTime: 100 * time.Millisecond}
//	address, err := s.Start()
//	defer s.Close()
package weights

import (
	"cmp"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"guavapaddle/internal/testbed/standin/fault"
)

const (
	// DefaultRate is the maximum number of loads that start per second.
	DefaultRate = 2
	// DefaultFullSpeed is the number of concurrent loads that run at full speed.
	DefaultFullSpeed = 7
	// LoadPath is the path of the load call.
	LoadPath = "/weights/v1/load"
)

type (
	// Store is a stand-in for the weight store. The exported fields must be set
	// before Start or Handler.
	Store struct {
		Listen         string        // IP:port; a free port of 127.0.0.1 if empty
		Rate           float64       // maximum load starts per second, DefaultRate if zero
		FullSpeed      int           // concurrent loads at full speed, DefaultFullSpeed if zero
		LoadTime       time.Duration // fixed part of a load's duration at full speed
		BytesPerSecond float64       // transfer rate of a load at full speed; the size has no effect if zero
		Faults         fault.Set

		mu        sync.Mutex
		bandwidth bandwidth
		starts    *rate.Limiter
		changed   chan struct{}
		stop      chan struct{}
	}

	// LoadRequest is the body of a load call.
	LoadRequest struct {
		Item  string `json:"item"`
		Bytes int64  `json:"bytes"`
	}
)

// Start starts the server and returns its address.
func (s *Store) Start() (string, error) {
	mux := http.NewServeMux()
	mux.Handle("/weights/v1/", s.Handler())
	return s.Faults.Serve(s.Listen, mux)
}

// Close stops the server and the goroutine that completes loads.
func (s *Store) Close() {
	s.Faults.Server.Close()
	s.Stop()
}

// Stop stops the goroutine started by Handler.
func (s *Store) Stop() { close(s.stop) }

// Handler returns the HTTP handler of the store, with its faults applied. It starts
// the goroutine that completes loads, which Stop stops.
func (s *Store) Handler() http.Handler {
	if s.Faults.Counters == nil {
		s.Faults.Counters = &fault.Counters{}
	}
	s.starts = rate.NewLimiter(rate.Limit(cmp.Or(s.Rate, DefaultRate)), 1)
	s.bandwidth = bandwidth{fullSpeed: cmp.Or(s.FullSpeed, DefaultFullSpeed), loads: map[*load]struct{}{}, updatedAt: time.Now()}
	s.changed = make(chan struct{}, 1)
	s.stop = make(chan struct{})
	go s.run()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+LoadPath, s.load)
	return s.Faults.Wrap(mux)
}

// load handles a load call. It responds when the load is complete.
func (s *Store) load(w http.ResponseWriter, r *http.Request) {
	var in LoadRequest
	if !fault.ReadJSON(w, r, &in) || s.starts.Wait(r.Context()) != nil {
		return
	}
	work := s.LoadTime
	if s.BytesPerSecond > 0 {
		work += time.Duration(float64(in.Bytes) / s.BytesPerSecond * float64(time.Second))
	}
	s.mu.Lock()
	l := s.bandwidth.add(time.Now(), work)
	s.Faults.Counters.Add("loads", 1)
	s.Faults.Counters.Max("peak-loads", int64(len(s.bandwidth.loads)))
	s.mu.Unlock()
	s.wake()
	select {
	case <-l.done:
		fault.WriteJSON(w, http.StatusOK, struct{}{})
	case <-r.Context().Done():
		s.mu.Lock()
		s.bandwidth.remove(time.Now(), l)
		s.mu.Unlock()
		s.wake()
	}
}

// wake makes run recompute when the next load completes.
func (s *Store) wake() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// run completes loads at their end times.
func (s *Store) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.bandwidth.advance(time.Now())
		next, ok := s.bandwidth.next()
		s.mu.Unlock()
		timer.Stop()
		if ok {
			timer.Reset(max(time.Until(next), 0))
		}
		select {
		case <-timer.C:
		case <-s.changed:
		case <-s.stop:
			return
		}
	}
}
