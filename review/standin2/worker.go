package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// run is a request that a worker began to work on.
type run struct {
	id, worker string
	at         time.Time
}

// worker is a stand-in for a backend server. A service with models has adapters, which it loads by order.
type worker struct {
	w             *world
	id, service   string
	zone, address string
	slots         int
	model         string        // resident model, empty for a plain service
	adapterSlots  int           // of an engine
	adapterLoad   time.Duration // time that an adapter takes to load
	events        int           // of a stream; zero for a plain answer
	plainEvents   int           // of a stream without an adapter, if above zero
	gap           time.Duration // between events
	work          time.Duration // of a plain answer

	modelLoad time.Duration                     // time that the model takes to load after a restart
	takeOrder func(k *worker, body []byte) bool // is called with each order, if not nil, and reports whether it gets no answer now

	resident map[string]bool // models that are present, of a worker with room for several; nil for others
	onDisk   []string
	places   int

	// answer, if not nil, handles a request in place of the usual answer and reports whether it did.
	answer func(c *workerConn, q *http.Request, body []byte) bool
	// answered, if not nil, is called after each answer with its bytes.
	answered func(c *workerConn, q *http.Request, b []byte)
	// before, if not nil, is called when a request has been read.
	before func(c *workerConn, q *http.Request)

	mu       sync.Mutex
	adapters map[string]bool // held; false while it is loading
	users    map[string]int  // runs that use an adapter
	leaving  map[string]bool // adapters that go once no run uses them
	born     int64           // start of the process in Unix ms, 0 if it isn't stated
	down     bool            // crashed
	absent   bool            // the model isn't present
	busy     bool            // the model is being loaded
	conns    map[*workerConn]bool
	overfull string // the first order that would load more adapters than there are slots
	seq      int64  // accepted orders
	fence    int64
	beats    int64
	runs     []run
}

// workerConn is a connection to a worker.
type workerConn struct {
	net.Conn
	worker *worker
	late   []byte // bytes that are sent when the next request has been read
}

func (k *worker) start() error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	k.address = l.Addr().String()
	if k.adapters == nil {
		k.adapters = map[string]bool{}
	}
	k.conns = map[*workerConn]bool{}
	k.users, k.leaving = map[string]int{}, map[string]bool{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wc := &workerConn{Conn: c, worker: k}
			k.mu.Lock()
			down := k.down
			k.conns[wc] = true
			k.mu.Unlock()
			if down {
				wc.reset()
				continue
			}
			go k.serve(wc)
		}
	}()
	k.beat()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			k.beat()
		}
	}()
	return nil
}

// beat writes the worker's entry to the store.
func (k *worker) beat() {
	k.mu.Lock()
	if k.down {
		k.mu.Unlock()
		return
	}
	k.beats++
	e := map[string]any{"service": k.service, "address": k.address, "zone": k.zone, "version": "v1", "slots": k.slots, "state": "ready", "cold-left-ms": 0, "seq": k.beats}
	if k.model != "" {
		e["stage"], e["models"] = "both", k.models()
		e["at-hand"] = map[string]any{"in-memory": []string{}, "on-disk": append([]string{k.model}, k.onDisk...)}
	}
	if k.born != 0 {
		e["born"] = k.born
	}
	k.mu.Unlock()
	b, _ := json.Marshal(e)
	k.w.store.put("servers", k.id, b)
}

// models returns the models field of reports and entries; k.mu is held.
func (k *worker) models() []map[string]any {
	if k.resident != nil {
		out := []map[string]any{}
		for _, m := range slices.Sorted(maps.Keys(k.resident)) {
			held := []string{}
			for _, a := range slices.Sorted(maps.Keys(k.adapters)) {
				if mm, aa, _ := cut(a); mm == m && k.adapters[a] {
					held = append(held, aa)
				}
			}
			out = append(out, map[string]any{"name": m, "version": 1, "adapters": held})
		}
		return out
	}
	if k.absent {
		return []map[string]any{}
	}
	held := []string{}
	for _, a := range slices.Sorted(maps.Keys(k.adapters)) {
		if k.adapters[a] {
			held = append(held, a)
		}
	}
	return []map[string]any{{"name": k.model, "version": 1, "adapters": held}}
}

