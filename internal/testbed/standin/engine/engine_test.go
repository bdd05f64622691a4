package engine_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/backend"
	"guavapaddle/internal/testbed/standin/engine"
	"guavapaddle/internal/testbed/standin/engine/prefix"
	"guavapaddle/internal/testbed/standin/fault"
	ioengine "guavapaddle/io/engine"
)

var (
	model       = backend.Item{Name: "m", Version: "1"}
	nextVersion = backend.Item{Name: "m", Version: "2"}
	adapter     = backend.Item{Name: "a", Version: "1", Base: "m"}
)

// runSimulated runs f with an engine in simulated time.
func runSimulated(t *testing.T, e *engine.Engine, f func(t *testing.T, h http.Handler)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := e.Handler()
		defer e.Close()
		f(t, h)
	})
}

// call makes a call and returns the recorded response.
func call(h http.Handler, method, path string, in any) *httptest.ResponseRecorder {
	body, _ := json.Marshal(in)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, bytes.NewReader(body)))
	return w
}

// order sends an order and returns the status code.
func order(h http.Handler, o backend.Order) int {
	return call(h, http.MethodPost, "/engine/v1/order", o).Code
}

// generate sends a request and returns the status code and the events.
func generate(t *testing.T, h http.Handler, g backend.Generate) (int, []backend.Event) {
	t.Helper()
	w := call(h, http.MethodPost, "/engine/v1/generate", g)
	return w.Code, events(t, w.Body)
}

// events decodes the events of a stream. An error response has none.
func events(t *testing.T, r io.Reader) []backend.Event {
	t.Helper()
	var out []backend.Event
	for d := json.NewDecoder(r); ; {
		var e backend.Event
		if d.Decode(&e) != nil {
			return out
		}
		out = append(out, e)
	}
}

// state returns the state of an item, empty if the item is not present.
func state(e *engine.Engine, i backend.Item) backend.ItemState {
	for _, s := range e.State().Inventory.Items {
		if s.Item == i {
			return s.State
		}
	}
	return ""
}

// TestStaleOrderRefused checks that an engine with ChecksOrders refuses an outdated
// fencing number, also for a delayed order that it accepted before the fence was
// raised, and that an engine without it executes both orders.
func TestStaleOrderRefused(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks-%t", checks), func(t *testing.T) {
			e := &engine.Engine{MemoryBytes: 100, ChecksOrders: checks}
			runSimulated(t, e, func(t *testing.T, h http.Handler) {
				e.Faults.SetFaults(fault.Faults{OrderDelayMS: 1000})
				require.Equal(t, http.StatusAccepted, order(h, backend.Order{OrderID: "late", Fence: 3, Op: backend.Load, Item: model, Bytes: 10}))
				require.Equal(t, http.StatusOK, call(h, http.MethodPost, "/engine/v1/fence", ioengine.FenceRequest{Fence: 7}).Code)
				e.Faults.SetFaults(fault.Faults{})
				time.Sleep(2 * time.Second)
				got := order(h, backend.Order{OrderID: "old", Fence: 6, Op: backend.Load, Item: nextVersion, Bytes: 10})
				synctest.Wait()
				if checks {
					require.Equal(t, http.StatusConflict, got)
					require.Empty(t, e.State().Inventory.Items)
					require.EqualValues(t, 2, e.Faults.Counters.Get("stale-orders-refused"))
					return
				}
				require.Equal(t, http.StatusAccepted, got)
				require.Len(t, e.State().Inventory.Items, 2)
			})
		})
	}
}

