// Package memory accounts for the accelerator memory of the engine stand-in: which
// items occupy memory, and when the memory of an item can be released. It does not
// read a clock and is not safe for concurrent use; the engine's mutex guards it.
//
// # Usage
//
//	m := memory.New(100)
//	if !m.Reserve(item, 40) {
//		// The item does not fit; nothing was changed.
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
	// Entry is the state of an item that occupies memory.
	Entry struct {
		State   backend.ItemState
		Bytes   int64
		Users   int    // unfinished requests that use the item
		Pending bool   // the load is still running
		Order   string // ID of the order being executed, empty if none
	}

	// Memory is the accelerator memory of an engine. Sizes are in bytes.
	Memory struct {
		Total, Used, Peak int64
		Items             map[backend.Item]*Entry
	}
)

// New returns an empty memory of the given size.
func New(total int64) *Memory { return &Memory{Total: total, Items: map[backend.Item]*Entry{}} }

// Reserve reserves memory for an item that is not present. It returns false and
// changes nothing if the item does not fit.
func (m *Memory) Reserve(i backend.Item, bytes int64) bool {
	if bytes < 0 || bytes > m.Total-m.Used {
		return false
	}
	m.Used += bytes
	m.Peak = max(m.Peak, m.Used)
	m.Items[i] = &Entry{State: backend.Loading, Bytes: bytes, Pending: true}
	return true
}

// Release frees the memory of an item that is unloading and neither used by a request
// nor still being loaded. It reports whether it did.
func (m *Memory) Release(i backend.Item) bool {
	e, ok := m.Items[i]
	if !ok || e.State != backend.Unloading || e.Users > 0 || e.Pending {
		return false
	}
	m.remove(i)
	return true
}

// remove frees the memory of an item.
func (m *Memory) remove(i backend.Item) {
	m.Used -= m.Items[i].Bytes
	delete(m.Items, i)
}

// Resident reports whether an item is resident.
func (m *Memory) Resident(i backend.Item) bool {
	e, ok := m.Items[i]
	return ok && e.State == backend.Resident
}

// HasBase reports whether a version of a model other than except is resident.
func (m *Memory) HasBase(model string, except backend.Item) bool {
	for i, e := range m.Items {
		if i.Base == "" && i.Name == model && i != except && e.State == backend.Resident {
			return true
		}
	}
	return false
}

// HasAdapters reports whether an adapter of a model is present and not unloading.
func (m *Memory) HasAdapters(model string) bool {
	for i, e := range m.Items {
		if i.Base == model && e.State != backend.Unloading {
			return true
		}
	}
	return false
}

// Status returns the status of all items, sorted by name.
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
