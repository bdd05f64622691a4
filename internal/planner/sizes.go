package planner

import (
	"guavapaddle/core/backend"
	"guavapaddle/core/config"
)

// sizes holds the bytes of models and adapters by name. A version that is no longer
// declared counts as the size of the declared one.
type sizes struct{ models, adapters map[string]int64 }

func sizesOf(d *config.Document) sizes {
	s := sizes{models: make(map[string]int64, len(d.Models)), adapters: make(map[string]int64, len(d.Adapters))}
	for _, m := range d.Models {
		s.models[m.Name] = m.Bytes
	}
	for _, a := range d.Adapters {
		s.adapters[a.Name] = a.Bytes
	}
	return s
}

// of returns the bytes of an item, or zero if its name is not declared.
func (s sizes) of(i backend.Item) int64 {
	if i.Base != "" {
		return s.adapters[i.Name]
	}
	return s.models[i.Name]
}
