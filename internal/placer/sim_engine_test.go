package placer_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"guavapaddle/core/fleet"
	"guavapaddle/internal/clock"
	"guavapaddle/platform"
)

const (
	// Figures of the deployment sheet of Kabinaki.
	simWeightsMB         = 220000.0
	simAdapterSlots      = 8
	simAdapterMB         = 66.0
	simFromStore         = 8600 * time.Millisecond
	simFromDisk          = 1700 * time.Millisecond
	simAdapterLoad       = 19 * time.Millisecond
	simReportLag         = 300 * time.Millisecond // "some hundred ms"
	simMinDelay          = 2 * time.Second        // an order without a reply is executed
	simMaxDelay          = 12 * time.Second       // after 2 to 12 s
	simMaxUnload         = 5 * time.Second        // duration of requests that an unload waits for
	simMaxUse            = 3 * time.Second        // duration of requests that use an adapter
	simMaxLatency        = 40 * time.Millisecond  // latency of a reply that isn't lost
	simMaxHistory        = 64                     // states remembered for reports
	simMaxOrders         = 40                     // orders remembered for the message of a failure
	simAdapterInUseShare = 0.3
)

// errNoReply is the error of a call without a reply.
var errNoReply = errors.New("no reply")

type (
	// simEngine simulates a model engine according to the platform's protocol.
	simEngine struct {
		id    string
		world *simWorld

		mu                sync.Mutex
		rng               *rand.Rand
		starts            int // number of the incarnation
		startedAtMS       int64
		sequence          int64
		fence             int64
		models            map[string]bool // in memory, including those whose unload waits for requests
		unloading         map[string]bool // models whose unload was ordered
		loading           string
		adapters          map[string]bool // model/adapter, in memory or loading
		loadingAdapters   map[string]bool
		unloadingAdapters map[string]bool // adapters to be unloaded once unused
		disk              map[string]bool
		history           []simReport
		orders            []string // the last ones that were sent or executed, for the message of a failure
		lossRate          float64  // share of the orders that get no reply
		entry             fleet.Server
	}

	simReport struct {
		at     time.Time
		report platform.Report
	}

	// simEngines implements placer.Engines for all simulated engines.
	simEngines struct{ world *simWorld }
)

func newSimEngine(w *simWorld, id string, models ...string) *simEngine {
	e := &simEngine{id: id, world: w, rng: w.newRand(), disk: map[string]bool{}}
	e.reset()
	for _, m := range models {
		e.models[m] = true
		e.disk[m] = true
	}
	e.publishState()
	return e
}

// reset clears the engine for a new incarnation; e.mu is held or e is new.
func (e *simEngine) reset() {
	e.starts++
	e.startedAtMS = time.Now().UnixMilli()
	e.sequence, e.fence, e.loading = 0, 0, ""
	e.models, e.unloading, e.adapters = map[string]bool{}, map[string]bool{}, map[string]bool{}
	e.loadingAdapters, e.unloadingAdapters, e.history = map[string]bool{}, map[string]bool{}, nil
}

// restart starts the engine again under its ID, without its previous content.
func (e *simEngine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reset()
	e.publishState()
}

// publishState records the state for later reports and writes the entry; e.mu is held.
func (e *simEngine) publishState() {
	r := platform.Report{Busy: e.loading != "" || len(e.unloading) > 0, Sequence: e.sequence, StartedAtMS: e.startedAtMS}
	for _, m := range slices.Sorted(maps.Keys(e.models)) {
		if e.unloading[m] {
			continue
		}
		h := fleet.ResidentModel{Model: m}
		for key := range e.adapters {
			if model, a := splitKey(key); model == m && !e.loadingAdapters[key] {
				h.Adapters = append(h.Adapters, a)
			}
		}
		r.Resident = append(r.Resident, h)
	}
	for key := range e.adapters {
		if m, a := splitKey(key); e.loadingAdapters[key] || e.unloading[m] {
			r.Loading = append(r.Loading, fleet.ResidentModel{Model: m, Adapters: []string{a}})
		}
	}
	e.history = append(e.history, simReport{time.Now(), r})
	if len(e.history) > simMaxHistory {
		e.history = e.history[1:]
	}
	e.entry = fleet.Server{ID: e.id, StartedAtMS: e.startedAtMS, Service: simService, Address: e.id, Slots: 64, Resident: r.Resident,
		OnDisk: slices.Sorted(maps.Keys(e.disk)), Version: e.world.nextVersion()}
}

// currentEntry returns the entry as last written.
func (e *simEngine) currentEntry() fleet.Server {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.entry
}

// setLossRate sets the share of the orders that get no reply.
func (e *simEngine) setLossRate(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lossRate = share
}

// draw returns a random delay below the maximum, whether an order is lost, and how.
func (e *simEngine) draw(limit time.Duration) (wait time.Duration, lost bool, how int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(e.rng.Int64N(int64(limit))), e.rng.Float64() < e.lossRate, e.rng.IntN(4)
}

// between returns a random duration in the given range.
func (e *simEngine) between(lower, upper time.Duration) time.Duration {
	return lower + time.Duration(e.rng.Int64N(int64(upper-lower)))
}

