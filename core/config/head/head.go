package head

import (
	"encoding/json"
	"errors"
	"fmt"

	"guavapaddle/core/row"
)

const (
	// Key is the key of the head row.
	Key = "config/head"
	// HistoryPrefix begins the keys of the history rows.
	HistoryPrefix = "config/history/"
	// HistoryLength is how many versions keep their history row.
	HistoryLength = 1000
)

var errNothingNamed = errors.New("it names no version or no hash")

type (
	// Ref names one accepted document.
	Ref struct {
		Version uint64 `json:"version"` // from one
		Hash    string `json:"hash"`    // SHA-256 of the canonical body in hex
	}

	// Head is the value of the head row and of a history row.
	Head struct {
		Version         uint64 `json:"version"`
		Hash            string `json:"hash"`
		ApplyID         string `json:"apply-id"` // unique to one apply
		Operator        string `json:"operator"`
		AppliedAtUnixMS int64  `json:"applied-at-unix-ms"` // by the operator's clock
	}

	// Proposal is a transaction that makes Head the newest.
	Proposal struct {
		Head Head
		Tx   row.Tx
	}

	// MalformedError means that a row holds no head.
	MalformedError struct {
		Key string
		Err error
	}
)

// Error tells which row is malformed.
func (e *MalformedError) Error() string { return fmt.Sprintf("row %s holds no head: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Err }

// Ref returns what the head names.
func (h Head) Ref() Ref { return Ref{Version: h.Version, Hash: h.Hash} }

// Parse returns the head in row r, the zero Head if the row is absent. The
// error is a *MalformedError.
func Parse(r row.Row) (Head, error) {
	if r.Revision == 0 {
		return Head{}, nil
	}
	var h Head
	if err := json.Unmarshal(r.Value, &h); err != nil {
		return Head{}, &MalformedError{Key: r.Key, Err: err}
	}
	if h.Version == 0 || h.Hash == "" {
		return Head{}, &MalformedError{Key: r.Key, Err: errNothingNamed}
	}
	return h, nil
}

// HistoryKey returns the key of the history row of a version. Keys sort by
// version.
func HistoryKey(version uint64) string { return fmt.Sprintf("%s%012d", HistoryPrefix, version) }

// Propose returns the proposal that advances the head from what was read to a
// document with the given hash. The transaction commits only if the head row
// is still as read.
func Propose(read row.Row, hash, applyID, operator string, nowUnixMS int64) (Proposal, error) {
	old, err := Parse(read)
	if err != nil {
		return Proposal{}, err
	}
	h := Head{
		Version:         old.Version + 1,
		Hash:            hash,
		ApplyID:         applyID,
		Operator:        operator,
		AppliedAtUnixMS: nowUnixMS,
	}
	return Proposal{Head: h, Tx: Advance(read, h)}, nil
}

// Advance returns the transaction that puts h after the head that was read. It
// writes the history row of h, and deletes the oldest one that is kept.
func Advance(read row.Row, h Head) row.Tx {
	value, err := json.Marshal(h)
	if err != nil {
		panic(fmt.Errorf("head: numbers and strings always marshal: %w", err))
	}
	key := HistoryKey(h.Version)
	tx := row.Tx{}.When(Key, read.Revision).When(key, 0).Put(Key, value).Put(key, value)
	if h.Version > HistoryLength {
		tx = tx.Delete(HistoryKey(h.Version - HistoryLength))
	}
	return tx
}
