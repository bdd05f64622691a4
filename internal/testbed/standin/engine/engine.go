package engine

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"guavapaddle/core/backend"
	"guavapaddle/internal/testbed/standin/engine/memory"
	"guavapaddle/internal/testbed/standin/engine/prefix"
	"guavapaddle/internal/testbed/standin/fault"
)

const (
	// DefaultStep is the duration of a step with a batch of one request.
	DefaultStep = 7 * time.Millisecond
	// DefaultSlots is the maximum batch size.
	DefaultSlots = 8
	// DefaultQueueBound is the maximum number of waiting requests.
	DefaultQueueBound = 64
	// DefaultMaxTokens is the output length of a request that sets none.
	DefaultMaxTokens = 16
	// DefaultRetention is how long a request can be resumed after it finished.
	DefaultRetention = 60 * time.Second
)

type (
	// Engine is a stand-in for a model engine. The exported fields must be set
	// before Start or Handler.
	Engine struct {
		Name        string
		Listen      string // IP:port; a free port of 127.0.0.1 if empty
		MemoryBytes int64  // accelerator memory; the bytes of an order include KV reserve and load peak
		Slots       int    // maximum batch size, DefaultSlots if zero
		QueueBound  int    // maximum waiting requests, DefaultQueueBound if zero, none if negative

		Step         time.Duration // step duration of a batch of one, DefaultStep if zero
		StepSlope    time.Duration // additional step duration for each further request in the batch
		Prefill      time.Duration // prefill duration per prompt token that is not cached
		CacheBlocks  int           // capacity of the prefix cache, no cache if zero
		CacheLag     time.Duration // delay until cache events are published
		CacheLoss    float64       // fraction of the cache events that is never published
		ReportLag    time.Duration // age of the load report
		Retention    time.Duration // how long a finished request can be resumed, DefaultRetention if zero
		Seed         uint64        // seed that selects the lost cache events
		ChecksOrders bool          // refuse orders with outdated fencing numbers

		LoadBase      time.Duration // fixed duration of each load
		ColdStart     time.Duration // additional duration of each load if there is no weight store
		WeightAddress string        // IP:port of the weight store; no weight store if empty
		RestartAfter  time.Duration // how long a crashed engine is unavailable
		OnCrash       func()        // if set, called on a crash instead of restarting
		Faults        fault.Set

		mu          sync.Mutex
		boot        *boot
		boots       int
		unavailable time.Time // end of the restart after a crash
		server      *fault.Server
	}

	// boot is the state of one run of the engine process, from a start to the next
	// crash or to Close. It is guarded by the engine's mutex.
	boot struct {
		id           string
		ctx          context.Context
		cancel       context.CancelFunc
		fence        uint64
		memory       *memory.Memory
		batch        batch
		cache        *prefix.Cache
		orders       map[string]bool // by order ID; true if completed
		requests     map[string]*request
		finished     []*request // in the order in which they finished
		arrivals     uint64
		prefillUntil time.Time    // when the prefills scheduled so far are complete
		loadHistory  []loadSample // recent load reports, oldest first
		wake         chan struct{}
	}
)

// Start starts the engine and its server and returns the address. It may be called
// again after Close: the engine then has a new boot ID and no loaded items.
func (e *Engine) Start() (string, error) {
	mux := http.NewServeMux()
	mux.Handle("/engine/v1/", e.Handler())
	address, err := e.Faults.Serve(e.Listen, mux)
	e.server = e.Faults.Server
	return address, err
}

// Handler starts the engine without a server and returns its HTTP handler, with its
// faults applied. Close stops the engine.
func (e *Engine) Handler() http.Handler {
	if e.Faults.Counters == nil {
		e.Faults.Counters = &fault.Counters{}
	}
	for _, name := range []string{"peak-memory-bytes", "runs", "orders", "stale-orders-refused", "overcommit-refused", "memory-violations", "crashes"} {
		e.Faults.Counters.Add(name, 0)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restart()
	return e.unavailableAfterCrash(e.Faults.Wrap(e.routes()))
}

// Close stops the server and the engine immediately. Open streams are interrupted.
func (e *Engine) Close() {
	if e.server != nil {
		e.server.Close()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot.cancel()
}

// Crash discards all state of the engine and closes all connections. The engine is
// available again after RestartAfter, with a new boot ID. If OnCrash is set, Crash
// only calls that.
func (e *Engine) Crash() {
	e.mu.Lock()
	e.crash()
	e.mu.Unlock()
}

// Preload makes an item resident immediately, for tests. It returns false if the
// item is already present or does not fit.
func (e *Engine) Preload(i backend.Item, bytes int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.boot.memory
	if _, ok := m.Items[i]; ok || !m.Reserve(i, bytes) {
		return false
	}
	m.Items[i].State, m.Items[i].Pending = backend.Resident, false
	e.updateMemoryCounters()
	return true
}

// State returns the inventory and the load report, like the state call.
func (e *Engine) State() backend.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return backend.State{Inventory: e.inventory(), Load: e.boot.loadAt(time.Now().Add(-e.ReportLag)), Leaving: e.Faults.Faults().Leaving}
}

// inventory returns the current items, memory and fencing number of the engine. The
// caller holds the mutex.
func (e *Engine) inventory() backend.Inventory {
	return backend.Inventory{Server: e.Name, BootID: e.boot.id, Fence: e.boot.fence,
		MemoryBytes: e.MemoryBytes, Items: e.boot.memory.Status()}
}

// updateMemoryCounters records the peak memory use. It counts a violation if more
// memory is in use than the engine has, which would be a bug in the stand-in.
func (e *Engine) updateMemoryCounters() {
	m := e.boot.memory
	e.Faults.Counters.Max("peak-memory-bytes", m.Peak)
	if m.Used > m.Total {
		e.Faults.Counters.Add("memory-violations", 1)
	}
}

// crash ends the current boot and starts the next one, unless OnCrash is set. The
// caller holds the mutex.
func (e *Engine) crash() {
	e.Faults.Counters.Add("crashes", 1)
	if e.OnCrash != nil {
		e.OnCrash()
		return
	}
	e.boot.cancel()
	e.unavailable = time.Now().Add(e.RestartAfter)
	if e.server != nil {
		e.server.Break(nil)
	}
	e.restart()
}

// restart starts a new boot. The caller holds the mutex.
func (e *Engine) restart() {
	e.boots++
	ctx, cancel := context.WithCancel(context.Background())
	e.boot = &boot{
		id:  fmt.Sprintf("%s-%d-%d", e.Name, time.Now().UnixNano(), e.boots),
		ctx: ctx, cancel: cancel,
		memory:   memory.New(e.MemoryBytes),
		batch:    batch{slots: cmp.Or(e.Slots, DefaultSlots), bound: max(cmp.Or(e.QueueBound, DefaultQueueBound), 0)},
		cache:    prefix.New(e.CacheBlocks, e.CacheLoss, e.Seed),
		orders:   map[string]bool{},
		requests: map[string]*request{},
		wake:     make(chan struct{}, 1),
	}
	go e.run(e.boot)
}

// unavailableAfterCrash returns a handler that aborts every call until the engine has
// restarted after a crash.
func (e *Engine) unavailableAfterCrash(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		unavailable := time.Now().Before(e.unavailable)
		e.mu.Unlock()
		if unavailable {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}
