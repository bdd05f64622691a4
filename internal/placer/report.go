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

// EngineUnsettledError reports that the memory use of an engine can't be computed, because the
// engine is executing an order, has restarted since its entry was written, or holds other
// models than its entry lists.
type EngineUnsettledError struct {
	Server string
	Busy   bool
}

// Error implements error and names the engine.
func (e *EngineUnsettledError) Error() string { return "placer: engine " + e.Server + " is changing" }

// enginesToRead returns the engines whose state has to be read from a report before they can
// get an order, and marks them as being read.
func (p *Placer) enginesToRead(now time.Time) []fleet.Server {
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
		if e.reading || !e.needsReport() || now.Before(e.blockedUntil) || e.isChanging() {
			continue
		}
		e.reading = true
		out = append(out, s)
	}
	return out
}

// needsReport reports whether the record has to be read from a report of the engine.
func (e *engine) needsReport() bool { return e.sequence < 0 || !e.adaptersKnown || e.stale }

// isChanging reports whether an order of this leader is being executed.
func (e *engine) isChanging() bool { return (e.loading != "" || e.unloading != "") && !e.inherited }

// needsReport reports whether an engine's record has to be read from a report.
func (p *Placer) needsReport(e *engine) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return e.needsReport()
}

// isPlanStale reports whether an engine's record was read again, or has to be, since the
// last move was planned. The move may no longer fit then: a load started by a previous
// leader may have completed in between.
func (p *Placer) isPlanStale(e *engine) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return e.needsReport() || e.reads != e.plannedReads
}

// sequence returns the number of orders that an engine has accepted, negative if unknown.
func (p *Placer) sequence(e *engine) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return e.sequence
}

// invalidateAdapters has an engine's record read again.
func (p *Placer) invalidateAdapters(e *engine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.adaptersKnown = false
}

// readEngine reads an engine's report before an order is planned for it. A plan that
// includes an engine which turns out to be busy loses seconds: after a change of leader nine
// of ten orders were planned for engines that were still executing orders of the previous
// leader, and were not sent.
func (p *Placer) readEngine(ctx context.Context, s fleet.Server) {
	p.mu.Lock()
	e := p.engine(s.ID)
	p.mu.Unlock()
	if e.callSem.Acquire(ctx, 1) != nil {
		return // the node is shutting down
	}
	defer e.callSem.Release(1)
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := p.readReport(ctx, e, s)
	p.mu.Lock()
	defer p.mu.Unlock()
	e.reading = false
	var unsettled *EngineUnsettledError
	if err == nil || errors.As(err, &unsettled) {
		return
	}
	e.blockedUntil = time.Now().Add(engineBackoff)
	p.Log.Warn("engine-unread", zap.String("server", s.ID), zap.Error(err))
}

// sameModels reports whether two lists contain the same models.
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

// readReport reads the engine's state into its record, which invalidates moves planned
// before; e.callSem is held.
func (p *Placer) readReport(ctx context.Context, e *engine, s fleet.Server) error {
	r, err := p.Engines.Report(ctx, s)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if r.Busy || r.StartedAtMS != p.servers[s.ID].StartedAtMS || !sameModels(r.Resident, p.servers[s.ID].Resident) {
		e.blockedUntil = now.Add(engineBackoff)
		return &EngineUnsettledError{Server: s.ID, Busy: r.Busy}
	}
	e.sequence = r.Sequence
	p.loads.Acknowledged(now, s.ID, r.Sequence)
	e.reads++
	e.adaptersKnown, e.stale = true, false
	if e.inherited {
		e.loading, e.inherited = "", false // the engine isn't busy and its entry doesn't list the model
	}
	e.replaceAdapters(now, r)
	return nil
}

// replaceAdapters replaces the recorded adapters by those of a report. The report is some
// hundred milliseconds old, so adapters ordered since are kept, and so are those whose load
// may still be executed late.
func (e *engine) replaceAdapters(now time.Time, r platform.Report) {
	current := map[string]time.Time{}
	for _, list := range [][]fleet.ResidentModel{r.Resident, r.Loading} {
		for _, h := range list {
			for _, a := range h.Adapters {
				key := h.Model + "/" + a
				current[key] = now.Add(-demandDecay)
				if at, ok := e.adapters[key]; ok {
					current[key] = at
				}
			}
		}
	}
	for key, at := range e.orderedAt {
		used, held := e.adapters[key]
		if held && now.Sub(at) < maxReportAge {
			current[key] = used
		}
		if now.Sub(at) > orderLifetime {
			delete(e.orderedAt, key)
		}
	}
	for key, l := range e.unacked {
		if r.Sequence > l.sequence || now.After(l.expires) {
			delete(e.unacked, key) // the report shows whether it was loaded
			continue
		}
		if used, held := e.adapters[key]; held {
			current[key] = used
		}
	}
	for model, l := range e.late {
		if r.Sequence > l.sequence || now.After(l.expires) {
			delete(e.late, model) // the report shows whether it was loaded
		}
	}
	e.adapters = current
}
