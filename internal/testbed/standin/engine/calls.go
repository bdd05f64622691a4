package engine

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"guavapaddle/core/backend"
	"guavapaddle/internal/testbed/standin/fault"
	ioengine "guavapaddle/io/engine"
)

const (
	errorDuplicate = "duplicate"
	maxKV          = 64 << 20
)

// kv is the exported form of the KV cache of a request.
type kv struct {
	Generate backend.Generate `json:"generate"`
	Made     int              `json:"made"`
}

// routes returns the handler of all calls of the engine.
func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /engine/v1/state", func(w http.ResponseWriter, _ *http.Request) {
		fault.WriteJSON(w, http.StatusOK, e.State())
	})
	mux.HandleFunc("POST /engine/v1/fence", e.serveFence)
	mux.HandleFunc("POST /engine/v1/order", e.serveOrder)
	mux.HandleFunc("POST /engine/v1/generate", e.serveGenerate)
	mux.HandleFunc("POST /engine/v1/resume", e.serveResume)
	mux.HandleFunc("POST /engine/v1/cancel", e.serveCancel)
	mux.HandleFunc("GET /engine/v1/cache-events", e.serveCacheEvents)
	mux.HandleFunc("GET /engine/v1/kv/{id}", e.serveExport)
	mux.HandleFunc("PUT /engine/v1/kv/{id}", e.serveImport)
	return mux
}

// serveGenerate submits a request and streams its output.
func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var g backend.Generate
	if !fault.ReadJSON(w, r, &g) {
		return
	}
	if g.RequestID == "" || g.MaxTokens < 0 {
		refuseNotRun(w, http.StatusBadRequest, "request-id must be set and max-tokens must not be negative")
		return
	}
	g.MaxTokens = cmp.Or(g.MaxTokens, DefaultMaxTokens)
	e.mu.Lock()
	b := e.boot
	e.dropExpired(b, time.Now())
	if _, known := b.requests[g.RequestID]; known {
		e.mu.Unlock()
		fault.WriteJSON(w, http.StatusConflict, ioengine.Refusal{Error: errorDuplicate})
		return
	}
	b.arrivals++
	q := newRequest(g, b.arrivals)
	status := e.submit(b, q)
	e.mu.Unlock()
	if status != http.StatusOK {
		refuseNotRun(w, status, "not run")
		return
	}
	e.stream(w, r, b, q, 0)
}

// submit adds a request to the queue and returns the status code of the response. The
// caller holds the mutex.
func (e *Engine) submit(b *boot, q *request) int {
	switch {
	case e.Faults.Faults().Leaving:
		e.Faults.Counters.Add("refused-leaving", 1)
		return http.StatusServiceUnavailable
	case !b.memory.Resident(q.gen.Item):
		e.Faults.Counters.Add("refused-not-resident", 1)
		return http.StatusNotFound
	}
	removed, ok := b.batch.submit(q)
	if !ok {
		e.Faults.Counters.Add("refused-full", 1)
		return http.StatusTooManyRequests
	}
	b.requests[q.gen.RequestID] = q
	b.memory.Items[q.gen.Item].Users++
	if removed != nil {
		e.Faults.Counters.Add("refused-pushed-out", 1)
		e.removeUnstarted(b, removed)
		removed.displaced = true
		removed.notify()
	}
	b.notifyRun()
	return http.StatusOK
}

// removeUnstarted removes a request that was displaced from the queue.
func (e *Engine) removeUnstarted(b *boot, q *request) {
	delete(b.requests, q.gen.RequestID)
	b.memory.Items[q.gen.Item].Users--
	e.releaseUnused(b, q.gen.Item)
}

// serveResume streams the output of a request from an offset on.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	var in backend.Resume
	if !fault.ReadJSON(w, r, &in) {
		return
	}
	e.mu.Lock()
	b := e.boot
	e.dropExpired(b, time.Now())
	q, ok := b.requests[in.RequestID]
	status := http.StatusOK
	switch {
	case !ok:
		status = http.StatusNotFound
	case in.Offset < 0 || in.Offset > q.gen.MaxTokens:
		status = http.StatusBadRequest
	case q.imported:
		if status = e.submit(b, q); status == http.StatusOK {
			q.imported = false
		}
	}
	e.mu.Unlock()
	if status != http.StatusOK {
		http.Error(w, "request cannot be resumed", status)
		return
	}
	e.Faults.Counters.Add("resumed", 1)
	e.stream(w, r, b, q, in.Offset)
}

