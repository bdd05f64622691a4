package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
)

// ChangeOp is the type of a difference between two documents.
type ChangeOp string

const (
	// Added means that only the new document has the value.
	Added ChangeOp = "add"
	// Removed means that only the old document has the value.
	Removed ChangeOp = "remove"
	// Replaced means that the values differ.
	Replaced ChangeOp = "replace"
)

// Change is one difference between two documents. Paths identify list entries by
// name, as in `models["drafter"].version`; calls are identified by their index,
// counted from zero.
type Change struct {
	Path string          `json:"path"`
	Op   ChangeOp        `json:"op"`
	Old  json.RawMessage `json:"old,omitempty"` // JSON of the old value, absent if added
	New  json.RawMessage `json:"new,omitempty"` // JSON of the new value, absent if removed
}

// String returns the operation, path and values on one line.
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

// Diff returns the differences from a to b, compared in canonical form and
// ordered by path. A nil document is treated as empty.
func Diff(a, b *Document) []Change {
	return diffValue("", a.jsonTree(), b.jsonTree())
}

// jsonTree returns the canonical document as decoded JSON.
func (d *Document) jsonTree() any {
	if d == nil {
		return map[string]any{}
	}
	var t any
	if err := json.Unmarshal(d.Canonical(), &t); err != nil {
		panic(fmt.Errorf("config: canonical form: %w", err))
	}
	return t
}

// diffValue returns the differences between the JSON values a and b at path.
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

// diffEntries returns the differences between the entries of two objects, or of
// two lists if list is set, ordered by name.
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
		var entryPath string
		if list {
			entryPath = path + "[" + n + "]"
		} else {
			entryPath = joinPath(path, n)
		}
		old, inA := a[n]
		replacement, inB := b[n]
		switch {
		case !inA:
			changes = append(changes, Change{Path: entryPath, Op: Added, New: encode(replacement)})
		case !inB:
			changes = append(changes, Change{Path: entryPath, Op: Removed, Old: encode(old)})
		default:
			changes = append(changes, diffValue(entryPath, old, replacement)...)
		}
	}
	return changes
}

func isList(v any) bool {
	_, ok := v.([]any)
	return ok
}

// asMap returns the entries of an object or list by name. List entries are named
// as entryName does.
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

// entryName returns the key of list entry e at index i: a quoted string or
// "name" field, or the index if e is neither a string nor a named object.
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