func (k *worker) serve(c *workerConn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		if k.before != nil {
			k.before(c, q)
		}
		if expect := q.Header.Get("X-Guavapaddle-Expect-Instance"); expect != "" && expect != k.id {
			c.send(q, http.StatusMisdirectedRequest, nil, nil)
			continue
		}
		switch q.URL.Path {
		case "/report":
			c.send(q, http.StatusOK, nil, k.report())
		case "/order":
			if k.takeOrder != nil && k.takeOrder(k, body) {
				_, _ = io.Copy(io.Discard, c) // until the caller gives up
				return
			}
			c.send(q, k.order(body), nil, []byte("{}"))
		case "/healthz":
			c.send(q, http.StatusOK, nil, nil)
		default:
			if k.answer != nil && k.answer(c, q, body) {
				continue
			}
			k.respond(c, q)
		}
	}
}

// respond runs a request and answers it, or rejects it.
func (k *worker) respond(c *workerConn, q *http.Request) {
	id := q.Header.Get("X-Guavapaddle-Request-Id")
	k.mu.Lock()
	absent := k.absent
	if k.resident != nil {
		m, a, ok := cut(q.Header.Get("X-Guavapaddle-Model"))
		absent = !k.resident[m] || ok && !k.adapters[m+"/"+a]
	}
	k.mu.Unlock()
	if absent {
		k.w.note("%s  421  request %s: the model isn't present", k.id, id)
		c.send(q, http.StatusMisdirectedRequest, map[string]string{"X-Guavapaddle-Not-Run": "1"}, nil)
		return
	}
	if k.model != "" && k.resident == nil {
		if _, adapter, ok := cut(q.Header.Get("X-Guavapaddle-Model")); ok && !k.holds(adapter) {
			k.w.note("%s  421  request %s: adapter %s isn't present", k.id, id, adapter)
			c.send(q, http.StatusMisdirectedRequest, map[string]string{"X-Guavapaddle-Not-Run": "1"}, nil)
			return
		} else if ok && !k.use(adapter) {
			k.w.note("%s  503  request %s: adapter %s is leaving", k.id, id, adapter)
			c.send(q, http.StatusServiceUnavailable, map[string]string{"X-Guavapaddle-Not-Run": "1"}, nil)
			return
		} else if ok {
			defer k.unuse(adapter)
		}
	}
	k.w.note("%s  runs  request %s", k.id, id)
	k.mu.Lock()
	k.runs = append(k.runs, run{id: id, worker: k.id, at: time.Now()})
	k.mu.Unlock()
	if k.events == 0 {
		time.Sleep(k.work)
		c.send(q, http.StatusOK, k.stamp(id), []byte("answer to "+id))
		return
	}
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Guavapaddle-Request-Id: " + id + "\r\n")
	for n, v := range k.stamp(id) {
		b.WriteString(n + ": " + v + "\r\n")
	}
	b.WriteString("\r\n")
	events := k.events
	if _, _, ok := cut(q.Header.Get("X-Guavapaddle-Model")); !ok && k.plainEvents > 0 {
		events = k.plainEvents
	}
	for i := 1; i <= events; i++ {
		time.Sleep(k.gap)
		e := fmt.Sprintf("id: %d\ndata: %s by %s, %d of %d\n\n", i, id, k.id, i, events)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(e), e)
		if _, err := c.Write(b.Bytes()); err != nil {
			k.w.note("%s  ends  request %s at event %d, since its connection is closed", k.id, id, i)
			return
		}
		b.Reset()
	}
	_, _ = c.Write([]byte("0\r\n\r\n"))
	k.w.note("%s  ends  request %s", k.id, id)
}

