package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"guavapaddle/platform/standin"
)

const (
	orderDelay  = 11500 * time.Millisecond // kinds: applied_late, 2 to 12 s
	downTime    = 4400 * time.Millisecond  // srv_crash, at most 4.5 s
	busyFrom    = 10 * time.Second
	lateWatch   = 20 * time.Second
	ordersSoFar = 3 // that each worker has accepted before the case
	lateWorkers = 6 // srv_crash: one of them is 0.17
)

// lateOrder: an order to load a model gets no answer, its worker crashes and starts again under the id that it had, and the order is
// carried out late, when the worker has accepted as many orders again as the order expects.
func lateOrder(dir string) bool {
	store := standin.NewStore(cleaner{})
	var models []any
	for i := range 2*lateWorkers + 1 {
		models = append(models, map[string]any{"name": fmt.Sprint("m", i), "weights-mb": modelMB, "load-time-s": loadTime.Seconds(),
			"disk-s": diskTime.Seconds(), "adapters": 0, "adapter-size-mb": 12})
	}
	store.Put("op", "config", encode(map[string]any{"version": 1,
		"routes": []any{map[string]any{"name": "draft", "host": "desk.example", "prefix": "/draft/", "kind": "streaming", "timeout-ms": 15000,
			"target-latency-ms": 600, "gap-aim-ms": 300, "priority": 1, "service": "drafter", "max-attempts": 1, "session-affinity": true}},
		"services": []any{map[string]any{"name": "drafter", "health-path": "/healthz", "max-conns": 370, "engine": map[string]any{"slots": 64,
			"kv-capacity": 140514, "weights-mb": weightsMB, "adapter-slots": adapterSlots, "loads-per-s": 1.9, "models": models}}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}))
	var chosen atomic.Pointer[engine]
	var once sync.Once
	var disk []string
	for i := range lateWorkers {
		disk = append(disk, fmt.Sprint("m", 2*i))
	}
	for i := range lateWorkers {
		e := &engine{id: fmt.Sprint("i-engine-", i), zone: []string{"seq-a", "seq-b"}[i%2], changed: make(chan struct{}, 1), seq: ordersSoFar,
			models: []string{fmt.Sprint("m", 2*i), fmt.Sprint("m", 2*i+1)}, disk: slices.Clone(disk)}
		e.onOrder = func(o order) (late bool) {
			if !trouble || o.Operation != "model_load" {
				return false
			}
			once.Do(func() {
				late = true
				chosen.Store(e)
				e.delay(o)
			})
			return late
		}
		e.start()
		go beat(store, e)
	}
	for i := range 2 {
		startNode(dir, fmt.Sprint("front-", i), []string{"seq-a", "seq-b"}[i], store.Address())
	}
	end := time.Now().Add(lateWatch)
	var wg sync.WaitGroup
	var served, other, lost atomic.Int64
	for c := range 8 * lateWorkers {
		wg.Go(func() {
			if c >= 2*lateWorkers { // more users come
				time.Sleep(busyFrom)
			}
			for n := 0; time.Now().Before(end); n++ {
				switch draft(nodes[n%2].clients, fmt.Sprintf("%x", 1+c*100000+n), fmt.Sprint("m", 2*(c%lateWorkers))) {
				case whole:
					served.Add(1)
				case cut:
					if overloads.Load() > 0 {
						lost.Add(1)
					}
				default:
					other.Add(1)
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	wg.Wait()
	note("clients: %d requests served, %d refused or failed, %d streams broken off after the overload", served.Load(), other.Load(), lost.Load())
	if served.Load() == 0 || trouble && chosen.Load() == nil {
		fatal(fmt.Errorf("no request served or no model ordered"))
	}
	return overloads.Load() == 0
}

// delay has an order carried out late, while the worker crashes and starts again meanwhile.
func (e *engine) delay(o order) {
	time.AfterFunc(300*time.Millisecond, func() {
		e.crash()
		time.AfterFunc(downTime, e.start)
	})
	time.AfterFunc(orderDelay, func() {
		status := e.apply(o)
		note("order %s %s at %s, expected %d, is carried out late: %d", o.Operation, o.Model, e.id, *o.Expected, status)
	})
}

// ending is how a request ended.
type ending int

const (
	unserved ending = iota // refused or failed
	cut                    // its stream was broken off
	whole
)

// draft sends a request for a stream and returns how it ended.
func draft(address, id, model string) ending {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/draft/"+id, strings.NewReader("draft"))
	if err != nil {
		fatal(err)
	}
	r.Host = "desk.example"
	r.Header.Set("X-Guavapaddle-Request-Id", id)
	r.Header.Set("X-Guavapaddle-Request-Deadline-Ms", "15000")
	r.Header.Set("X-Guavapaddle-Model", model)
	r.Header.Set("X-Guavapaddle-Token-Count", "1460,80")
	r.Header.Set("X-Guavapaddle-Prompt-Prefix", "5c1e07a2:350,"+id+":1110")
	resp, err := (&http.Client{Timeout: 16 * time.Second}).Do(r)
	if err != nil {
		return unserved
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	switch {
	case resp.StatusCode != http.StatusOK:
		return unserved
	case err != nil || strings.Count(string(body), "data:") != events:
		return cut
	}
	return whole
}
