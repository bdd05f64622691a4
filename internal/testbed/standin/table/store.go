package table

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"guavapaddle/core/row"
)

type (
	// Commit is a committed transaction.
	Commit struct {
		Revision uint64
		Tx       row.Tx
	}

	// store holds the rows and the history of transactions. It is safe for
	// concurrent use, and the zero value is ready to use.
	store struct {
		mu       sync.Mutex
		revision uint64
		rows     map[string]row.Row
		history  []Commit
	}
)

// transact commits tx if all its conditions hold, and adds it to the history if
// keep is true. Otherwise it returns the rows that conflict.
func (s *store) transact(tx row.Tx, keep bool) row.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if conflicts := s.conflicts(tx); len(conflicts) > 0 {
		return row.Result{Conflicts: conflicts}
	}
	if s.rows == nil {
		s.rows = map[string]row.Row{}
	}
	s.revision++
	for _, w := range tx.Writes {
		if w.Delete {
			delete(s.rows, w.Key)
			continue
		}
		s.rows[w.Key] = row.Row{Key: w.Key, Value: w.Value, Revision: s.revision}
	}
	if keep {
		s.history = append(s.history, Commit{Revision: s.revision, Tx: tx})
	}
	return row.Result{Committed: true, Revision: s.revision}
}

// conflicts returns the current rows whose revision differs from that of their
// condition. The caller holds the mutex.
func (s *store) conflicts(tx row.Tx) []row.Row {
	var out []row.Row
	for _, c := range tx.Conditions {
		if r := s.get(c.Key); r.Revision != c.Revision {
			out = append(out, r)
		}
	}
	return out
}

// read returns the rows of the given keys, in the same order.
func (s *store) read(keys []string) []row.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]row.Row, 0, len(keys))
	for _, k := range keys {
		out = append(out, s.get(k))
	}
	return out
}

// scan returns the rows whose key has the given prefix, sorted by key.
func (s *store) scan(prefix string) []row.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []row.Row{}
	for _, k := range slices.Sorted(maps.Keys(s.rows)) {
		if strings.HasPrefix(k, prefix) {
			out = append(out, s.rows[k])
		}
	}
	return out
}

// get returns the row of a key, with revision zero if it does not exist. The caller
// holds the mutex.
func (s *store) get(key string) row.Row {
	if r, ok := s.rows[key]; ok {
		return r
	}
	return row.Row{Key: key}
}
