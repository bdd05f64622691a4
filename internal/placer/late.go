package placer

import (
	"time"

	"guavapaddle/core/fleet"
	"guavapaddle/platform"
)

// lateLoad is the load of an adapter that got no answer: the engine may still carry it
// out, if it has accepted as many orders as the load names. Until that is ruled out
// the adapter keeps its place and makes no room for others. Without it an engine was
// given nine adapters for eight places in 2 of 300 plays of 60 s with 18 engines, half
// of whose orders came late, in simulated time.
type lateLoad struct {
	number int64     // orders that the engine must have accepted before
	until  time.Time // when the engine has given it up
}

// settle rules out the late loads that carry the number of an order which the engine
// has accepted: only one order of a number is carried out.
func (e *engine) settle(o platform.Order) {
	for key, l := range e.late {
		if l.number != o.Sequence {
			continue
		}
		delete(e.late, key)
		if key != o.Model+"/"+o.Adapter {
			delete(e.adapters, key)
		}
	}
}

// models returns the models that take memory at an engine with an entry.
func (e *engine) models(s fleet.Server) []string {
	var out []string
	for _, h := range s.Resident {
		out = append(out, h.Model)
	}
	for _, m := range []string{e.coming, e.going} {
		if m != "" && !s.Holds(m, "") {
			out = append(out, m)
		}
	}
	return out
}
