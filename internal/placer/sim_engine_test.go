package placer_test

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"guavapaddle/core/fleet"
	"guavapaddle/internal/clock"
	"guavapaddle/platform"
)

const (
	// Figures of the sheet of Kabinaki's deployment.
	simWeightsMB    = 220000.0
	simPlaces       = 8
	simAdapterMB    = 66.0
	simFromStore    = 8600 * time.Millisecond
	simFromDisk     = 1700 * time.Millisecond
	simAdapterLoad  = 19 * time.Millisecond
	simReportLag    = 300 * time.Millisecond // "some hundred ms"
	simLateAfter    = 2 * time.Second        // an order without an answer is carried out
	simLateBefore   = 12 * time.Second       // after 2 to 12 s
	simUnloadMost   = 5 * time.Second        // requests that an unload waits for
	simUseMost      = 3 * time.Second        // requests that use an adapter
	simAnswerMost   = 40 * time.Millisecond  // an answer that isn't lost
	simStates       = 64                     // states remembered for reports
	simAdapterInUse = 0.3
)

// errNoAnswer stands for a call without an answer.
var errNoAnswer = errors.New("no answer")

type (
	// simEngine plays a model engine in simulated time, as the platform's protocol
	// describes it.
	simEngine struct {
		id    string
		world *world

		mu       sync.Mutex
		rng      *rand.Rand
		starts   int // number of the incarnation
		born     int64
		sequence int64
		fence    int64
		models   map[string]bool // in memory; also those that wait for their requests
		leaving  map[string]bool // of these, ordered to go
		loading  string
		adapters map[string]bool // model/adapter, in memory or in transit
		transit  map[string]bool
		going    map[string]bool // adapters that go once unused
		disk     map[string]bool
		past     []simReport
		lossy    float64 // share of the orders that get no answer
		entry    fleet.Server
	}

	simReport struct {
		at     time.Time
		report platform.Report
	}

	// simEngines is how a node reaches all engines.
	simEngines struct{ world *world }
)

func newSimEngine(w *world, id string, models ...string) *simEngine {
	e := &simEngine{id: id, world: w, rng: w.fork(), disk: map[string]bool{}}
	e.reset()
	for _, m := range models {
		e.models[m] = true
		e.disk[m] = true
	}
	e.changed()
	return e
}

// reset empties the engine for a new incarnation; e.mu is held or e is new.
func (e *simEngine) reset() {
	e.starts++
	e.born = time.Now().UnixMilli()
	e.sequence, e.fence, e.loading = 0, 0, ""
	e.models, e.leaving, e.adapters = map[string]bool{}, map[string]bool{}, map[string]bool{}
	e.transit, e.going, e.past = map[string]bool{}, map[string]bool{}, nil
}

// restart ends the engine and starts it again under its id, without what it held.
func (e *simEngine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reset()
	e.changed()
}

// changed notes the state for later reports and writes the entry; e.mu is held.
func (e *simEngine) changed() {
	r := platform.Report{Busy: e.loading != "" || len(e.leaving) > 0, Sequence: e.sequence, Born: e.born}
	for _, m := range slices.Sorted(maps.Keys(e.models)) {
		if e.leaving[m] {
			continue
		}
		h := fleet.ResidentModel{Model: m}
		for key := range e.adapters {
			if model, a := split(key); model == m && !e.transit[key] {
				h.Adapters = append(h.Adapters, a)
			}
		}
		r.Held = append(r.Held, h)
	}
	for key := range e.adapters {
		if m, a := split(key); e.transit[key] || e.leaving[m] {
			r.Coming = append(r.Coming, fleet.ResidentModel{Model: m, Adapters: []string{a}})
		}
	}
	e.past = append(e.past, simReport{time.Now(), r})
	if len(e.past) > simStates {
		e.past = e.past[1:]
	}
	e.entry = fleet.Server{ID: e.id, StartedAtMS: e.born, Service: simService, Address: e.id, Slots: 64, Resident: r.Held,
		OnDisk: slices.Sorted(maps.Keys(e.disk)), Version: e.world.nextVersion()}
}

// listed returns the entry as last written.
func (e *simEngine) listed() fleet.Server {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.entry
}

// lose has a share of the orders go without an answer.
func (e *simEngine) lose(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lossy = share
}

// draw returns a wait of up to most, and whether an order is lost and how.
func (e *simEngine) draw(most time.Duration) (wait time.Duration, lost bool, how int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(e.rng.Int64N(int64(most))), e.rng.Float64() < e.lossy, e.rng.IntN(4)
}

// between draws a time.
func (e *simEngine) between(least, most time.Duration) time.Duration {
	return least + time.Duration(e.rng.Int64N(int64(most-least)))
}

