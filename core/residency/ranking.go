package residency

import "container/heap"

type (
	// ranking orders the models that have a copy and are worth a further one by the
	// load that each copy would have then. What it knows of a model is checked when the
	// model comes first, so that a plan that adds a copy needn't look at all models.
	ranking struct {
		p    *planner
		list ranked
	}

	// ranked is a heap, the most load first.
	ranked []loaded

	// loaded is a model and the load for each copy with one more, as last reckoned.
	loaded struct {
		model string
		load  float64
	}
)

// rank returns the ranking of all models.
func (p *planner) rank() *ranking {
	r := &ranking{p: p}
	for m := range p.in.Load {
		if _, declared := p.in.Engine.Models[m]; !declared {
			continue
		}
		if l, ok := r.worth(m); ok {
			r.list = append(r.list, loaded{m, l})
		}
	}
	heap.Init(&r.list)
	return r
}

// worth returns the load for each copy of a model if it had one more than it has or
// than room is being made for, and whether such a copy is worth it.
func (r *ranking) worth(model string) (float64, bool) {
	n := r.p.copies[model] + r.p.promised[model]
	if n == 0 || n >= len(r.p.in.Servers) {
		return 0, false
	}
	l := r.p.withOneMore(model, n)
	return l, l >= worthACopy
}

// first returns the model with the most load, and false if none is worth a copy.
func (r *ranking) first() (loaded, bool) {
	for len(r.list) > 0 {
		l, ok := r.worth(r.list[0].model)
		switch {
		case !ok:
			r.drop()
		case l != r.list[0].load:
			r.list[0].load = l
			heap.Fix(&r.list, 0)
		default:
			return r.list[0], true
		}
	}
	return loaded{}, false
}

// drop leaves out the model that is first.
func (r *ranking) drop() { heap.Pop(&r.list) }

// add takes in a model that has a copy less than before.
func (r *ranking) add(model string) {
	if l, ok := r.worth(model); ok {
		heap.Push(&r.list, loaded{model, l})
	}
}

// Len implements heap.Interface.
func (l ranked) Len() int { return len(l) }

// Less implements heap.Interface.
func (l ranked) Less(i, j int) bool {
	if l[i].load != l[j].load {
		return l[i].load > l[j].load
	}
	return l[i].model < l[j].model
}

// Swap implements heap.Interface.
func (l ranked) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

// Push implements heap.Interface.
func (l *ranked) Push(x any) { *l = append(*l, x.(loaded)) }

// Pop implements heap.Interface.
func (l *ranked) Pop() any {
	last := len(*l) - 1
	x := (*l)[last]
	*l = (*l)[:last]
	return x
}
