package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"guavapaddle/core/backend"
	"guavapaddle/internal/testbed/standin/fault"
	"guavapaddle/internal/testbed/standin/weights"
	ioengine "guavapaddle/io/engine"
	"guavapaddle/io/jsonhttp"
)

const (
	errorNoBase = "no-base"
	errorInUse  = "in-use"
)

// verdict is the answer to an order.
type verdict struct {
	status  int
	refusal ioengine.Refusal
}

// serveFence raises the fencing number.
func (e *Engine) serveFence(w http.ResponseWriter, r *http.Request) {
	var in ioengine.FenceRequest
	if !fault.ReadJSON(w, r, &in) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.raise(in.Fence) {
		fault.WriteJSON(w, http.StatusConflict, ioengine.Refusal{Fence: e.boot.fence})
		return
	}
	fault.WriteJSON(w, http.StatusOK, e.inventory())
}

// raise raises the fencing number, and returns false if the engine checks it
// and has seen a higher one.
func (e *Engine) raise(fence uint64) bool {
	if !e.ChecksOrders {
		return true
	}
	if fence < e.boot.fence {
		return false
	}
	e.boot.fence = fence
	return true
}

// serveOrder takes an order.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o backend.Order
	if !fault.ReadJSON(w, r, &o) {
		return
	}
	if o.Op != backend.Load && o.Op != backend.Unload || o.OrderID == "" || o.Bytes < 0 {
		http.Error(w, "order-id, op and bytes have to be set", http.StatusBadRequest)
		return
	}
	v := e.take(o)
	if v.status == http.StatusConflict {
		fault.WriteJSON(w, v.status, v.refusal)
		return
	}
	fault.WriteJSON(w, v.status, struct{}{})
}

// take answers an order and does it, now or later.
func (e *Engine) take(o backend.Order) verdict {
	f := e.Faults.Faults()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Faults.Counters.Add("orders", 1)
	b := e.boot
	switch done, known := b.orders[o.OrderID]; {
	case known && (done || e.satisfied(b, o)):
		return verdict{status: http.StatusOK}
	case known:
		return verdict{status: http.StatusAccepted}
	case f.Leaving:
		return verdict{status: http.StatusServiceUnavailable}
	case !e.raise(o.Fence):
		e.Faults.Counters.Add("stale-orders-refused", 1)
		return verdict{status: http.StatusConflict, refusal: ioengine.Refusal{Fence: b.fence}}
	case e.Faults.TakeLostOrder():
		e.Faults.Counters.Add("orders-lost", 1)
		return verdict{status: http.StatusAccepted}
	}
	if f.OrderDelayMS > 0 {
		b.orders[o.OrderID] = false
		go e.doLate(b, o, time.Duration(f.OrderDelayMS)*time.Millisecond)
		return verdict{status: http.StatusAccepted}
	}
	return e.do(b, o)
}

// doLate does an order after a delay, if its fencing number still holds.
func (e *Engine) doLate(b *boot, o backend.Order, delay time.Duration) {
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-b.ctx.Done():
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if b.ctx.Err() != nil {
		return
	}
	if !e.raise(o.Fence) {
		e.Faults.Counters.Add("stale-orders-refused", 1)
		return
	}
	e.do(b, o)
}

// do does an order and answers it.
func (e *Engine) do(b *boot, o backend.Order) verdict {
	var v verdict
	if o.Op == backend.Load {
		v = e.load(b, o)
	} else {
		v = e.unload(b, o)
	}
	if v.status == http.StatusOK || v.status == http.StatusAccepted {
		b.orders[o.OrderID] = v.status == http.StatusOK
	}
	return v
}

// satisfied tells whether what an order asks is so.
func (e *Engine) satisfied(b *boot, o backend.Order) bool {
	if o.Op == backend.Load {
		return b.memory.Resident(o.Item)
	}
	_, ok := b.memory.Items[o.Item]
	return !ok
}

// load begins to load an item.
func (e *Engine) load(b *boot, o backend.Order) verdict {
	if u, ok := b.memory.Items[o.Item]; ok {
		switch u.State {
		case backend.Resident:
			return verdict{status: http.StatusOK}
		case backend.Loading:
			return verdict{status: http.StatusAccepted}
		default:
			return verdict{status: http.StatusConflict, refusal: ioengine.Refusal{Error: errorInUse}}
		}
	}
	if o.Item.Base != "" && !b.memory.Base(o.Item.Base, backend.Item{}) {
		return verdict{status: http.StatusConflict, refusal: ioengine.Refusal{Error: errorNoBase}}
	}
	if !b.memory.Reserve(o.Item, o.Bytes) {
		e.Faults.Counters.Add("overcommit-refused", 1)
		return verdict{status: http.StatusInsufficientStorage}
	}
	b.memory.Items[o.Item].Order = o.OrderID
	e.measure()
	go e.fetch(b, o)
	return verdict{status: http.StatusAccepted}
}

// unload begins to unload an item, or does it if nothing uses it.
func (e *Engine) unload(b *boot, o backend.Order) verdict {
	u, ok := b.memory.Items[o.Item]
	if !ok {
		return verdict{status: http.StatusOK}
	}
	if o.Item.Base == "" && b.memory.Adapters(o.Item.Name) && !b.memory.Base(o.Item.Name, o.Item) {
		return verdict{status: http.StatusConflict, refusal: ioengine.Refusal{Error: errorInUse}}
	}
	u.State, u.Order = backend.Unloading, o.OrderID
	if e.release(b, o.Item) {
		return verdict{status: http.StatusOK}
	}
	return verdict{status: http.StatusAccepted}
}

// fetch takes the time of a load and makes the item resident, or drops it if
// the weight store fails.
func (e *Engine) fetch(b *boot, o backend.Order) {
	err := e.wait(b.ctx, o)
	e.mu.Lock()
	defer e.mu.Unlock()
	if b.ctx.Err() != nil {
		return
	}
	u := b.memory.Items[o.Item]
	u.Pending = false
	switch {
	case err != nil:
		e.Faults.Counters.Add("loads-failed", 1)
		u.State = backend.Unloading
		delete(b.orders, o.OrderID)
	case u.State == backend.Loading:
		e.Faults.Counters.Add("loads", 1)
		u.State = backend.Resident
		b.orders[o.OrderID] = true
	}
	e.release(b, o.Item)
}

// release frees an item's bytes if nothing holds them any more, which ends its
// unload, and tells whether it did.
func (e *Engine) release(b *boot, i backend.Item) bool {
	u, ok := b.memory.Items[i]
	if !ok || !b.memory.Release(i) {
		return false
	}
	if _, known := b.orders[u.Order]; known {
		b.orders[u.Order] = true
	}
	return true
}

// wait takes the time of a load.
func (e *Engine) wait(ctx context.Context, o backend.Order) error {
	d := e.LoadBase
	if e.WeightAddress == "" {
		d += e.ColdStart
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	if e.WeightAddress == "" {
		return nil
	}
	c := &jsonhttp.Client{Address: e.WeightAddress, Fresh: true}
	a, err := c.JSON(ctx, http.MethodPost, weights.LoadPath, weights.LoadRequest{Item: o.Item.String(), Bytes: o.Bytes}, nil)
	if err == nil && a.Status != http.StatusOK {
		return eris.Errorf("weight store answered %d", a.Status)
	}
	return err
}
