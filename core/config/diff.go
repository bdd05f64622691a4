package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
)

// ChangeOp tells how two documents differ at one place.
type ChangeOp string

const (
	// Added means that only the new document has the value.
	Added ChangeOp = "add"
	// Removed means that only the old document has the value.
	Removed ChangeOp = "remove"
	// Replaced means that the values differ.
	Replaced ChangeOp = "replace"
)

// Change is one difference of two documents. An entry of a list is named in
// its path, as in `models["drafter"].version`; calls are counted from zero.
type Change struct {
	Path string          `json:"path"`
	Op   ChangeOp        `json:"op"`
	Old  json.RawMessage `json:"old,omitempty"` // JSON of the old value, absent if added
	New  json.RawMessage `json:"new,omitempty"` // JSON of the new value, absent if removed
}

// String returns op, path and values in one line.
func (c Change) String() string {
	switch c.Op {
	case Added:
		return fmt.Sprintf("add %s: %s", c.Path, c.New)
	case Removed:
		return fmt.Sprintf("remove %s: %s", c.Path, c.Old)
	default:
		return fmt.Sprintf("replace %s: %s -> %s", c.Path, c.Old, c.New)
	}
}

// Diff returns what differs from a to b in the order of paths, compared in
// canonical form. A nil document has nothing.
func Diff(a, b *Document) []Change {
	return diffValue("", a.tree(), b.tree())
}

// tree returns the canonical document as plain JSON values.
func (d *Document) tree() any {
	if d == nil {
		return map[string]any{}
	}
	var t any
	if err := json.Unmarshal(d.Canonical(), &t); err != nil {
		panic(fmt.Errorf("config: canonical form: %w", err))
	}
	return t
}

func diffValue(path string, a, b any) []Change {
	if ma, ok := asMap(a); ok {
		if mb, ok := asMap(b); ok {
			return diffEntries(path, ma, mb, isList(a) || isList(b))
		}
	}
	old, replacement := encode(a), encode(b)
	if string(old) == string(replacement) {
		return nil
	}
	return []Change{{Path: path, Op: Replaced, Old: old, New: replacement}}
}

func diffEntries(path string, a, b map[string]any, list bool) []Change {
	names := slices.Collect(maps.Keys(a))
	for n := range b {
		if _, ok := a[n]; !ok {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	var changes []Change
	for _, n := range names {
		var at string
		if list {
			at = path + "[" + n + "]"
		} else {
			at = join(path, n)
		}
		old, inA := a[n]
		replacement, inB := b[n]
		switch {
		case !inA:
			changes = append(changes, Change{Path: at, Op: Added, New: encode(replacement)})
		case !inB:
			changes = append(changes, Change{Path: at, Op: Removed, Old: encode(old)})
		default:
			changes = append(changes, diffValue(at, old, replacement)...)
		}
	}
	return changes
}

func isList(v any) bool {
	_, ok := v.([]any)
	return ok
}

// asMap returns an object's or a list's entries by name: an entry with a name
// by that, a string by itself, any other by its index.
func asMap(v any) (map[string]any, bool) {
	if m, ok := v.(map[string]any); ok {
		return m, true
	}
	list, ok := v.([]any)
	if !ok {
		return nil, false
	}
	m := make(map[string]any, len(list))
	for i, e := range list {
		m[entryName(i, e)] = e
	}
	return m, true
}

func entryName(i int, e any) string {
	switch v := e.(type) {
	case string:
		return strconv.Quote(v)
	case map[string]any:
		if name, ok := v["name"].(string); ok {
			return strconv.Quote(name)
		}
	}
	return strconv.Itoa(i)
}

func encode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Errorf("config: value of a document: %w", err))
	}
	return b
}
