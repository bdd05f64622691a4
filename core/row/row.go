// Package row describes rows and transactions of the platform's table service.
//
// Core packages that have to keep something return a Tx for their caller to
// commit, and are told the Result; so they need no socket.
//
// # Usage
//
// A condition with revision zero demands that the row be absent, any other
// that the row be at exactly that revision:
//
//	tx := row.Tx{}.When(key, 0).Put(key, value)
package row

import "slices"

// Row is one row of the table.
type Row struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"` // zero if the row is absent
}

// Condition demands a revision of a row before a transaction commits.
type Condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"` // zero demands absence
}

// Write sets or deletes a row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Tx is a transaction: all writes take effect at once if all conditions hold.
type Tx struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Result is what became of a transaction.
type Result struct {
	Committed bool   `json:"committed"`
	Revision  uint64 `json:"revision"`  // of all rows written, if committed
	Conflicts []Row  `json:"conflicts"` // rows that failed their condition, as they are now
}

// When returns t with one more condition.
func (t Tx) When(key string, revision uint64) Tx {
	t.Conditions = append(slices.Clone(t.Conditions), Condition{Key: key, Revision: revision})
	return t
}

// Put returns t with one more write that sets a row.
func (t Tx) Put(key string, value []byte) Tx {
	t.Writes = append(slices.Clone(t.Writes), Write{Key: key, Value: value})
	return t
}

// Delete returns t with one more write that deletes a row.
func (t Tx) Delete(key string) Tx {
	t.Writes = append(slices.Clone(t.Writes), Write{Key: key, Delete: true})
	return t
}
