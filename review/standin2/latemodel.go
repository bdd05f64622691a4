package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// manyMore returns a configuration with one service of model engines, each of which has room for three models.
func manyMore(names []string) []byte {
	var models []map[string]any
	for _, name := range names {
		models = append(models, map[string]any{"name": name, "weights-mb": 72700.0, "load-time-s": 9.0, "adapters": 37, "adapter-size-mb": 12.0, "warm-s": 0.6, "disk-s": 0.8})
	}
	b, _ := json.Marshal(map[string]any{
		"version": 7,
		"routes": []map[string]any{{"name": "hint", "host": host, "prefix": "/hint/", "kind": "streaming", "timeout-ms": 8000, "target-latency-ms": 600,
			"priority": 0, "service": "draft-models", "max-attempts": 1, "session-affinity": true, "resumable": false, "gap-aim-ms": 300}},
		"services": []map[string]any{{"name": "draft-models", "health-path": "/healthz", "max-conns": 610, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 16, "kv-capacity": 54080, "weights-mb": 230000.0, "adapter-slots": 8, "loads-per-s": 13.0, "models": models}}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	return b
}

// lateModel: one order to load a model gets no answer and is carried out 11.5 s later; the worker crashes once meanwhile and starts again
// under its id.
func lateModel(w *world, trouble bool) (string, error) {
	names := []string{"m1", "m2", "m3", "m7"}
	var all []*worker
	for i := range 6 {
		k := &worker{w: w, id: fmt.Sprintf("i-%d", i+1), service: "draft-models", zone: "seq-a", slots: 16, model: "m1", adapterSlots: 8, places: 3,
			modelLoad: 800 * time.Millisecond, events: 5, gap: 40 * time.Millisecond, born: time.Now().UnixMilli() + int64(i), resident: map[string]bool{}}
		if i == 0 {
			k.resident["m1"], k.resident["m2"] = true, true
			k.onDisk = []string{"m2", "m3", "m7"}
		} else {
			k.model = ""
			for j := range 3 {
				m := fmt.Sprintf("m%d", 10+3*(i-1)+j)
				names = append(names, m)
				k.resident[m] = true
				k.model = m
			}
		}
		all = append(all, k)
	}
	k := all[0]
	var mu sync.Mutex
	lost := false
	k.takeOrder = func(k *worker, body []byte) bool {
		var o struct{ Operation, Model, Adapter string }
		if json.Unmarshal(body, &o) != nil || o.Operation != "model_load" || o.Adapter != "" || o.Model != "m3" {
			return false
		}
		mu.Lock()
		defer mu.Unlock()
		if !trouble || lost {
			return false
		}
		lost = true
		w.note("%s  leaves an order unanswered, and carries it out 11.5 s later: %s", k.id, body)
		time.AfterFunc(11500*time.Millisecond, func() {
			w.note("%s  carries out late: %s", k.id, body)
			k.order(body)
		})
		return true
	}
	w.store.put("op", "config", manyMore(names))
	for _, k := range all {
		if err := k.start(); err != nil {
			return "", err
		}
	}
	for i := range 2 {
		if _, err := w.addNode(fmt.Sprintf("front-%d", i+1), "seq-a", nil); err != nil {
			return "", err
		}
	}
	for _, n := range w.nodes {
		if err := w.start(n); err != nil {
			return "", err
		}
	}
	for _, n := range w.nodes {
		if err := w.awaitReady(n, 20*time.Second); err != nil {
			return "", err
		}
	}
	var wg sync.WaitGroup
	hint := func(n int, model string) {
		wg.Go(func() {
			id := newID()
			r := ask(w.nodes[n].clients, http.MethodPost, "/hint/1", host, map[string]string{"X-Guavapaddle-Request-Id": id, "X-Guavapaddle-Model": model,
				"X-Guavapaddle-Token-Count": "100,30", "X-Guavapaddle-Prompt-Prefix": "5c1e07a2:60," + id + ":40"}, []byte("draft"), 8*time.Second)
			w.note("client  request %s for %s: status %d, %d bytes, error %v", id, model, r.status, len(r.body), r.err)
		})
	}
	for i := 1; i <= 3; i++ {
		hint(i%2, fmt.Sprintf("m1/a%d", i))
	}
	time.Sleep(5 * time.Second)
	if trouble {
		k.crash(2 * time.Second)
	}
	time.Sleep(2200 * time.Millisecond)
	for range 3 {
		hint(0, "m1")
		hint(1, "m2")
		hint(1, "m7")
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	wg.Wait()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.overfull != "" {
		return "LIMIT: " + k.overfull, nil
	}
	return "", nil
}
