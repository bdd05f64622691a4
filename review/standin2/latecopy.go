package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const host = "desk.example"

// engineConfig returns a configuration with one service of model engines and a route of streams that must not be repeated.
func engineConfig(resumable bool, adapterSlots int) []byte {
	b, _ := json.Marshal(map[string]any{
		"version": 7,
		"routes": []map[string]any{{"name": "brief", "host": host, "prefix": "/brief/", "kind": "streaming", "timeout-ms": 8000, "target-latency-ms": 500,
			"priority": 0, "service": "drafter", "max-attempts": 1, "session-affinity": true, "resumable": resumable, "gap-aim-ms": 300}},
		"services": []map[string]any{{"name": "drafter", "health-path": "/healthz", "max-conns": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv-capacity": 140514, "weights-mb": 230000.0, "adapter-slots": adapterSlots, "loads-per-s": 1.9,
				"models": []map[string]any{{"name": "m0", "weights-mb": 65100.0, "load-time-s": 3.8, "adapters": 37, "adapter-size-mb": 12.0, "warm-s": 0.6, "disk-s": 0.78}}}}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	return b
}

// startNodes starts nodes and waits until all are ready.
func (w *world) startNodes(count int) error {
	for i := range count {
		if _, err := w.addNode(fmt.Sprintf("front-%d", i+1), "seq-a", nil); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if err := w.start(n); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if err := w.awaitReady(n, 20*time.Second); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second) // a leader is elected and has read the engines' reports
	return nil
}

// brief asks for a stream of a model, with an adapter unless it is empty.
func (w *world) brief(n *node, adapter string) (string, reply) {
	id := newID()
	model := "m0"
	if adapter != "" {
		model += "/" + adapter
	}
	w.note("client  request %s for %s sent to %s", id, model, n.name)
	r := ask(n.clients, http.MethodPost, "/brief/1", host, map[string]string{"X-Guavapaddle-Request-Id": id, "X-Guavapaddle-Model": model,
		"X-Guavapaddle-Token-Count": "100,30", "X-Guavapaddle-Prompt-Prefix": "5c1e07a2:60," + id + ":40"}, []byte("draft"), 8*time.Second)
	w.note("client  request %s: status %d, %d bytes, error %v", id, r.status, len(r.body), r.err)
	return id, r
}

// lateCopy: a worker sends a few of its answers twice, the second time late. A stream that may run once was refused by the worker as not
// run, since its adapter isn't there yet, and is sent to it again on the same connection: the copy of the refusal has the request's own id.
func lateCopy(w *world, trouble bool) (string, error) {
	var mu sync.Mutex
	answers, copies := 0, 0
	began := time.Time{}
	var all []*worker
	for i := range 2 {
		k := &worker{w: w, id: fmt.Sprintf("i-%d", i+1), service: "drafter", zone: "seq-a", slots: 64, model: "m0", adapterSlots: 8,
			adapterLoad: 9 * time.Millisecond, events: 4, gap: 15 * time.Millisecond}
		all = append(all, k)
	}
	faulty := all[0] // one worker of two: a share of 0.5
	faulty.before = func(c *workerConn, q *http.Request) {
		if c.late != nil {
			w.note("%s  sends a late copy before the answer to request %s", faulty.id, q.Header.Get("X-Guavapaddle-Request-Id"))
			_, _ = c.Write(c.late)
			c.late = nil
		}
		mu.Lock()
		defer mu.Unlock()
		if strings.HasPrefix(q.URL.Path, "/brief/") && !began.IsZero() {
			answers++
		}
	}
	faulty.answered = func(c *workerConn, q *http.Request, b []byte) {
		mu.Lock()
		defer mu.Unlock()
		// Within 5 s, of at most 3 in 100 of its answers to requests.
		if !trouble || began.IsZero() || time.Since(began) > 5*time.Second || !strings.HasPrefix(q.URL.Path, "/brief/") || float64(copies+1) > 0.03*float64(answers) {
			return
		}
		copies++
		c.late = slices.Clone(b)
	}
	w.store.put("op", "config", engineConfig(false, 8))
	for _, k := range all {
		if err := k.start(); err != nil {
			return "", err
		}
	}
	if err := w.startNodes(1); err != nil {
		return "", err
	}
	mu.Lock()
	began = time.Now()
	mu.Unlock()
	var wg sync.WaitGroup
	var replies sync.Map
	send := func(adapter string) {
		wg.Go(func() {
			id, r := w.brief(w.nodes[0], adapter)
			replies.Store(id, r)
		})
	}
	for i := range 240 { // 48 a second for 5 s, of which one in 8 needs an adapter
		adapter := ""
		if i%8 == 7 {
			adapter = fmt.Sprintf("a%d", 1+(i/8)%37)
		}
		send(adapter)
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	mu.Lock()
	w.note("%s has sent %d late copies, %d answers to requests", faulty.id, copies, answers)
	mu.Unlock()
	return w.runTwice(all, &replies), nil
}

// runTwice returns what breaks TWICE or REFUSED: requests that ran more than once, or ran and were refused as not run.
func (w *world) runTwice(all []*worker, replies *sync.Map) string {
	runs := map[string][]string{}
	for _, k := range all {
		k.mu.Lock()
		for _, r := range k.runs {
			runs[r.id] = append(runs[r.id], r.worker)
		}
		k.mu.Unlock()
	}
	found := ""
	for id, list := range runs {
		v, _ := replies.Load(id)
		r, _ := v.(reply)
		if len(list) > 1 {
			found = fmt.Sprintf("TWICE: request %s ran %d times, at %s; its client got status %d", id, len(list), strings.Join(list, " and "), r.status)
			w.note("%s", found)
		}
		if r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests {
			w.note("REFUSED: request %s ran at %s, and its client got status %d", id, list[0], r.status)
			if found == "" {
				found = fmt.Sprintf("REFUSED: request %s ran at %s, and its client got status %d", id, list[0], r.status)
			}
		}
	}
	return found
}
