package placer

import (
	"maps"
	"math"
	"slices"
	"time"

	"guavapaddle/core/fleet"
	"guavapaddle/platform"
)

// unackedLoad is an order to load an adapter or a model that got no reply. The engine may still execute
// it while its number of accepted orders equals the one in the order. Until that is ruled
// out the adapter keeps its slot and is not evicted. Without this rule engines got nine
// adapters for eight slots in 2 of 300 simulated runs of 60 s with 18 engines and half of
// the orders late.
type unackedLoad struct {
	sequence int64     // number of accepted orders that the order requires
	expires  time.Time // when the order can no longer be executed
}

// resolveUnacked removes the unacknowledged loads that carry the sequence number of an order
// which the engine has accepted: the engine executes only one order per number.
func (e *engine) resolveUnacked(o platform.Order) {
	for key, l := range e.unacked {
		if l.sequence != o.Sequence {
			continue
		}
		delete(e.unacked, key)
		if key != o.Model+"/"+o.Adapter {
			delete(e.adapters, key)
		}
	}
	for model, l := range e.late {
		if l.sequence == o.Sequence {
			delete(e.late, model)
		}
	}
}

// lateModels returns the models that the engine may still load by orders from before the record was renewed.
func (e *engine) lateModels(now time.Time) []string {
	var out []string
	for model, l := range e.late {
		if !now.After(l.expires) {
			out = append(out, model)
		}
	}
	return out
}

// renew returns the record of an engine of which nothing is known any more but the loads that it may still execute: it has
// started again, or its entry is gone and may come back. An order names the engine's number of accepted orders, which another process
// under the same id reaches as well. Calls under way still exclude others.
func (e *engine) renew(now time.Time) *engine {
	out := newEngine()
	out.callSem = e.callSem
	maps.Copy(out.late, e.late)
	if e.loading != "" && !e.accepted {
		l := unackedLoad{sequence: e.sequence, expires: now.Add(orderLifetime)}
		if e.inherited || l.sequence < 0 {
			l.sequence = math.MaxInt64 // unknown
		}
		out.late[e.loading] = l
	}
	for key, l := range e.unacked {
		out.unacked[key] = l
		out.adapters[key] = e.adapters[key]
	}
	return out
}

// hasNoUnacked reports whether the engine can't execute a load late any more.
func (e *engine) hasNoUnacked(now time.Time) bool {
	if len(e.lateModels(now)) > 0 {
		return false
	}
	for _, l := range e.unacked {
		if !now.After(l.expires) {
			return false
		}
	}
	return true
}

// modelsInMemory returns the models that occupy memory at an engine with the given entry.
func (e *engine) modelsInMemory(s fleet.Server) []string {
	var out []string
	for _, h := range s.Resident {
		out = append(out, h.Model)
	}
	for _, m := range append(slices.Sorted(maps.Keys(e.late)), e.loading, e.unloading) {
		if m != "" && !s.Holds(m, "") && !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}