// Give implements placer.Engines. Of the orders that are lost half come 2 to 12 s
// late, a quarter is carried out at once, and a quarter never arrives.
func (s *simEngines) Give(ctx context.Context, f fleet.Server, o platform.Order) (platform.Verdict, error) {
	e := s.world.engine(f.ID)
	wait, lost, how := e.draw(simAnswerMost)
	if !clock.Sleep(ctx, wait/2) {
		return 0, ctx.Err()
	}
	if !lost {
		v := e.order(o)
		if !clock.Sleep(ctx, wait/2) {
			return 0, ctx.Err()
		}
		return v, nil
	}
	switch how {
	case 0:
	case 1:
		e.order(o)
	default:
		e.mu.Lock()
		late := e.between(simLateAfter, simLateBefore)
		e.mu.Unlock()
		time.AfterFunc(late, func() { e.order(o) })
	}
	<-ctx.Done()
	return 0, errNoAnswer
}

// Report implements placer.Engines.
func (s *simEngines) Report(ctx context.Context, f fleet.Server) (platform.Report, error) {
	e := s.world.engine(f.ID)
	wait, _, _ := e.draw(simAnswerMost)
	if !clock.Sleep(ctx, wait) {
		return platform.Report{}, ctx.Err()
	}
	return e.report(), nil
}

// report returns the state as it was up to simReportLag ago.
func (e *simEngine) report() platform.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := time.Now().Add(-e.between(0, simReportLag))
	i := len(e.past) - 1
	for i > 0 && e.past[i].at.After(at) {
		i--
	}
	return e.past[i].report
}

// order carries an order out, or begins to, and checks that there is room.
func (e *simEngine) order(o platform.Order) platform.Verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case o.Fence < e.fence:
		return platform.Fenced
	case o.Sequence >= 0 && o.Sequence != e.sequence:
		return platform.Conflict
	case o.Adapter == "" && (e.loading != "" || len(e.leaving) > 0):
		return platform.Conflict
	}
	e.fence = o.Fence
	switch {
	case o.Load && o.Adapter == "":
		return e.loadModel(o.Model)
	case o.Load:
		return e.loadAdapter(o.Model, o.Model+"/"+o.Adapter)
	case o.Adapter == "":
		return e.unloadModel(o.Model)
	default:
		return e.unloadAdapter(o.Model + "/" + o.Adapter)
	}
}

// accept counts an order; e.mu is held.
func (e *simEngine) accept() {
	e.sequence++
	e.changed()
}

// later runs f after a time unless the engine has started again; e.mu is held.
func (e *simEngine) later(d time.Duration, f func()) {
	starts := e.starts
	time.AfterFunc(d, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.starts == starts {
			f()
			e.changed()
		}
	})
}

func (e *simEngine) loadModel(model string) platform.Verdict {
	if e.models[model] {
		return platform.Already
	}
	took := simFromDisk
	if !e.disk[model] {
		took = simFromStore
		e.world.began(e.id, model)
	}
	e.loading = model
	e.check()
	e.disk[model] = true
	e.later(took, func() { e.models[model], e.loading = true, "" })
	e.accept()
	return platform.Begun
}

func (e *simEngine) unloadModel(model string) platform.Verdict {
	if !e.models[model] {
		return platform.Already
	}
	e.leaving[model] = true
	e.later(e.between(0, simUnloadMost), func() {
		delete(e.models, model)
		delete(e.leaving, model)
		for key := range e.adapters {
			if m, _ := split(key); m == model {
				e.drop(key)
			}
		}
	})
	e.accept()
	return platform.Begun
}

func (e *simEngine) loadAdapter(model, key string) platform.Verdict {
	if e.adapters[key] {
		return platform.Already
	}
	if !e.models[model] || e.leaving[model] {
		return platform.Elsewhere
	}
	e.adapters[key], e.transit[key] = true, true
	e.check()
	e.later(simAdapterLoad, func() { delete(e.transit, key) })
	e.accept()
	return platform.Begun
}

func (e *simEngine) unloadAdapter(key string) platform.Verdict {
	if !e.adapters[key] {
		return platform.Already // nothing was accepted, so nothing is counted
	}
	if e.rng.Float64() >= simAdapterInUse {
		e.drop(key)
		e.accept()
		return platform.Already
	}
	e.going[key] = true
	e.later(e.between(0, simUseMost), func() {
		if e.going[key] {
			e.drop(key)
		}
	})
	e.accept()
	return platform.Begun
}

// drop frees the place of an adapter; e.mu is held.
func (e *simEngine) drop(key string) {
	delete(e.adapters, key)
	delete(e.transit, key)
	delete(e.going, key)
}

// check notes a load for which there is no room; e.mu is held.
func (e *simEngine) check() {
	mb := e.world.megabytes(e.loading) + simAdapterMB*float64(len(e.adapters))
	for m := range e.models {
		mb += e.world.megabytes(m)
	}
	if mb > simWeightsMB || len(e.adapters) > simPlaces {
		e.world.overcommitted(e.id, slices.Sorted(maps.Keys(e.models)), e.loading, len(e.adapters))
	}
}