// stream writes the events of a request from offset on as they are generated. It
// sends the header when the request has started. The request continues if the client
// disconnects.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, b *boot, q *request, offset int) {
	after, cut := -1, false
	control := http.NewResponseController(w)
	lines := json.NewEncoder(w)
	for headerWritten := false; ; {
		e.mu.Lock()
		generated, started, displaced, finish, changed := q.generated, q.started, q.displaced, q.finish, q.changed
		e.mu.Unlock()
		if displaced {
			refuseNotRun(w, http.StatusTooManyRequests, "not run")
			return
		}
		if !headerWritten && (started || finish != "") {
			headerWritten = true
			w.Header().Set("Content-Type", "application/x-ndjson")
			w.WriteHeader(http.StatusOK)
			after, cut = e.Faults.NextStreamCut()
			if control.Flush() != nil {
				return
			}
		}
		for ; offset < generated; offset++ {
			if cut && after == 0 {
				e.cut(control)
			}
			after--
			if lines.Encode(backend.Event{RequestID: q.gen.RequestID, Offset: offset,
				Token: Token(q.gen.Item, q.gen.Prompt, offset), Item: q.gen.Item}) != nil {
				return
			}
		}
		if finish != "" {
			if cut {
				e.cut(control)
			}
			_ = lines.Encode(backend.Event{RequestID: q.gen.RequestID, Offset: offset, Finish: finish, Item: q.gen.Item})
			return
		}
		if headerWritten && control.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-b.ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// cut flushes the response and aborts the connection.
func (e *Engine) cut(control *http.ResponseController) {
	e.Faults.Counters.Add("streams-cut", 1)
	_ = control.Flush()
	panic(http.ErrAbortHandler)
}

// serveCancel cancels a request.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var in ioengine.CancelRequest
	if !fault.ReadJSON(w, r, &in) {
		return
	}
	e.mu.Lock()
	b := e.boot
	if q, ok := b.requests[in.RequestID]; ok && q.finish == "" {
		e.Faults.Counters.Add("cancelled", 1)
		b.batch.remove(q)
		q.finish = finishCancelled
		if q.imported {
			delete(b.requests, in.RequestID)
		} else {
			e.finishRequest(b, q, time.Now())
		}
		q.notify()
	}
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// serveCacheEvents responds with the published cache events.
func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	e.mu.Lock()
	out := e.boot.cache.EventsSince(since, time.Now().Add(-e.CacheLag))
	e.mu.Unlock()
	fault.WriteJSON(w, http.StatusOK, out)
}

// serveExport responds with the KV cache of a request.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	q, ok := e.boot.requests[r.PathValue("id")]
	var out kv
	if ok {
		out = kv{Generate: q.gen, Made: q.generated}
	}
	e.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	fault.WriteJSON(w, http.StatusOK, out)
}

// serveImport stores the KV cache of a request, which continues when it is resumed.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var in kv
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxKV))
	if err != nil || json.Unmarshal(body, &in) != nil || in.Generate.RequestID != r.PathValue("id") || in.Generate.MaxTokens < 1 {
		http.Error(w, "body is not the KV cache of this request", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	b := e.boot
	if _, known := b.requests[in.Generate.RequestID]; !known {
		b.arrivals++
		q := newRequest(in.Generate, b.arrivals)
		q.generated, q.imported = min(in.Made, in.Generate.MaxTokens-1), true
		b.requests[in.Generate.RequestID] = q
	}
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// refuseNotRun responds with an error that confirms that the request was not executed.
func refuseNotRun(w http.ResponseWriter, status int, text string) {
	w.Header().Set(fault.NotRunHeader, "1")
	http.Error(w, text, status)
}