// TestOrderIsIdempotent checks that an order which is sent again has no further
// effect, also if its effect was undone in between.
func TestOrderIsIdempotent(t *testing.T) {
	e := &engine.Engine{MemoryBytes: 100, ColdStart: time.Second}
	runSimulated(t, e, func(t *testing.T, h http.Handler) {
		load := backend.Order{OrderID: "1", Op: backend.Load, Item: model, Bytes: 10}
		require.Equal(t, http.StatusAccepted, order(h, load))
		require.Equal(t, http.StatusAccepted, order(h, load))
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, http.StatusOK, order(h, load))
		unload := backend.Order{OrderID: "2", Op: backend.Unload, Item: model}
		require.Equal(t, http.StatusOK, order(h, unload))
		require.Equal(t, http.StatusOK, order(h, load))
		synctest.Wait()
		require.Empty(t, e.State().Inventory.Items)
		require.EqualValues(t, 1, e.Faults.Counters.Get("loads"))
		require.True(t, e.Preload(model, 10))
		require.Equal(t, http.StatusOK, order(h, unload))
		require.Equal(t, backend.Resident, state(e, model))
	})
}

// TestLoadThatDoesNotFitIsRefused checks that memory is in use from the load order to
// the end of the unload, and that an item which does not fit is refused without
// changing anything.
func TestLoadThatDoesNotFitIsRefused(t *testing.T) {
	e := &engine.Engine{MemoryBytes: 100, ColdStart: time.Second, Step: time.Second}
	runSimulated(t, e, func(t *testing.T, h http.Handler) {
		require.Equal(t, http.StatusAccepted, order(h, backend.Order{OrderID: "1", Op: backend.Load, Item: model, Bytes: 60}))
		big := backend.Order{OrderID: "2", Op: backend.Load, Item: nextVersion, Bytes: 41}
		require.Equal(t, http.StatusInsufficientStorage, order(h, big))
		time.Sleep(2 * time.Second)
		var wg sync.WaitGroup
		wg.Go(func() { generate(t, h, backend.Generate{RequestID: "r", Item: model, Prompt: "p", MaxTokens: 4}) })
		synctest.Wait()
		require.Equal(t, http.StatusAccepted, order(h, backend.Order{OrderID: "3", Op: backend.Unload, Item: model}))
		require.Equal(t, backend.Unloading, state(e, model))
		require.Equal(t, http.StatusInsufficientStorage, order(h, big))
		code, _ := generate(t, h, backend.Generate{RequestID: "s", Item: model, Prompt: "p"})
		require.Equal(t, http.StatusNotFound, code)
		wg.Wait()
		require.Equal(t, http.StatusAccepted, order(h, big))
		require.EqualValues(t, 60, e.Faults.Counters.Get("peak-memory-bytes"))
		require.EqualValues(t, 2, e.Faults.Counters.Get("overcommit-refused"))
	})
}

// TestAdapterRequiresBase checks that an adapter can be loaded only after its model,
// and that the last version of a model can't be unloaded before its adapters.
func TestAdapterRequiresBase(t *testing.T) {
	e := &engine.Engine{MemoryBytes: 100}
	runSimulated(t, e, func(t *testing.T, h http.Handler) {
		load := backend.Order{OrderID: "1", Op: backend.Load, Item: adapter, Bytes: 10}
		require.Equal(t, http.StatusConflict, order(h, load))
		require.True(t, e.Preload(model, 10))
		require.Equal(t, http.StatusAccepted, order(h, load))
		synctest.Wait()
		require.Equal(t, http.StatusConflict, order(h, backend.Order{OrderID: "2", Op: backend.Unload, Item: model}))
		require.True(t, e.Preload(nextVersion, 10))
		require.Equal(t, http.StatusOK, order(h, backend.Order{OrderID: "3", Op: backend.Unload, Item: model}))
	})
}

// TestLostOrder checks that a lost order is accepted but not executed, and that the
// same order is executed when it is sent again.
func TestLostOrder(t *testing.T) {
	e := &engine.Engine{MemoryBytes: 100}
	runSimulated(t, e, func(t *testing.T, h http.Handler) {
		e.Faults.SetFaults(fault.Faults{LoseOrders: 1})
		load := backend.Order{OrderID: "1", Op: backend.Load, Item: model, Bytes: 10}
		require.Equal(t, http.StatusAccepted, order(h, load))
		time.Sleep(time.Hour)
		require.Empty(t, state(e, model))
		require.Equal(t, http.StatusAccepted, order(h, load))
		synctest.Wait()
		require.Equal(t, backend.Resident, state(e, model))
	})
}

