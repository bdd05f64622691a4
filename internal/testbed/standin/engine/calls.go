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

// kv is the KV cache of a request as it is exported.
type kv struct {
	Generate backend.Generate `json:"generate"`
	Made     int              `json:"made"`
}

// calls returns the handler of the engine's calls.
func (e *Engine) calls() http.Handler {
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

// serveGenerate takes a request and streams its answer.
func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var g backend.Generate
	if !fault.ReadJSON(w, r, &g) {
		return
	}
	if g.RequestID == "" || g.MaxTokens < 0 {
		refuse(w, http.StatusBadRequest, "request-id and max-tokens")
		return
	}
	g.MaxTokens = cmp.Or(g.MaxTokens, DefaultMaxTokens)
	e.mu.Lock()
	b := e.boot
	e.expire(b, time.Now())
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
		refuse(w, status, "not run")
		return
	}
	e.stream(w, r, b, q, 0)
}

// submit queues a request and returns the status of the answer.
func (e *Engine) submit(b *boot, q *request) int {
	switch {
	case e.Faults.Faults().Leaving:
		e.Faults.Counters.Add("refused-leaving", 1)
		return http.StatusServiceUnavailable
	case !b.memory.Resident(q.gen.Item):
		e.Faults.Counters.Add("refused-not-resident", 1)
		return http.StatusNotFound
	}
	pushed, ok := b.batch.submit(q)
	if !ok {
		e.Faults.Counters.Add("refused-full", 1)
		return http.StatusTooManyRequests
	}
	b.requests[q.gen.RequestID] = q
	b.memory.Items[q.gen.Item].Users++
	if pushed != nil {
		e.Faults.Counters.Add("refused-pushed-out", 1)
		e.forget(b, pushed)
		pushed.refused = true
		pushed.notify()
	}
	b.poke()
	return http.StatusOK
}

// forget drops a request that never started.
func (e *Engine) forget(b *boot, q *request) {
	delete(b.requests, q.gen.RequestID)
	b.memory.Items[q.gen.Item].Users--
	e.release(b, q.gen.Item)
}

// serveResume streams the rest of an answer.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	var in backend.Resume
	if !fault.ReadJSON(w, r, &in) {
		return
	}
	e.mu.Lock()
	b := e.boot
	e.expire(b, time.Now())
	q, ok := b.requests[in.RequestID]
	status := http.StatusOK
	switch {
	case !ok:
		status = http.StatusNotFound
	case in.Offset < 0 || in.Offset > q.gen.MaxTokens:
		status = http.StatusBadRequest
	case q.parked:
		if status = e.submit(b, q); status == http.StatusOK {
			q.parked = false
		}
	}
	e.mu.Unlock()
	if status != http.StatusOK {
		http.Error(w, "not resumed", status)
		return
	}
	e.Faults.Counters.Add("resumed", 1)
	e.stream(w, r, b, q, in.Offset)
}

// stream writes the events of a request from offset on as they come. The
// header goes out when the request has started. The request goes on when the
// caller has gone.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, b *boot, q *request, offset int) {
	after, cut := -1, false
	control := http.NewResponseController(w)
	lines := json.NewEncoder(w)
	for begun := false; ; {
		e.mu.Lock()
		made, started, refused, finish, changed := q.made, q.started, q.refused, q.finish, q.changed
		e.mu.Unlock()
		if refused {
			refuse(w, http.StatusTooManyRequests, "not run")
			return
		}
		if !begun && (started || finish != "") {
			begun = true
			w.Header().Set("Content-Type", "application/x-ndjson")
			w.WriteHeader(http.StatusOK)
			after, cut = e.Faults.TakeCut()
			if control.Flush() != nil {
				return
			}
		}
		for ; offset < made; offset++ {
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
		if begun && control.Flush() != nil {
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

// cut sends what was written and breaks the connection.
func (e *Engine) cut(control *http.ResponseController) {
	e.Faults.Counters.Add("streams-cut", 1)
	_ = control.Flush()
	panic(http.ErrAbortHandler)
}

// serveCancel ends a request.
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
		if q.parked {
			delete(b.requests, in.RequestID)
		} else {
			e.finished(b, q, time.Now())
		}
		q.notify()
	}
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// serveCacheEvents answers with the cache events that are published.
func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	e.mu.Lock()
	out := e.boot.cache.Since(since, time.Now().Add(-e.CacheLag))
	e.mu.Unlock()
	fault.WriteJSON(w, http.StatusOK, out)
}

// serveExport answers with the KV cache of a request.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	q, ok := e.boot.requests[r.PathValue("id")]
	var out kv
	if ok {
		out = kv{Generate: q.gen, Made: q.made}
	}
	e.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	fault.WriteJSON(w, http.StatusOK, out)
}

// serveImport takes the KV cache of a request, which waits to be resumed.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var in kv
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxKV))
	if err != nil || json.Unmarshal(body, &in) != nil || in.Generate.RequestID != r.PathValue("id") || in.Generate.MaxTokens < 1 {
		http.Error(w, "no KV cache of this request", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	b := e.boot
	if _, known := b.requests[in.Generate.RequestID]; !known {
		b.arrivals++
		q := newRequest(in.Generate, b.arrivals)
		q.made, q.parked = min(in.Made, in.Generate.MaxTokens-1), true
		b.requests[in.Generate.RequestID] = q
	}
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// refuse answers with a status that affirms that the request did not run.
func refuse(w http.ResponseWriter, status int, text string) {
	w.Header().Set(fault.NotRunHeader, "1")
	http.Error(w, text, status)
}
