package residency

const (
	// minLoadRatio is the minimum ratio between the remaining load of the source engine and
	// the resulting load of the target engine of a swap. It keeps copies from moving back
	// and forth.
	minLoadRatio = 0.8
	// enginesPerSwap limits the engines that wait for the other model of a swap to one in
	// enginesPerSwap.
	enginesPerSwap = 6
)

// spreadBusyCopies moves copies of busy models from engines that hold several of them to
// engines that hold only last copies of other models, by a swap: the busy copy is unloaded,
// the last copy is loaded in its place, and can then be evicted from its previous engine.
// With 131 models and 180 places a quarter of the engines held only last copies of idle
// models and had one request a second, while others had 28. Each swap takes two loads of
// several seconds; with demand that cost more than it gained (0.720 of the total request
// value without swaps, 0.703 with them, means of five simulated runs).
func (p *planner) spreadBusyCopies() {
	reservations := 0
	for i := range p.in.Servers {
		if p.in.Servers[i].ReservedFor != "" {
			reservations++
		}
	}
	tried := map[*Server]bool{}
	for ; reservations < max(1, len(p.in.Servers)/enginesPerSwap); reservations++ {
		to := p.leastLoadedTarget(tried)
		if to == nil {
			return
		}
		tried[to] = true
		from, busyModel := p.mostLoadedSource(to)
		if from == nil {
			return
		}
		idleModel, ok := p.leastLoadedModel(to, from)
		if !ok {
			continue
		}
		from.ReservedFor, from.ReservedReason = idleModel, Spread
		p.unload(from, busyModel, Spread, idleModel)
	}
}

// leastLoadedTarget returns the least loaded engine that has not been tried, holds only last
// copies and has no room for the smallest model, or nil.
func (p *planner) leastLoadedTarget(tried map[*Server]bool) *Server {
	var best *Server
	for i := range p.in.Servers {
		s := &p.in.Servers[i]
		if tried[s] || !p.available(s) || !p.onlyLastCopiesExcept(s, "") || p.freeMemory(s) >= p.sizes.Smallest() {
			continue
		}
		if best == nil || p.serverLoad(s) < p.serverLoad(best) {
			best = s
		}
	}
	return best
}

// mostLoadedSource returns the most loaded engine that has a copy to move to another engine,
// and the model of that copy, or nil.
func (p *planner) mostLoadedSource(to *Server) (*Server, string) {
	var best *Server
	var model string
	for i := range p.in.Servers {
		s := &p.in.Servers[i]
		if !p.available(s) || best != nil && p.serverLoad(s) <= p.serverLoad(best) {
			continue
		}
		if m, ok := p.modelToMove(s, to); ok {
			best, model = s, m
		}
	}
	return best, model
}

// modelToMove returns the model with the highest load per copy that may move from one engine
// to another while the source keeps at least minLoadRatio of the load that the target gets.
func (p *planner) modelToMove(from, to *Server) (string, bool) {
	var model string
	maxLoad := minLoadPerCopy
	for _, h := range from.Resident {
		n := p.copies[h.Model]
		if n < 2 || p.serving[h.Model] < 2 || to.Holds(h.Model, "") {
			continue
		}
		load := p.in.Load[h.Model] / float64(n)
		if load > maxLoad && p.serverLoad(from)-load >= minLoadRatio*(p.serverLoad(to)+load) {
			model, maxLoad = h.Model, load
		}
	}
	return model, model != ""
}

// leastLoadedModel returns the model with the least load that the first engine holds and the
// second does not.
func (p *planner) leastLoadedModel(of, without *Server) (string, bool) {
	var model string
	for _, h := range of.Resident {
		if without.Holds(h.Model, "") {
			continue
		}
		if model == "" || p.in.Load[h.Model] < p.in.Load[model] {
			model = h.Model
		}
	}
	return model, model != ""
}