// TestContinuousBatching checks that each step generates one token per request in the
// batch, and that the step duration grows with the batch size.
func TestContinuousBatching(t *testing.T) {
	e := &engine.Engine{MemoryBytes: 100, Slots: 4, Step: 10 * time.Millisecond, StepSlope: 2 * time.Millisecond}
	runSimulated(t, e, func(t *testing.T, h http.Handler) {
		require.True(t, e.Preload(model, 10))
		start := time.Now()
		var wg sync.WaitGroup
		for i := range 4 {
			wg.Go(func() {
				g := backend.Generate{RequestID: fmt.Sprint(i), Item: model, Prompt: "p", MaxTokens: 10}
				code, got := generate(t, h, g)
				require.Equal(t, http.StatusOK, code)
				require.Len(t, got, 11)
				require.Equal(t, "length", got[10].Finish)
				for j, want := range engine.ExpectedTokens(model, "p", 10) {
					require.Equal(t, backend.Event{RequestID: g.RequestID, Offset: j, Token: want, Item: model}, got[j])
				}
			})
		}
		wg.Wait()
		require.InDelta(t, 160*time.Millisecond, time.Since(start), float64(10*time.Millisecond))
	})
}

// TestPriority checks that a request of higher priority preempts a running one, that
// requests displaced from the queue are confirmed as not executed, and that the
// preempted request is completed.
func TestPriority(t *testing.T) {
	e := &engine.Engine{MemoryBytes: 100, Slots: 1, QueueBound: 1, Step: 10 * time.Millisecond}
	runSimulated(t, e, func(t *testing.T, h http.Handler) {
		require.True(t, e.Preload(model, 10))
		start := time.Now()
		var mu sync.Mutex
		results := map[string]string{}
		var wg sync.WaitGroup
		submit := func(id string, priority int) {
			wg.Go(func() {
				w := call(h, http.MethodPost, "/engine/v1/generate", backend.Generate{RequestID: id, Item: model, Prompt: id, MaxTokens: 10, Priority: priority})
				mu.Lock()
				defer mu.Unlock()
				results[id] = fmt.Sprintf("%d %s %d %v", w.Code, w.Header().Get(fault.NotRunHeader), len(events(t, w.Body)), time.Since(start))
			})
			time.Sleep(15 * time.Millisecond)
		}
		submit("running", 0)
		submit("waiting", 0)
		submit("refused", 0)
		submit("urgent", 9)
		wg.Wait()
		require.Equal(t, map[string]string{
			"running": "200  11 200ms",
			"waiting": "429 1 0 45ms",
			"refused": "429 1 0 30ms",
			"urgent":  "200  11 150ms",
		}, results)
		require.EqualValues(t, 1, e.Faults.Counters.Get("preemptions"))
	})
}

// TestPrefixCache checks that a cached prefix shortens the prefill, that the cache has
// a limited capacity, and that its events are published late and with gaps.
func TestPrefixCache(t *testing.T) {
	e := &engine.Engine{MemoryBytes: 100, Step: time.Millisecond, Prefill: time.Millisecond, CacheBlocks: 4, CacheLag: time.Hour, CacheLoss: 0.3, Seed: 5}
	runSimulated(t, e, func(t *testing.T, h http.Handler) {
		require.True(t, e.Preload(model, 10))
		prompt := strings.Repeat("x", 4*prefix.BlockBytes)
		n := 0
		requestTime := func(prompt string) time.Duration {
			n++
			start := time.Now()
			generate(t, h, backend.Generate{RequestID: fmt.Sprint(n), Item: model, Prompt: prompt, MaxTokens: 1})
			return time.Since(start)
		}
		require.Equal(t, 64*time.Millisecond, requestTime(prompt))
		require.Equal(t, time.Millisecond, requestTime(prompt))
		require.Equal(t, 16*time.Millisecond, requestTime(prompt[:192]+strings.Repeat("y", 64)))
		requestTime(strings.Repeat("z", 4*prefix.BlockBytes))
		require.Equal(t, 64*time.Millisecond, requestTime(prompt))
		read := func() ioengine.CacheEvents {
			var out ioengine.CacheEvents
			require.NoError(t, json.Unmarshal(call(h, http.MethodGet, "/engine/v1/cache-events?since=2", nil).Body.Bytes(), &out))
			return out
		}
		require.Empty(t, read().Events)
		time.Sleep(time.Hour)
		got := read()
		require.NotEmpty(t, got.Events)
		require.Less(t, len(got.Events), int(got.Last-2))
	})
}