func (k *worker) stamp(id string) map[string]string {
	return map[string]string{"X-Guavapaddle-Server-Stamp": k.id + "." + id, "X-Guavapaddle-Weight-Versions": "1"}
}

// use counts a run that uses an adapter, and reports whether it may.
func (k *worker) use(adapter string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leaving[adapter] {
		return false
	}
	k.users[adapter]++
	return true
}

// unuse ends a run that uses an adapter, which goes if it is leaving.
func (k *worker) unuse(adapter string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.users[adapter]--; k.users[adapter] <= 0 && k.leaving[adapter] {
		delete(k.adapters, adapter)
		delete(k.leaving, adapter)
		k.w.note("%s  adapter %s is gone", k.id, adapter)
	}
}

// holds reports whether the worker holds an adapter.
func (k *worker) holds(adapter string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.adapters[adapter]
}

func (k *worker) report() []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	coming := []string{}
	for a, held := range k.adapters {
		if !held {
			coming = append(coming, k.model+"/"+a+"@1")
		}
	}
	b, _ := json.Marshal(map[string]any{"stage": "both", "models": k.models(), "busy": k.busy, "born": k.born, "seq": k.seq, "queued": 0, "running": 0,
		"kv-used": 0, "kv-total": 140514, "handles": 0, "coming": coming})
	return b
}

// order carries out an order for an adapter, and returns the status of the answer.
func (k *worker) order(body []byte) int {
	var o struct {
		Operation string `json:"operation"`
		Model     string `json:"model"`
		Adapter   string `json:"adapter"`
		Expected  *int64 `json:"expected"`
		Holder    string `json:"holder"`
		Fence     int64  `json:"fencing-token"`
	}
	if json.Unmarshal(body, &o) != nil || o.Holder == "" {
		return http.StatusBadRequest
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.resident != nil {
		return k.orderMulti(o.Operation, o.Model, o.Adapter, o.Holder, o.Expected, o.Fence)
	}
	status := http.StatusAccepted
	_, known := k.adapters[o.Adapter]
	switch {
	case o.Fence < k.fence:
		status = http.StatusPreconditionFailed
	case o.Expected != nil && *o.Expected == k.seq && o.Operation == "model_load" && o.Adapter == "" && o.Model == k.model && k.absent && !k.busy:
		k.seq++
		k.busy = true
		time.AfterFunc(k.modelLoad, func() {
			k.mu.Lock()
			k.absent, k.busy = false, false
			k.mu.Unlock()
			k.w.note("%s  model %s is present", k.id, k.model)
			k.beat()
		})
	case o.Adapter == "" || o.Model != k.model || k.absent:
		status = http.StatusBadRequest // the cases of this folder need no other orders for models
	case o.Expected != nil && *o.Expected != k.seq:
		status = http.StatusConflict
	case o.Operation == "model_load" && known:
		status = http.StatusOK
	case o.Operation == "model_load":
		if len(k.adapters) >= k.adapterSlots && k.overfull == "" {
			k.overfull = fmt.Sprintf("%s is ordered by %s to load adapter %s beside %v, for %d slots", k.id, o.Holder, o.Adapter, slices.Sorted(maps.Keys(k.adapters)), k.adapterSlots)
			k.w.note("%s", k.overfull)
		}
		k.seq++
		k.adapters[o.Adapter] = false
		time.AfterFunc(k.adapterLoad, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			if _, ok := k.adapters[o.Adapter]; !ok {
				return // the worker has started again since
			}
			k.adapters[o.Adapter] = true
			k.w.note("%s  adapter %s is present", k.id, o.Adapter)
		})
	case !known:
		status = http.StatusOK
	case k.leaving[o.Adapter]:
		status = http.StatusConflict // that order is under way
	case k.users[o.Adapter] > 0:
		k.seq++
		k.leaving[o.Adapter] = true
	default:
		k.seq++
		delete(k.adapters, o.Adapter)
		status = http.StatusOK
	}
	k.fence = max(k.fence, o.Fence)
	k.w.note("%s  order %s %s/%s by %s: %d", k.id, o.Operation, o.Model, o.Adapter, o.Holder, status)
	return status
}

