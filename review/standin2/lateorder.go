package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// manyModels returns a configuration with one service of model engines, each of which has room for one model.
func manyModels(count int) []byte {
	var models []map[string]any
	for i := range count {
		models = append(models, map[string]any{"name": fmt.Sprintf("m%d", i+1), "weights-mb": 65100.0, "load-time-s": 9.0, "adapters": 37, "adapter-size-mb": 12.0, "warm-s": 0.6, "disk-s": 0.8})
	}
	b, _ := json.Marshal(map[string]any{
		"version": 7,
		"routes": []map[string]any{{"name": "hint", "host": host, "prefix": "/hint/", "kind": "streaming", "timeout-ms": 8000, "target-latency-ms": 600,
			"priority": 0, "service": "draft-models", "max-attempts": 1, "session-affinity": true, "resumable": false, "gap-aim-ms": 300}},
		"services": []map[string]any{{"name": "draft-models", "health-path": "/healthz", "max-conns": 610, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 16, "kv-capacity": 54080, "weights-mb": 80000.0, "adapter-slots": 8, "loads-per-s": 13.0, "models": models}}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	return b
}

// lateOrder: one order to load an adapter gets no answer and is carried out 11 s later; the worker crashes once meanwhile and starts again
// under its id.
func lateOrder(w *world, trouble bool) (string, error) {
	const workers = 6
	var all []*worker
	for i := range workers {
		all = append(all, &worker{w: w, id: fmt.Sprintf("i-%d", i+1), service: "draft-models", zone: "seq-a", slots: 16, model: fmt.Sprintf("m%d", i+1), adapterSlots: 8,
			adapterLoad: 10 * time.Millisecond, modelLoad: 800 * time.Millisecond, events: 5, gap: 40 * time.Millisecond, born: time.Now().UnixMilli() + int64(i)})
	}
	k := all[0]
	var mu sync.Mutex
	lost := false
	k.takeOrder = func(k *worker, body []byte) bool {
		var o struct {
			Operation, Adapter string
		}
		if json.Unmarshal(body, &o) != nil || o.Operation != "model_load" || o.Adapter != "a9" {
			return false
		}
		mu.Lock()
		defer mu.Unlock()
		if !trouble || lost {
			return false
		}
		lost = true
		w.note("%s  leaves an order unanswered, and carries it out 11 s later: %s", k.id, body)
		time.AfterFunc(11*time.Second, func() {
			w.note("%s  carries out late: %s", k.id, body)
			k.order(body)
		})
		return true
	}
	w.store.put("op", "config", manyModels(workers))
	for _, k := range all {
		if err := k.start(); err != nil {
			return "", err
		}
	}
	if err := w.startNodes(2); err != nil {
		return "", err
	}
	var wg sync.WaitGroup
	hint := func(n int, model string) {
		wg.Go(func() {
			id := newID()
			w.note("client  request %s for %s sent to %s", id, model, w.nodes[n].name)
			r := ask(w.nodes[n].clients, http.MethodPost, "/hint/1", host, map[string]string{"X-Guavapaddle-Request-Id": id, "X-Guavapaddle-Model": model,
				"X-Guavapaddle-Token-Count": "100,30", "X-Guavapaddle-Prompt-Prefix": "5c1e07a2:60," + id + ":40"}, []byte("draft"), 8*time.Second)
			w.note("client  request %s: status %d, %d bytes, error %v", id, r.status, len(r.body), r.err)
		})
	}
	for i := 1; i <= 8; i++ {
		hint(i%2, fmt.Sprintf("m1/a%d", i))
		time.Sleep(150 * time.Millisecond)
	}
	time.Sleep(1200 * time.Millisecond)
	hint(0, "m1/a9")
	time.Sleep(2 * time.Second) // the order has been sent again
	if trouble {
		k.crash(2 * time.Second)
	}
	time.Sleep(2200 * time.Millisecond)
	hint(0, "m1")
	hint(1, "m1")
	time.Sleep(2500 * time.Millisecond)
	for i := 11; i <= 18; i++ {
		hint(i%2, fmt.Sprintf("m1/a%d", i))
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(6 * time.Second)
	wg.Wait()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.overfull != "" {
		return "LIMIT: " + k.overfull, nil
	}
	return "", nil
}
