package residency

import (
	"slices"
	"strings"
)

// placeLimited gives one more copy, or begins to make room for it, to each model whose
// servers all accept no more requests, in descending order of load. Load alone would not
// justify the copy: a server may announce a rate limit far below what its slots could serve.
func (p *planner) placeLimited() {
	for _, m := range p.limitedModels() {
		if !p.load(m, Limited) {
			p.makeRoom(ModelAt{Model: m}, p.in.Load[m], false)
		}
	}
}

// limitedModels returns the models that need a copy on another server and have none pending,
// in descending order of load.
func (p *planner) limitedModels() []string {
	pendingModels := map[string]bool{}
	for i := range p.in.Servers {
		s := &p.in.Servers[i]
		pendingModels[s.Loading], pendingModels[s.ReservedFor] = true, true
	}
	var out []string
	for m := range p.in.Limited {
		if _, declared := p.in.Engine.Models[m]; declared && !pendingModels[m] {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		switch x, y := p.in.Load[a], p.in.Load[b]; {
		case x > y:
			return -1
		case x < y:
			return 1
		default:
			return strings.Compare(a, b)
		}
	})
	return out
}
