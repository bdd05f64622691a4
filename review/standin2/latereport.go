package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// lateReport: a worker sends a few of its answers twice, the second time late, reports among them.
func lateReport(w *world, trouble bool) (string, error) {
	var mu sync.Mutex
	answers, copies := 0, 0
	began := time.Time{}
	var all []*worker
	for i := range 2 {
		all = append(all, &worker{w: w, id: fmt.Sprintf("i-%d", i+1), service: "drafter", zone: "seq-a", slots: 64, model: "m0", adapterSlots: 8,
			adapterLoad: 9 * time.Millisecond, events: 40, plainEvents: 2, gap: 60 * time.Millisecond})
	}
	k := all[0] // the faulty one: a share of 0.5
	k.before = func(c *workerConn, q *http.Request) {
		if c.late != nil {
			w.note("%s  sends a late copy of a report before the answer to %s %s", k.id, q.Method, q.URL.Path)
			_, _ = c.Write(c.late)
			c.late = nil
		}
		mu.Lock()
		defer mu.Unlock()
		if !began.IsZero() {
			answers++
		}
	}
	k.answered = func(c *workerConn, q *http.Request, b []byte) {
		mu.Lock()
		defer mu.Unlock()
		// Within 5 s, of at most 3 in 100 of its answers.
		if !trouble || began.IsZero() || time.Since(began) > 5*time.Second || q.URL.Path != "/report" || float64(copies+1) > 0.03*float64(answers) {
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
	var wg sync.WaitGroup
	var replies sync.Map
	for i := range 2000 { // 80 a second, of which one in 10 needs one of 36 adapters
		if i == 320 || i == 960 || i == 1600 { // 4, 12 and 20 s after the first
			mu.Lock()
			began, answers, copies = time.Now(), 0, 0
			mu.Unlock()
		}
		adapter := ""
		if i%10 == 9 {
			adapter = fmt.Sprintf("a%d", 1+(i/10)%36)
		}
		wg.Go(func() {
			id, r := w.brief(w.nodes[0], adapter)
			replies.Store(id, r)
		})
		time.Sleep(12500 * time.Microsecond)
	}
	wg.Wait()
	mu.Lock()
	w.note("%s has sent %d late copies in the last 5 s of its fault", k.id, copies)
	mu.Unlock()
	for _, k := range all {
		k.mu.Lock()
		overfull := k.overfull
		k.mu.Unlock()
		if overfull != "" {
			return "LIMIT: " + overfull, nil
		}
	}
	return "", nil
}