// TestResume checks that a request continues after its stream is interrupted, and that
// it can be resumed from any offset until its retention has passed.
func TestResume(t *testing.T) {
	e := &engine.Engine{MemoryBytes: 100, Step: 10 * time.Millisecond}
	runSimulated(t, e, func(t *testing.T, h http.Handler) {
		require.True(t, e.Preload(model, 10))
		e.Faults.SetFaults(fault.Faults{CutStreams: 1, CutAfter: 3})
		w := httptest.NewRecorder()
		body, _ := json.Marshal(backend.Generate{RequestID: "r", Item: model, Prompt: "p", MaxTokens: 8})
		require.PanicsWithValue(t, http.ErrAbortHandler, func() {
			h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/engine/v1/generate", bytes.NewReader(body)))
		})
		got := events(t, w.Body)
		require.Len(t, got, 3)
		resumed := call(h, http.MethodPost, "/engine/v1/resume", backend.Resume{RequestID: "r", Offset: 3})
		got = append(got, events(t, resumed.Body)...)
		require.Len(t, got, 9)
		for i, want := range engine.ExpectedTokens(model, "p", 8) {
			require.Equal(t, want, got[i].Token)
			require.Equal(t, i, got[i].Offset)
		}
		require.EqualValues(t, 1, e.Faults.Counters.Get("runs"))
		time.Sleep(time.Minute)
		require.Equal(t, http.StatusOK, call(h, http.MethodPost, "/engine/v1/resume", backend.Resume{RequestID: "r"}).Code)
		time.Sleep(time.Second)
		require.Equal(t, http.StatusNotFound, call(h, http.MethodPost, "/engine/v1/resume", backend.Resume{RequestID: "r"}).Code)
	})
}

// TestKVCacheTransfer checks that a request can be resumed on another engine from its
// exported KV cache.
func TestKVCacheTransfer(t *testing.T) {
	from := &engine.Engine{Name: "from", MemoryBytes: 100}
	to := &engine.Engine{Name: "to", MemoryBytes: 100}
	runSimulated(t, from, func(t *testing.T, h http.Handler) {
		other := to.Handler()
		defer to.Close()
		require.True(t, from.Preload(model, 10))
		require.True(t, to.Preload(model, 10))
		generate(t, h, backend.Generate{RequestID: "r", Item: model, Prompt: "p", MaxTokens: 5})
		kv := call(h, http.MethodGet, "/engine/v1/kv/r", nil)
		w := httptest.NewRecorder()
		other.ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/engine/v1/kv/r", kv.Body))
		require.Equal(t, http.StatusNoContent, w.Code)
		got := events(t, call(other, http.MethodPost, "/engine/v1/resume", backend.Resume{RequestID: "r", Offset: 2}).Body)
		require.Len(t, got, 4)
		require.Equal(t, engine.Token(model, "p", 2), got[0].Token)
	})
}

