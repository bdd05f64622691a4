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

// orderReply is the response to an order.
type orderReply struct {
	status  int
	refusal ioengine.Refusal
}

// serveFence handles a call that raises the fencing number.
func (e *Engine) serveFence(w http.ResponseWriter, r *http.Request) {
	var in ioengine.FenceRequest
	if !fault.ReadJSON(w, r, &in) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.raiseFence(in.Fence) {
		fault.WriteJSON(w, http.StatusConflict, ioengine.Refusal{Fence: e.boot.fence})
		return
	}
	fault.WriteJSON(w, http.StatusOK, e.inventory())
}

// raiseFence raises the fencing number. It returns false if the engine checks fencing
// numbers and has seen a higher one.
func (e *Engine) raiseFence(fence uint64) bool {
	if !e.ChecksOrders {
		return true
	}
	if fence < e.boot.fence {
		return false
	}
	e.boot.fence = fence
	return true
}

// serveOrder handles an order.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o backend.Order
	if !fault.ReadJSON(w, r, &o) {
		return
	}
	if o.Op != backend.Load && o.Op != backend.Unload || o.OrderID == "" || o.Bytes < 0 {
		http.Error(w, "order-id must be set, op must be load or unload, and bytes must not be negative", http.StatusBadRequest)
		return
	}
	reply := e.acceptOrder(o)
	if reply.status == http.StatusConflict {
		fault.WriteJSON(w, reply.status, reply.refusal)
		return
	}
	fault.WriteJSON(w, reply.status, struct{}{})
}

// acceptOrder checks an order, executes it immediately or schedules it, and returns
// the response.
func (e *Engine) acceptOrder(o backend.Order) orderReply {
	f := e.Faults.Faults()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Faults.Counters.Add("orders", 1)
	b := e.boot
	switch done, known := b.orders[o.OrderID]; {
	case known && (done || e.satisfied(b, o)):
		return orderReply{status: http.StatusOK}
	case known:
		return orderReply{status: http.StatusAccepted}
	case f.Leaving:
		return orderReply{status: http.StatusServiceUnavailable}
	case !e.raiseFence(o.Fence):
		e.Faults.Counters.Add("stale-orders-refused", 1)
		return orderReply{status: http.StatusConflict, refusal: ioengine.Refusal{Fence: b.fence}}
	case e.Faults.NextOrderLost():
		e.Faults.Counters.Add("orders-lost", 1)
		return orderReply{status: http.StatusAccepted}
	}
	if f.OrderDelayMS > 0 {
		b.orders[o.OrderID] = false
		go e.executeDelayed(b, o, time.Duration(f.OrderDelayMS)*time.Millisecond)
		return orderReply{status: http.StatusAccepted}
	}
	return e.execute(b, o)
}

// executeDelayed executes an order after a delay, unless its fencing number is
// outdated by then.
func (e *Engine) executeDelayed(b *boot, o backend.Order, delay time.Duration) {
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
	if !e.raiseFence(o.Fence) {
		e.Faults.Counters.Add("stale-orders-refused", 1)
		return
	}
	e.execute(b, o)
}

// execute executes an order and returns the response.
func (e *Engine) execute(b *boot, o backend.Order) orderReply {
	var reply orderReply
	if o.Op == backend.Load {
		reply = e.beginLoad(b, o)
	} else {
		reply = e.beginUnload(b, o)
	}
	if reply.status == http.StatusOK || reply.status == http.StatusAccepted {
		b.orders[o.OrderID] = reply.status == http.StatusOK
	}
	return reply
}

// satisfied reports whether the item is in the state that the order requests.
func (e *Engine) satisfied(b *boot, o backend.Order) bool {
	if o.Op == backend.Load {
		return b.memory.Resident(o.Item)
	}
	_, ok := b.memory.Items[o.Item]
	return !ok
}

// beginLoad reserves memory for an item and starts to load it.
func (e *Engine) beginLoad(b *boot, o backend.Order) orderReply {
	if u, ok := b.memory.Items[o.Item]; ok {
		switch u.State {
		case backend.Resident:
			return orderReply{status: http.StatusOK}
		case backend.Loading:
			return orderReply{status: http.StatusAccepted}
		default:
			return orderReply{status: http.StatusConflict, refusal: ioengine.Refusal{Error: errorInUse}}
		}
	}
	if o.Item.Base != "" && !b.memory.HasBase(o.Item.Base, backend.Item{}) {
		return orderReply{status: http.StatusConflict, refusal: ioengine.Refusal{Error: errorNoBase}}
	}
	if !b.memory.Reserve(o.Item, o.Bytes) {
		e.Faults.Counters.Add("overcommit-refused", 1)
		return orderReply{status: http.StatusInsufficientStorage}
	}
	b.memory.Items[o.Item].Order = o.OrderID
	e.updateMemoryCounters()
	go e.finishLoad(b, o)
	return orderReply{status: http.StatusAccepted}
}

// beginUnload unloads an item. If requests still use the item or it is still loading,
// the unload completes later.
func (e *Engine) beginUnload(b *boot, o backend.Order) orderReply {
	u, ok := b.memory.Items[o.Item]
	if !ok {
		return orderReply{status: http.StatusOK}
	}
	if o.Item.Base == "" && b.memory.HasAdapters(o.Item.Name) && !b.memory.HasBase(o.Item.Name, o.Item) {
		return orderReply{status: http.StatusConflict, refusal: ioengine.Refusal{Error: errorInUse}}
	}
	u.State, u.Order = backend.Unloading, o.OrderID
	if e.releaseUnused(b, o.Item) {
		return orderReply{status: http.StatusOK}
	}
	return orderReply{status: http.StatusAccepted}
}

// finishLoad waits until a load is complete and makes the item resident, or removes
// it if the weight store failed.
func (e *Engine) finishLoad(b *boot, o backend.Order) {
	err := e.waitForWeights(b.ctx, o)
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
	e.releaseUnused(b, o.Item)
}

// releaseUnused completes the unload of an item that is no longer in use and reports
// whether it did.
func (e *Engine) releaseUnused(b *boot, i backend.Item) bool {
	u, ok := b.memory.Items[i]
	if !ok || !b.memory.Release(i) {
		return false
	}
	if _, known := b.orders[u.Order]; known {
		b.orders[u.Order] = true
	}
	return true
}

// waitForWeights waits for the duration of a load, including the call of the weight
// store if there is one.
func (e *Engine) waitForWeights(ctx context.Context, o backend.Order) error {
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
	c := &jsonhttp.Client{Address: e.WeightAddress, DisableReuse: true}
	resp, err := c.JSON(ctx, http.MethodPost, weights.LoadPath, weights.LoadRequest{Item: o.Item.String(), Bytes: o.Bytes}, nil)
	if err == nil && resp.Status != http.StatusOK {
		return eris.Errorf("weight store responded with status %d", resp.Status)
	}
	return err
}
