package placer

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/fleet"
	"guavapaddle/platform"
)

// UnsettledError means that an engine carries out an order, has started again
// since its entry was written, or holds other models than the entry says, so that
// its memory can't be reckoned.
type UnsettledError struct {
	Server string
	Busy   bool
}

// Error tells the engine.
func (e *UnsettledError) Error() string { return "placer: engine " + e.Server + " is changing" }

// unread returns the engines whose memory and orders have to be read from their
// reports before they can take one, and notes that they are being read.
func (p *Placer) unread(now time.Time) []fleet.Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.config == nil {
		return nil
	}
	var out []fleet.Server
	for _, s := range p.servers {
		if service, ok := p.config.Service(s.Service); !ok || service.Engine == nil || s.Leaving {
			continue
		}
		e := p.engine(s.ID)
		if e.reading || !e.unread() || now.Before(e.blocked) || e.changing() {
			continue
		}
		e.reading = true
		out = append(out, s)
	}
	return out
}

// unread tells whether the ledger has to be read from the engine's report.
func (e *engine) unread() bool { return e.sequence < 0 || !e.known || e.stale }

// changing tells whether an order of this holder is being carried out.
func (e *engine) changing() bool { return (e.coming != "" || e.going != "") && !e.inherited }

// isUnread tells whether the ledger has to be read from the engine's report.
func (p *Placer) isUnread(e *engine) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return e.unread()
}

// outdated tells whether an engine's ledger was, or has to be, read again since
// its last move was planned. What it then holds may leave no room: a load that an
// earlier holder began may have ended since.
func (p *Placer) outdated(e *engine) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return e.unread() || e.reads != e.planned
}

// sequence returns how many orders an engine has accepted.
func (p *Placer) sequence(e *engine) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return e.sequence
}

// reread has the ledger of an engine read again.
func (p *Placer) reread(e *engine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.known = false
}

// survey reads an engine's report before an order is planned for it. A plan that
// counts on an engine which turns out to be busy waits with it for seconds: after
// a change of the holder nine orders in ten went to engines that still carried out
// those of the holder before, and were not sent.
func (p *Placer) survey(ctx context.Context, s fleet.Server) {
	p.mu.Lock()
	e := p.engine(s.ID)
	p.mu.Unlock()
	if e.turn.Acquire(ctx, 1) != nil {
		return // this node ends
	}
	defer e.turn.Release(1)
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := p.report(ctx, e, s)
	p.mu.Lock()
	defer p.mu.Unlock()
	e.reading = false
	var unsettled *UnsettledError
	if err == nil || errors.As(err, &unsettled) {
		return
	}
	e.blocked = time.Now().Add(pause)
	p.Log.Warn("engine-unread", zap.String("server", s.ID), zap.Error(err))
}

// sameModels tells whether two lists name the same models.
func sameModels(a, b []fleet.ResidentModel) bool {
	if len(a) != len(b) {
		return false
	}
	for _, h := range a {
		if !slices.ContainsFunc(b, func(o fleet.ResidentModel) bool { return o.Model == h.Model }) {
			return false
		}
	}
	return true
}

// report reads the engine's state into the ledger; e.turn is held. A move that was
// planned before is outdated by it.
func (p *Placer) report(ctx context.Context, e *engine, s fleet.Server) error {
	r, err := p.Engines.Report(ctx, s)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if r.Busy || r.Born != p.servers[s.ID].StartedAtMS || !sameModels(r.Held, p.servers[s.ID].Resident) {
		e.blocked = now.Add(pause)
		return &UnsettledError{Server: s.ID, Busy: r.Busy}
	}
	e.sequence = r.Sequence
	p.loads.Acknowledged(now, s.ID, r.Sequence)
	e.reads++
	e.known, e.stale = true, false
	if e.inherited {
		e.coming, e.inherited = "", false // it isn't busy, and its entry lacks the model
	}
	e.replace(now, r)
	return nil
}

// replace replaces the ledger's adapters by those of a report. The report is
// some hundred milliseconds old, so what was ordered since stays, and so does what may
// still come late.
func (e *engine) replace(now time.Time, r platform.Report) {
	there := map[string]time.Time{}
	for _, list := range [][]fleet.ResidentModel{r.Held, r.Coming} {
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
	for key, l := range e.late {
		if r.Sequence > l.number || now.After(l.until) {
			delete(e.late, key) // the report tells whether it came
			continue
		}
		if used, held := e.adapters[key]; held {
			there[key] = used
		}
	}
	e.adapters = there
}