// TestCancel checks that a cancelled request finishes and frees its slot.
func TestCancel(t *testing.T) {
	e := &engine.Engine{MemoryBytes: 100, Slots: 1, Step: 10 * time.Millisecond}
	runSimulated(t, e, func(t *testing.T, h http.Handler) {
		require.True(t, e.Preload(model, 10))
		var wg sync.WaitGroup
		wg.Go(func() {
			_, got := generate(t, h, backend.Generate{RequestID: "r", Item: model, Prompt: "p", MaxTokens: 1000})
			require.Equal(t, "cancelled", got[len(got)-1].Finish)
		})
		time.Sleep(55 * time.Millisecond)
		require.Equal(t, http.StatusNoContent, call(h, http.MethodPost, "/engine/v1/cancel", ioengine.CancelRequest{RequestID: "r"}).Code)
		wg.Wait()
		code, _ := generate(t, h, backend.Generate{RequestID: "s", Item: model, Prompt: "p", MaxTokens: 1})
		require.Equal(t, http.StatusOK, code)
	})
}

// TestCrash checks that a request which crashes the engine makes it unavailable until
// it has restarted, and that the engine then has a new boot ID and no items.
func TestCrash(t *testing.T) {
	e := &engine.Engine{MemoryBytes: 100, Slots: 2, Step: 10 * time.Millisecond, RestartAfter: time.Second}
	runSimulated(t, e, func(t *testing.T, h http.Handler) {
		require.True(t, e.Preload(model, 10))
		boot := e.State().Inventory.BootID
		e.Faults.SetFaults(fault.Faults{CrashOn: "poison"})
		for _, prompt := range []string{"innocent", "poison"} {
			go func() {
				defer func() { _ = recover() }()
				generate(t, h, backend.Generate{RequestID: prompt, Item: model, Prompt: prompt})
			}()
		}
		synctest.Wait()
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		require.PanicsWithValue(t, http.ErrAbortHandler, func() { call(h, http.MethodGet, "/engine/v1/state", nil) })
		time.Sleep(time.Second)
		require.Equal(t, http.StatusOK, call(h, http.MethodGet, "/engine/v1/state", nil).Code)
		require.NotEqual(t, boot, e.State().Inventory.BootID)
		require.Empty(t, e.State().Inventory.Items)
	})
}

// TestLoadReportLag checks that the load report has the age set by ReportLag.
func TestLoadReportLag(t *testing.T) {
	e := &engine.Engine{MemoryBytes: 100, Step: 10 * time.Millisecond, ReportLag: 500 * time.Millisecond}
	runSimulated(t, e, func(t *testing.T, h http.Handler) {
		require.True(t, e.Preload(model, 10))
		var wg sync.WaitGroup
		wg.Go(func() {
			generate(t, h, backend.Generate{RequestID: "r", Item: model, Prompt: "p", MaxTokens: 60})
		})
		time.Sleep(495 * time.Millisecond)
		require.Equal(t, 0, e.State().Load.Running)
		time.Sleep(10 * time.Millisecond)
		require.Equal(t, 1, e.State().Load.Running)
		wg.Wait()
		require.Equal(t, 1, e.State().Load.Running)
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, 0, e.State().Load.Running)
	})
}

// TestLeaving checks that a leaving engine refuses new requests and orders and
// completes the requests that it has.
func TestLeaving(t *testing.T) {
	e := &engine.Engine{MemoryBytes: 100, Step: 10 * time.Millisecond}
	runSimulated(t, e, func(t *testing.T, h http.Handler) {
		require.True(t, e.Preload(model, 10))
		var wg sync.WaitGroup
		wg.Go(func() {
			code, got := generate(t, h, backend.Generate{RequestID: "r", Item: model, Prompt: "p", MaxTokens: 20})
			require.Equal(t, http.StatusOK, code)
			require.Len(t, got, 21)
		})
		synctest.Wait()
		e.Faults.SetFaults(fault.Faults{Leaving: true})
		w := call(h, http.MethodPost, "/engine/v1/generate", backend.Generate{RequestID: "s", Item: model, Prompt: "p"})
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
		require.Equal(t, "1", w.Header().Get(fault.NotRunHeader))
		require.Equal(t, http.StatusServiceUnavailable, order(h, backend.Order{OrderID: "1", Op: backend.Load, Item: nextVersion}))
		wg.Wait()
	})
}
