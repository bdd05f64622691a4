package fault

import (
	"encoding/json"
	"maps"
	"net/http"
	"sync"
)

// Counters is a set of named counters. It is safe for concurrent use, and its zero
// value is ready to use.
type Counters struct {
	mu     sync.Mutex
	values map[string]int64
}

// Add adds n to the named counter.
func (c *Counters) Add(name string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	c.values[name] += n
}

// Max sets the named counter to n if its value is lower.
func (c *Counters) Max(name string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	c.values[name] = max(c.values[name], n)
}

// Get returns the value of the named counter, zero if it was never set.
func (c *Counters) Get(name string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.values[name]
}

// All returns a copy of all counters.
func (c *Counters) All() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	return maps.Clone(c.values)
}

// ServeHTTP writes all counters as one JSON object.
func (c *Counters) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, http.StatusOK, c.All())
}

// init allocates the map on first use. The caller holds the mutex.
func (c *Counters) init() {
	if c.values == nil {
		c.values = map[string]int64{}
	}
}

// WriteJSON writes a response with the given status and v as its JSON body.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ReadJSON decodes the JSON body of a request, of at most 64 MiB, into v. On an
// error it responds with status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}
