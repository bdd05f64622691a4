package placer

import (
	"context"
	"errors"
	"slices"
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
	e.mu.Lock()
	defer e.mu.Unlock()
	began := time.Now()
	v, err := p.give(ctx, e, m.Server, platform.Order{Load: m.Load, Model: m.Model})
	var unsettled *UnsettledError
	if errors.As(err, &unsettled) {
		v, err = platform.Conflict, nil // nothing was sent
	}
	p.Log.Info("order", zap.String("server", m.Server.ID), zap.String("model", m.Model), zap.Bool("load", m.Load),
		zap.String("why", string(m.Why)), zap.String("for", m.For), zap.Bool("from-store", m.Store), zap.Int64("epoch", epoch),
		zap.Int64("sequence", e.sequence), zap.String("verdict", v.String()), zap.Duration("took", time.Since(began)), zap.Error(err))
	p.mu.Lock()
	defer p.mu.Unlock()
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
	case v == platform.Conflict && e.open != nil:
		e.open = nil // the first try was accepted
		return
	}
	e.open, e.coming, e.going = nil, "", ""
	e.blocked = now.Add(pause)
	if m.Store {
		p.unspend()
	}
}

// dropped notes that a model goes. Its entry names it no longer, but until its
// requests have ended it keeps its memory, and its adapters their places: what is
// free is read from the engine's report once that isn't busy any more; p.mu is
// held.
func (p *Placer) dropped(e *engine, m residency.Move) {
	p.tell(hub.Note{Server: m.Server.ID, Model: m.Model, Held: false})
	e.stale = true
}

// unspend takes a load from the weight store that didn't begin off the count;
// p.mu is held. Of 600 orders on a heavy day 120 don't begin.
func (p *Placer) unspend() {
	if n := len(p.loads); n > 0 {
		p.loads = p.loads[:n-1]
	}
}

// give gives an order under the present epoch and the engine's sequence; e.mu
// is held.
func (p *Placer) give(ctx context.Context, e *engine, s fleet.Server, o platform.Order) (platform.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if p.unread(e) {
		if err := p.report(ctx, e, s); err != nil {
			return 0, err
		}
	}
	epoch, ok := p.epoch()
	if !ok {
		return platform.Fenced, nil
	}
	o.Holder, o.Fence, o.Sequence = p.Keeper.Self.Node, epoch, e.sequence
	v, err := p.Engines.Give(ctx, s, o)
	p.Ordered(v.String())
	switch {
	case err != nil: // the next order carries the same number
	case v == platform.Begun:
		e.sequence++
	case v == platform.Already && o.Adapter != "" && !o.Load:
		e.sequence++
	case v == platform.Conflict:
		e.sequence = -1
	case v == platform.Fenced:
		p.mu.Lock()
		p.Keeper.Fenced(epoch)
		p.mu.Unlock()
	}
	return v, err
}

// UnsettledError means that an engine carries out an order, has started again
// since its entry was written, or holds other models than the entry says, so that
// its memory can't be reckoned.
type UnsettledError struct {
	Server string
	Busy   bool
}

// Error tells the engine.
func (e *UnsettledError) Error() string { return "placer: engine " + e.Server + " is changing" }

// sameModels tells whether two lists name the same models.
func sameModels(a, b []fleet.Held) bool {
	if len(a) != len(b) {
		return false
	}
	for _, h := range a {
		if !slices.ContainsFunc(b, func(o fleet.Held) bool { return o.Model == h.Model }) {
			return false
		}
	}
	return true
}

// report reads the engine's state into the ledger; e.mu is held. The order that
// follows was planned by the entry s: what the engine reports must be the models
// of s, not only of the newest entry. A load that an earlier holder began may
// have ended since the plan was made, and an order that was planned without its
// model would go beyond the engine's memory, which ends the engine.
func (p *Placer) report(ctx context.Context, e *engine, s fleet.Server) error {
	r, err := p.Engines.Report(ctx, s)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if r.Busy || r.Born != s.Born || !sameModels(r.Held, s.Held) || !sameModels(r.Held, p.servers[s.ID].Held) {
		e.blocked = now.Add(pause)
		return &UnsettledError{Server: s.ID, Busy: r.Busy}
	}
	e.sequence = r.Sequence
	e.known, e.stale = true, false
	e.reread(now, r)
	return nil
}

// reread replaces the ledger's adapters by those of a report. The report is
// some hundred milliseconds old, so what was ordered since stays.
func (e *engine) reread(now time.Time, r platform.Report) {
	there := map[string]time.Time{}
	for _, list := range [][]fleet.Held{r.Held, r.Coming} {
		for _, h := range list {
			for _, a := range h.Adapters {
				key := h.Model + "/" + a
				there[key] = now.Add(-demandLife)
				if at, ok := e.adapters[key]; ok {
					there[key] = at
				}
			}
		}
	}
	for key, at := range e.ordered {
		used, held := e.adapters[key]
		if held && now.Sub(at) < reportAge {
			there[key] = used
		}
		if now.Sub(at) > unsettled {
			delete(e.ordered, key)
		}
	}
	e.adapters = there
}