// send sends an answer with a length.
func (c *workerConn) send(q *http.Request, status int, header map[string]string, body []byte) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\nX-Guavapaddle-Instance-Id: %s\r\n", status, http.StatusText(status), len(body), c.worker.id)
	if id := q.Header.Get("X-Guavapaddle-Request-Id"); id != "" {
		b.WriteString("X-Guavapaddle-Request-Id: " + id + "\r\n")
	}
	for n, v := range header {
		b.WriteString(n + ": " + v + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(body)
	_, _ = c.Write(b.Bytes())
	if c.worker.answered != nil {
		c.worker.answered(c, q, b.Bytes())
	}
}

// reset closes the connection as the end of a process does.
func (c *workerConn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// crash ends the worker for a time. It starts again under its id and knows nothing of before; its disk is preserved.
func (k *worker) crash(duration time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.w.note("%s  crashes", k.id)
	k.down = true
	for c := range k.conns {
		c.reset()
	}
	k.conns = map[*workerConn]bool{}
	time.AfterFunc(duration, func() {
		k.mu.Lock()
		k.adapters, k.users, k.leaving = map[string]bool{}, map[string]int{}, map[string]bool{}
		if k.resident != nil {
			k.resident = map[string]bool{}
		}
		k.seq, k.fence, k.beats, k.absent, k.busy, k.down = 0, 0, 0, true, false, false
		k.born = time.Now().UnixMilli()
		k.mu.Unlock()
		k.w.note("%s  has started again, born %d", k.id, k.born)
		k.beat()
	})
}

// cut splits MODEL/ADAPTER.
func cut(s string) (model, adapter string, ok bool) {
	for i := range s {
		if s[i] == '/' {
			return s[:i], s[i+1:], true
		}
	}
	return s, "", false
}

// orderMulti carries out an order of a worker with room for several models, and returns the status of the answer; k.mu is held.
func (k *worker) orderMulti(op, model, adapter, holder string, expected *int64, fence int64) int {
	status := http.StatusAccepted
	key := model + "/" + adapter
	_, knownA := k.adapters[key]
	switch {
	case fence < k.fence:
		status = http.StatusPreconditionFailed
	case expected != nil && *expected != k.seq || adapter == "" && k.busy:
		status = http.StatusConflict
	case adapter == "" && op == "model_load" && k.resident[model]:
		status = http.StatusOK
	case adapter == "" && op == "model_load":
		if len(k.resident) >= k.places && k.overfull == "" {
			k.overfull = fmt.Sprintf("%s is ordered by %s to load %s beside %v, for %d places", k.id, holder, model, slices.Sorted(maps.Keys(k.resident)), k.places)
			k.w.note("%s", k.overfull)
		}
		k.seq++
		k.busy = true
		time.AfterFunc(k.modelLoad, func() {
			k.mu.Lock()
			k.busy = false
			k.resident[model] = true
			k.mu.Unlock()
			k.w.note("%s  model %s is present", k.id, model)
			k.beat()
		})
	case adapter == "" && op == "model_unload" && k.resident[model]:
		k.seq++
		delete(k.resident, model)
		go k.beat()
	case adapter == "":
		status = http.StatusOK
	case op == "model_load" && knownA:
		status = http.StatusOK
	case op == "model_load":
		k.seq++
		k.adapters[key] = true
	case !knownA:
		status = http.StatusOK
	default:
		k.seq++
		delete(k.adapters, key)
		status = http.StatusOK
	}
	k.fence = max(k.fence, fence)
	k.w.note("%s  order %s %s by %s, expected %d, seq %d: %d", k.id, op, key, holder, *expected, k.seq, status)
	return status
}
