// Package row defines rows and transactions of the platform's table service.
//
// Core packages that store data return a Tx, which their caller commits, and
// receive the Result. That way they need no socket.
//
// # Usage
//
// A condition with revision zero requires that the row is absent. Any other
// condition requires that the row has exactly the given revision:
//
//	tx := row.Tx{}.When(key, 0).Put(key, value)
package row

import "slices"

// Row is a row of the table.
type Row struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"` // zero if the row is absent
}

// Condition requires a row to have a given revision for a transaction to commit.
type Condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"` // zero requires that the row is absent
}

// Write sets or deletes a row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Tx is a transaction. All writes take effect atomically if all conditions hold.
type Tx struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Result is the result of a transaction.
type Result struct {
	Committed bool   `json:"committed"`
	Revision  uint64 `json:"revision"`  // new revision of all written rows, if committed
	Conflicts []Row  `json:"conflicts"` // current rows of the conditions that failed
}

// When returns t with an additional condition.
func (t Tx) When(key string, revision uint64) Tx {
	t.Conditions = append(slices.Clone(t.Conditions), Condition{Key: key, Revision: revision})
	return t
}

// Put returns t with an additional write that sets a row.
func (t Tx) Put(key string, value []byte) Tx {
	t.Writes = append(slices.Clone(t.Writes), Write{Key: key, Value: value})
	return t
}

// Delete returns t with an additional write that deletes a row.
func (t Tx) Delete(key string) Tx {
	t.Writes = append(slices.Clone(t.Writes), Write{Key: key, Delete: true})
	return t
}
