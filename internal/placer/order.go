package placer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/fleet"
	"guavapaddle/core/residency"
	"guavapaddle/internal/hub"
	"guavapaddle/platform"
)

// executeMove sends the order of one move.
func (p *Placer) executeMove(ctx context.Context, epoch int64, m residency.Move) {
	p.mu.Lock()
	e := p.engine(m.Server.ID)
	p.mu.Unlock()
	if e.callSem.Acquire(ctx, 1) != nil {
		return // the node is shutting down
	}
	defer e.callSem.Release(1)
	started := time.Now()
	v, err := platform.Conflict, error(nil)
	sent := !p.isPlanStale(e)
	if sent {
		v, err = p.sendOrder(ctx, e, m.Server, platform.Order{Load: m.Load, Model: m.Model}, m.Store)
	}
	p.Log.Info("order", zap.String("server", m.Server.ID), zap.String("model", m.Model), zap.Bool("load", m.Load),
		zap.String("why", string(m.Reason)), zap.String("for", m.For), zap.Bool("from-store", m.Store), zap.Int64("epoch", epoch), zap.Bool("sent", sent),
		zap.Int64("sequence", p.sequence(e)), zap.String("verdict", v.String()), zap.Duration("took", time.Since(started)), zap.Error(err))
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.Store {
		p.loads.Cancel(m.Server.ID) // no effect if the order was sent
	}
	now := time.Now()
	switch {
	case err != nil:
		e.unanswered = &m // the order may still be executed, so the record keeps it
		e.blockedUntil = now.Add(engineBackoff)
		return
	case v == platform.Accepted:
		e.unanswered, e.accepted = nil, true
		if !m.Load {
			p.unloadStarted(e, m)
		}
		return
	case v == platform.Conflict && e.unanswered != nil && e.reads == e.plannedReads:
		e.unanswered = nil // an earlier send was accepted
		return
	}
	e.unanswered, e.loading, e.unloading = nil, "", ""
	e.blockedUntil = now.Add(engineBackoff)
}

// unloadStarted publishes that a model is being unloaded. The engine's entry no longer lists
// the model, but until its requests have ended it keeps its memory and its adapters keep
// their slots. What is free is read from the engine's report once it is no longer busy; p.mu
// is held.
func (p *Placer) unloadStarted(e *engine, m residency.Move) {
	p.publishResidency(hub.ResidencyUpdate{Server: m.Server.ID, Model: m.Model, Held: false})
	e.stale = true
}

// sendOrder sends an order under the current epoch and the engine's sequence; e.callSem is
// held. store marks a load from the weight store. Without a known sequence nothing is sent,
// because the order could be executed late, in addition to others.
//
// An engine replies Done to the unload of an adapter in two cases: it has unloaded
// the adapter at once, which it counts as an order, or it doesn't hold the adapter, which it
// doesn't count. If the engine has accepted no order of this leader yet, an order of the
// previous leader may still raise the count, so the sequence is read again.
func (p *Placer) sendOrder(ctx context.Context, e *engine, s fleet.Server, o platform.Order, store bool) (platform.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	epoch, ok := p.orderEpoch()
	if !ok {
		return platform.Fenced, nil
	}
	o.Holder, o.Fence, o.Sequence = p.Elector.Self.Node, epoch, p.sequence(e)
	if o.Sequence < 0 {
		return platform.Conflict, nil
	}
	if store {
		p.mu.Lock()
		p.loads.Send(time.Now(), s.ID, o.Sequence)
		p.mu.Unlock()
	}
	v, err := p.Engines.SendOrder(ctx, s, o)
	p.OnVerdict(v.String())
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err != nil:
	case v == platform.Accepted:
		p.loads.Accept(time.Now(), s.ID, o.Sequence, store)
	case store:
		p.loads.Refuse(time.Now(), s.ID, o.Sequence, v == platform.Conflict)
	}
	switch {
	case err != nil: // the next order carries the same sequence number
	case v == platform.Accepted:
		e.sequence++
		e.orderAccepted = true
		e.resolveUnacked(o)
	case v == platform.Done && o.Adapter != "" && !o.Load && e.orderAccepted:
		e.sequence++
	case v == platform.Done && o.Adapter != "" && !o.Load, v == platform.Conflict:
		e.sequence = -1
	case v == platform.Fenced:
		p.Elector.RecordFenced(epoch)
	}
	return v, err
}