// SendOrder implements placer.Engines. Of the lost orders half are executed 2 to 12 s late, a
// quarter is executed at once, and a quarter is never executed.
func (s *simEngines) SendOrder(ctx context.Context, f fleet.Server, o platform.Order) (platform.Verdict, error) {
	e := s.world.engine(f.ID)
	s.world.recordHolder(o)
	e.mu.Lock()
	e.recordOrder("sent", o)
	e.mu.Unlock()
	wait, lost, how := e.draw(simMaxLatency)
	if !clock.Sleep(ctx, wait/2) {
		return 0, ctx.Err()
	}
	if !lost {
		v := e.execute(o)
		if !clock.Sleep(ctx, wait/2) {
			return 0, ctx.Err()
		}
		return v, nil
	}
	switch how {
	case 0:
	case 1:
		e.execute(o)
	default:
		e.mu.Lock()
		late := e.between(simMinDelay, simMaxDelay)
		e.mu.Unlock()
		time.AfterFunc(late, func() { e.execute(o) })
	}
	<-ctx.Done()
	return 0, errNoReply
}

// Report implements placer.Engines.
func (s *simEngines) Report(ctx context.Context, f fleet.Server) (platform.Report, error) {
	e := s.world.engine(f.ID)
	wait, _, _ := e.draw(simMaxLatency)
	if !clock.Sleep(ctx, wait) {
		return platform.Report{}, ctx.Err()
	}
	return e.report(), nil
}

// report returns the state of the engine at a random time within the last simReportLag.
func (e *simEngine) report() platform.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := time.Now().Add(-e.between(0, simReportLag))
	i := len(e.history) - 1
	for i > 0 && e.history[i].at.After(at) {
		i--
	}
	return e.history[i].report
}

// execute executes an order, or starts to, and checks that there is room.
func (e *simEngine) execute(o platform.Order) (v platform.Verdict) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer func() { e.recordOrder(v.String(), o) }()
	switch {
	case o.Fence < e.fence:
		return platform.Fenced
	case o.Sequence >= 0 && o.Sequence != e.sequence:
		return platform.Conflict
	case o.Adapter == "" && (e.loading != "" || len(e.unloading) > 0):
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

// recordOrder records an order for the message of a failure; e.mu is held.
func (e *simEngine) recordOrder(what string, o platform.Order) {
	order := "unload"
	if o.Load {
		order = "load"
	}
	e.orders = append(e.orders, fmt.Sprintf("%v %s %s %s/%s of %s, number %d: engine has accepted %d, %d adapters", time.Since(e.world.origin).Truncate(time.Millisecond), what, order, o.Model, o.Adapter, o.Holder, o.Sequence, e.sequence, len(e.adapters)))
	e.orders = e.orders[max(0, len(e.orders)-simMaxOrders):]
}

// accept counts an accepted order; e.mu is held.
func (e *simEngine) accept() {
	e.sequence++
	e.publishState()
}

// after runs f after a delay unless the engine has restarted meanwhile; e.mu is held.
func (e *simEngine) after(d time.Duration, f func()) {
	starts := e.starts
	time.AfterFunc(d, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.starts == starts {
			f()
			e.publishState()
		}
	})
}

func (e *simEngine) loadModel(model string) platform.Verdict {
	if e.models[model] {
		return platform.Done
	}
	took := simFromDisk
	if !e.disk[model] {
		took = simFromStore
		e.world.loadStarted(e.id, model)
	}
	e.loading = model
	e.checkRoom()
	e.disk[model] = true
	e.after(took, func() { e.models[model], e.loading = true, "" })
	e.accept()
	return platform.Accepted
}

func (e *simEngine) unloadModel(model string) platform.Verdict {
	if !e.models[model] {
		return platform.Done
	}
	e.unloading[model] = true
	e.after(e.between(0, simMaxUnload), func() {
		delete(e.models, model)
		delete(e.unloading, model)
		for key := range e.adapters {
			if m, _ := splitKey(key); m == model {
				e.removeAdapter(key)
			}
		}
	})
	e.accept()
	return platform.Accepted
}

func (e *simEngine) loadAdapter(model, key string) platform.Verdict {
	if e.adapters[key] {
		return platform.Done
	}
	if !e.models[model] || e.unloading[model] {
		return platform.Elsewhere
	}
	e.adapters[key], e.loadingAdapters[key] = true, true
	e.checkRoom()
	e.after(simAdapterLoad, func() { delete(e.loadingAdapters, key) })
	e.accept()
	return platform.Accepted
}

func (e *simEngine) unloadAdapter(key string) platform.Verdict {
	if !e.adapters[key] {
		return platform.Done // not accepted, so not counted
	}
	if e.rng.Float64() >= simAdapterInUseShare {
		e.removeAdapter(key)
		e.accept()
		return platform.Done
	}
	e.unloadingAdapters[key] = true
	e.after(e.between(0, simMaxUse), func() {
		if e.unloadingAdapters[key] {
			e.removeAdapter(key)
		}
	})
	e.accept()
	return platform.Accepted
}

// removeAdapter frees the slot of an adapter; e.mu is held.
func (e *simEngine) removeAdapter(key string) {
	delete(e.adapters, key)
	delete(e.loadingAdapters, key)
	delete(e.unloadingAdapters, key)
}

// checkRoom records a load for which there is no room; e.mu is held.
func (e *simEngine) checkRoom() {
	mb := e.world.megabytes(e.loading) + simAdapterMB*float64(len(e.adapters))
	for m := range e.models {
		mb += e.world.megabytes(m)
	}
	if mb > simWeightsMB || len(e.adapters) > simAdapterSlots {
		e.world.logEvent("orders to "+e.id, strings.Join(e.orders, "\n  "))
		e.world.recordOvercommit(e.id, slices.Sorted(maps.Keys(e.models)), e.loading, len(e.adapters))
	}
}
