package engine

import (
	"maps"
	"slices"
	"strings"

	"guavapaddle/core/backend"
)

type (
	// entry is an item that holds bytes.
	entry struct {
		state   backend.ItemState
		bytes   int64
		users   int    // requests of the item that are not done
		pending bool   // its load still runs
		order   string // id of the order under way, empty if none
	}

	// memory is the accelerator memory of an engine.
	memory struct {
		total, used, peak int64
		items             map[backend.Item]*entry
	}
)

// reserve takes bytes for an item that is absent. It returns false and changes
// nothing if they don't fit.
func (m *memory) reserve(i backend.Item, bytes int64) bool {
	if bytes < 0 || bytes > m.total-m.used {
		return false
	}
	m.used += bytes
	m.peak = max(m.peak, m.used)
	m.items[i] = &entry{state: backend.Loading, bytes: bytes, pending: true}
	return true
}

// release frees an item's bytes if it is unloading and nothing uses it, and
// tells whether it did.
func (m *memory) release(i backend.Item) bool {
	e, ok := m.items[i]
	if !ok || e.state != backend.Unloading || e.users > 0 || e.pending {
		return false
	}
	m.drop(i)
	return true
}

// drop frees an item's bytes.
func (m *memory) drop(i backend.Item) {
	m.used -= m.items[i].bytes
	delete(m.items, i)
}

// resident tells whether an item serves.
func (m *memory) resident(i backend.Item) bool {
	e, ok := m.items[i]
	return ok && e.state == backend.Resident
}

// base tells whether any version of a model other than not serves.
func (m *memory) base(model string, not backend.Item) bool {
	for i, e := range m.items {
		if i.Base == "" && i.Name == model && i != not && e.state == backend.Resident {
			return true
		}
	}
	return false
}

// adapters tells whether an adapter of a model holds bytes and is not about to
// free them.
func (m *memory) adapters(model string) bool {
	for i, e := range m.items {
		if i.Base == model && e.state != backend.Unloading {
			return true
		}
	}
	return false
}

// status returns all items in order of name.
func (m *memory) status() []backend.ItemStatus {
	keys := slices.SortedFunc(maps.Keys(m.items), func(a, b backend.Item) int {
		return strings.Compare(a.String(), b.String())
	})
	out := make([]backend.ItemStatus, 0, len(keys))
	for _, i := range keys {
		out = append(out, backend.ItemStatus{Item: i, State: m.items[i].state, Bytes: m.items[i].bytes})
	}
	return out
}
