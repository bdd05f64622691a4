// Package memory keeps account of the accelerator memory of the engine
// stand-in: which items hold bytes and since when an item's bytes are free. It
// knows no clock; the engine guards it.
//
// # Usage
//
//	m := memory.New(100)
//	if !m.Reserve(item, 40) {
//		// It does not fit; nothing was changed.
//	}
//	m.Items[item].State = backend.Resident
package memory

import (
	"maps"
	"slices"
	"strings"

	"guavapaddle/core/backend"
)

type (
	// Entry is an item that holds bytes.
	Entry struct {
		State   backend.ItemState
		Bytes   int64
		Users   int    // requests of the item that are not done
		Pending bool   // its load still runs
		Order   string // id of the order under way, empty if none
	}

	// Memory is the accelerator memory of an engine, in bytes.
	Memory struct {
		Total, Used, Peak int64
		Items             map[backend.Item]*Entry
	}
)

// New returns an empty memory of total bytes.
func New(total int64) *Memory { return &Memory{Total: total, Items: map[backend.Item]*Entry{}} }

// Reserve takes bytes for an item that is absent. It returns false and changes
// nothing if they don't fit.
func (m *Memory) Reserve(i backend.Item, bytes int64) bool {
	if bytes < 0 || bytes > m.Total-m.Used {
		return false
	}
	m.Used += bytes
	m.Peak = max(m.Peak, m.Used)
	m.Items[i] = &Entry{State: backend.Loading, Bytes: bytes, Pending: true}
	return true
}

// Release frees an item's bytes if it is unloading and nothing uses it, and
// tells whether it did.
func (m *Memory) Release(i backend.Item) bool {
	e, ok := m.Items[i]
	if !ok || e.State != backend.Unloading || e.Users > 0 || e.Pending {
		return false
	}
	m.drop(i)
	return true
}

// drop frees an item's bytes.
func (m *Memory) drop(i backend.Item) {
	m.Used -= m.Items[i].Bytes
	delete(m.Items, i)
}

// Resident tells whether an item serves.
func (m *Memory) Resident(i backend.Item) bool {
	e, ok := m.Items[i]
	return ok && e.State == backend.Resident
}

// Base tells whether any version of a model other than not serves.
func (m *Memory) Base(model string, not backend.Item) bool {
	for i, e := range m.Items {
		if i.Base == "" && i.Name == model && i != not && e.State == backend.Resident {
			return true
		}
	}
	return false
}

// Adapters tells whether an adapter of a model holds bytes and is not about to
// free them.
func (m *Memory) Adapters(model string) bool {
	for i, e := range m.Items {
		if i.Base == model && e.State != backend.Unloading {
			return true
		}
	}
	return false
}

// Status returns all items in order of name.
func (m *Memory) Status() []backend.ItemStatus {
	keys := slices.SortedFunc(maps.Keys(m.Items), func(a, b backend.Item) int {
		return strings.Compare(a.String(), b.String())
	})
	out := make([]backend.ItemStatus, 0, len(keys))
	for _, i := range keys {
		out = append(out, backend.ItemStatus{Item: i, State: m.Items[i].State, Bytes: m.Items[i].Bytes})
	}
	return out
}
