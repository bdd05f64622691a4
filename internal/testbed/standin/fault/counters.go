package fault

import (
	"encoding/json"
	"maps"
	"net/http"
	"sync"
)

// Counters are named figures. The zero value is ready.
type Counters struct {
	mu     sync.Mutex
	values map[string]int64
}

// Add adds n to a counter.
func (c *Counters) Add(name string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	c.values[name] += n
}

// Max raises a counter to n if it is lower.
func (c *Counters) Max(name string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	c.values[name] = max(c.values[name], n)
}

// Get returns a counter, zero if it was never set.
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

// ServeHTTP answers with all counters.
func (c *Counters) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, http.StatusOK, c.All())
}

// init makes the map.
func (c *Counters) init() {
	if c.values == nil {
		c.values = map[string]int64{}
	}
}

// WriteJSON answers with a status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ReadJSON decodes the body of a request of at most 64 MB into v. If it can't
// it answers 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}
