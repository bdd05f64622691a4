package residency

import "container/heap"

type (
	// ranking is a priority queue of the models that have a copy and enough load for a
	// further one, by the load per copy with that addition. Entries are revalidated lazily
	// when they reach the top, so that adding a copy does not require a scan of all models.
	ranking struct {
		p    *planner
		heap loadHeap
	}

	// loadHeap is a max-heap by load.
	loadHeap []modelLoad

	// modelLoad is a model with its load per copy after one addition, as last computed.
	modelLoad struct {
		model string
		load  float64
	}
)

// rank returns the ranking of all declared models with load.
func (p *planner) rank() *ranking {
	r := &ranking{p: p}
	for m := range p.in.Load {
		if _, declared := p.in.Engine.Models[m]; !declared {
			continue
		}
		if l, ok := r.loadForCopy(m); ok {
			r.heap = append(r.heap, modelLoad{m, l})
		}
	}
	heap.Init(&r.heap)
	return r
}

// loadForCopy returns the load per copy of a model with one more copy than it has or has
// reserved, and whether that reaches minLoadPerCopy.
func (r *ranking) loadForCopy(model string) (float64, bool) {
	n := r.p.copies[model] + r.p.reserved[model]
	if n == 0 || n >= len(r.p.in.Servers) {
		return 0, false
	}
	l := r.p.loadPerCopyWithOneMore(model, n)
	return l, l >= minLoadPerCopy
}

// top returns the model with the highest load per copy, or false if no model needs a further
// copy.
func (r *ranking) top() (modelLoad, bool) {
	for len(r.heap) > 0 {
		l, ok := r.loadForCopy(r.heap[0].model)
		switch {
		case !ok:
			r.removeTop()
		case l != r.heap[0].load:
			r.heap[0].load = l
			heap.Fix(&r.heap, 0)
		default:
			return r.heap[0], true
		}
	}
	return modelLoad{}, false
}

// removeTop removes the top model.
func (r *ranking) removeTop() { heap.Pop(&r.heap) }

// insert adds a model that has lost a copy.
func (r *ranking) insert(model string) {
	if l, ok := r.loadForCopy(model); ok {
		heap.Push(&r.heap, modelLoad{model, l})
	}
}

// Len implements heap.Interface.
func (l loadHeap) Len() int { return len(l) }

// Less implements heap.Interface.
func (l loadHeap) Less(i, j int) bool {
	if l[i].load != l[j].load {
		return l[i].load > l[j].load
	}
	return l[i].model < l[j].model
}

// Swap implements heap.Interface.
func (l loadHeap) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

// Push implements heap.Interface.
func (l *loadHeap) Push(x any) { *l = append(*l, x.(modelLoad)) }

// Pop implements heap.Interface.
func (l *loadHeap) Pop() any {
	last := len(*l) - 1
	x := (*l)[last]
	*l = (*l)[:last]
	return x
}
