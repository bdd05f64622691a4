package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	weightsMB    = 230000
	modelMB      = 72700
	loadTime     = 4 * time.Second
	diskTime     = 800 * time.Millisecond
	adapterSlots = 8
	events       = 10 // of a stream
)

type (
	// order is a call of POST /order.
	order struct {
		Operation string `json:"operation"`
		Model     string `json:"model"`
		Adapter   string `json:"adapter"`
		Expected  *int64 `json:"expected"`
		Holder    string `json:"holder"`
		Fence     int64  `json:"fencing-token"`
	}

	// engine is a model worker.
	engine struct {
		id, zone, address string
		changed           chan struct{} // its entry has changed

		mu      sync.Mutex
		server  *http.Server // nil while it is down
		process int          // how often it has started
		born    int64
		seq     int64 // accepted orders of this process
		fence   int64
		models  []string
		disk    []string // outlasts a restart
		loading string
		beats   int64
		onOrder func(o order) (late bool) // decides whether an order is left unanswered
	}
)

// overloads counts the orders that made a worker load more than its memory holds.
var overloads atomic.Int64

// start starts a process of the worker under its id.
func (e *engine) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.address == "" {
		e.address = freeAddress()
	}
	l, err := net.Listen("tcp4", e.address)
	if err != nil {
		fatal(err)
	}
	e.process++
	e.born = time.Now().UnixMilli()
	e.server = &http.Server{Handler: e.handler(), ReadHeaderTimeout: time.Minute}
	go func(s *http.Server) { _ = s.Serve(l) }(e.server)
	note("worker %s starts (process %d): seq %d, holds %v, on disk %v", e.id, e.process, e.seq, e.models, e.disk)
	e.notify()
}

// crash ends the worker's process. What it held is gone; its disk stays.
func (e *engine) crash() {
	e.mu.Lock()
	s := e.server
	e.server, e.models, e.loading, e.seq, e.fence = nil, nil, "", 0, 0
	e.mu.Unlock()
	if s != nil {
		_ = s.Close()
	}
	note("worker %s crashes", e.id)
}

// notify has the worker's entry written; e.mu is held.
func (e *engine) notify() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// resident returns the models as entries and reports list them; e.mu is held.
func (e *engine) resident() []any {
	list := []any{}
	for _, m := range e.models {
		list = append(list, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return list
}

// entry returns the worker's entry in the store, and false while it is down.
func (e *engine) entry() ([]byte, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil {
		return nil, false
	}
	e.beats++
	return encode(map[string]any{"service": "drafter", "address": e.address, "zone": e.zone, "version": "v1", "slots": 64, "state": "ready",
		"cold-left-ms": 0, "seq": e.beats, "born": e.born, "stage": "both", "models": e.resident(),
		"at-hand": map[string]any{"in-memory": []string{}, "on-disk": e.disk}}), true
}

// apply carries an order out in the process that runs now, and returns the status of the answer.
func (e *engine) apply(o order) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.server == nil:
		return 0
	case o.Fence < e.fence:
		return http.StatusPreconditionFailed
	}
	e.fence = o.Fence
	holds := slices.Contains(e.models, o.Model)
	load := o.Operation == "model_load"
	switch {
	case load == holds || load && e.loading == o.Model:
		return http.StatusOK
	case e.loading != "" || o.Expected != nil && *o.Expected != e.seq:
		return http.StatusConflict
	case !load:
		e.models = slices.DeleteFunc(e.models, func(m string) bool { return m == o.Model })
		e.seq++
		e.notify()
		return http.StatusAccepted
	}
	e.seq++
	if need := (len(e.models) + 1) * modelMB; need > weightsMB {
		overloads.Add(1)
		note("LIMIT: worker %s, which holds %v, is ordered to load %s too: %d MB of %d", e.id, e.models, o.Model, need, weightsMB)
		go e.crash()
		return http.StatusAccepted
	}
	e.loading = o.Model
	takes, process := loadTime, e.process
	if slices.Contains(e.disk, o.Model) {
		takes = diskTime
	}
	time.AfterFunc(takes, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.process != process || e.loading != o.Model {
			return
		}
		e.loading = ""
		e.models = append(e.models, o.Model)
		if !slices.Contains(e.disk, o.Model) {
			e.disk = append(e.disk, o.Model)
		}
		e.notify()
		note("worker %s holds %v (seq %d)", e.id, e.models, e.seq)
	})
	return http.StatusAccepted
}

// handler returns the handler of the worker's calls.
func (e *engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		body := encode(map[string]any{"stage": "both", "models": e.resident(), "busy": e.loading != "", "seq": e.seq, "born": e.born, "queued": 0,
			"running": 0, "kv-used": 0, "kv-total": 140514, "handles": 0, "coming": []string{},
			"at-hand": map[string]any{"in-memory": []string{}, "on-disk": e.disk}})
		e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(body)
	})
	mux.HandleFunc("POST /order", func(w http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		text := fmt.Sprintf("%s %s at %s, expected %d, holder %s, token %d", o.Operation, o.Model, e.id, *o.Expected, o.Holder, o.Fence)
		if r.Header.Get("X-Guavapaddle-Expect-Instance") != e.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if e.onOrder != nil && e.onOrder(o) {
			note("order %s: no answer", text)
			<-r.Context().Done()
			return
		}
		status := e.apply(o)
		note("order %s: %d", text, status)
		w.WriteHeader(status)
	})
	mux.HandleFunc("/", e.generate)
	return mux
}

// generate serves a request for a model: ten events in a fifth of a second.
func (e *engine) generate(w http.ResponseWriter, r *http.Request) {
	id, model := r.Header.Get("X-Guavapaddle-Request-Id"), strings.Split(r.Header.Get("X-Guavapaddle-Model"), "/")[0]
	h := w.Header()
	h.Set("X-Guavapaddle-Request-Id", id)
	e.mu.Lock()
	holds := slices.Contains(e.models, model)
	e.mu.Unlock()
	if r.Header.Get("X-Guavapaddle-Expect-Instance") != e.id || !holds {
		h.Set("X-Guavapaddle-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.Set("X-Guavapaddle-Server-Stamp", e.id+"."+id)
	h.Set("X-Guavapaddle-Server-Load", "1,0,64")
	h.Set("Content-Type", "text/event-stream")
	for i := 1; i <= events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, id, i); err != nil {
			return
		}
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		time.Sleep(20 * time.Millisecond)
	}
}
