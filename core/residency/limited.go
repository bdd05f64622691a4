package residency

import (
	"slices"
	"strings"
)

// placeLimited gives each model whose servers take no more requests one more copy, or begins
// to make room for it, those with the most load first. Its load alone would not bring it one:
// a server may name a rate far below what its slots would bear.
func (p *planner) placeLimited() {
	for _, m := range p.limited() {
		if !p.load(m, Limited) {
			p.makeRoom(m, p.in.Load[m], false)
		}
	}
}

// limited returns the models that need a copy elsewhere and don't get one already, in order.
func (p *planner) limited() []string {
	coming := map[string]bool{}
	for i := range p.in.Servers {
		s := &p.in.Servers[i]
		coming[s.Coming], coming[s.Kept] = true, true
	}
	var out []string
	for m := range p.in.Limited {
		if _, declared := p.in.Engine.Models[m]; declared && !coming[m] {
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
