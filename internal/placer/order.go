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

// order carries out one move.
func (p *Placer) order(ctx context.Context, epoch int64, m residency.Move) {
	p.mu.Lock()
	e := p.engine(m.Server.ID)
	p.mu.Unlock()
	if e.turn.Acquire(ctx, 1) != nil {
		return // this node ends
	}
	defer e.turn.Release(1)
	began := time.Now()
	v, err := platform.Conflict, error(nil)
	sent := !p.outdated(e)
	if sent {
		v, err = p.give(ctx, e, m.Server, platform.Order{Load: m.Load, Model: m.Model}, m.Store)
	}
	p.Log.Info("order", zap.String("server", m.Server.ID), zap.String("model", m.Model), zap.Bool("load", m.Load),
		zap.String("why", string(m.Reason)), zap.String("for", m.For), zap.Bool("from-store", m.Store), zap.Int64("epoch", epoch), zap.Bool("sent", sent),
		zap.Int64("sequence", p.sequence(e)), zap.String("verdict", v.String()), zap.Duration("took", time.Since(began)), zap.Error(err))
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.Store {
		p.loads.Cancel(m.Server.ID) // unless it was sent
	}
	now := time.Now()
	switch {
	case err != nil:
		e.open = &m // it may be carried out: the ledger keeps it
		e.blocked = now.Add(pause)
		return
	case v == platform.Begun:
		e.open = nil
		if !m.Load {
			p.dropped(e, m)
		}
		return
	case v == platform.Conflict && e.open != nil && e.reads == e.planned:
		e.open = nil // the first try was accepted
		return
	}
	e.open, e.coming, e.going = nil, "", ""
	e.blocked = now.Add(pause)
}

// dropped notes that a model goes. Its entry names it no longer, but until its
// requests have ended it keeps its memory, and its adapters their places: what is
// free is read from the engine's report once that isn't busy any more; p.mu is
// held.
func (p *Placer) dropped(e *engine, m residency.Move) {
	p.tell(hub.Note{Server: m.Server.ID, Model: m.Model, Held: false})
	e.stale = true
}

// give gives an order under the present epoch and the engine's sequence; e.turn is
// held. Without a known sequence nothing is sent: the order could be carried out late,
// beside others.
// Store tells that it is a load from the weight store.
//
// An engine answers the unload of an adapter "already so" both when it has unloaded it
// at once, which it counts, and when it doesn't hold it, which it doesn't. Where no
// order of this holder was accepted, one of the holder before may still raise the
// count, so the sequence is read again.
func (p *Placer) give(ctx context.Context, e *engine, s fleet.Server, o platform.Order, store bool) (platform.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	epoch, ok := p.orders()
	if !ok {
		return platform.Fenced, nil
	}
	o.Holder, o.Fence, o.Sequence = p.Keeper.Self.Node, epoch, p.sequence(e)
	if o.Sequence < 0 {
		return platform.Conflict, nil
	}
	if store {
		p.mu.Lock()
		p.loads.Send(time.Now(), s.ID, o.Sequence)
		p.mu.Unlock()
	}
	v, err := p.Engines.Give(ctx, s, o)
	p.Ordered(v.String())
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err != nil:
	case v == platform.Begun:
		p.loads.Accept(time.Now(), s.ID, o.Sequence, store)
	case store:
		p.loads.Refuse(time.Now(), s.ID, o.Sequence, v == platform.Conflict)
	}
	switch {
	case err != nil: // the next order carries the same number
	case v == platform.Begun:
		e.sequence++
		e.accepted = true
		e.settle(o)
	case v == platform.Already && o.Adapter != "" && !o.Load && e.accepted:
		e.sequence++
	case v == platform.Already && o.Adapter != "" && !o.Load, v == platform.Conflict:
		e.sequence = -1
	case v == platform.Fenced:
		p.Keeper.RecordFenced(epoch)
	}
	return v, err
}
