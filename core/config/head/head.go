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
	// HistoryPrefix is the prefix of the keys of the history rows.
	HistoryPrefix = "config/history/"
	// HistoryLength is the number of newest versions whose history rows are kept.
	HistoryLength = 1000
)

// errIncompleteRef means that a head lacks its version or hash.
var errIncompleteRef = errors.New("it names no version or no hash")

type (
	// Ref identifies an accepted document.
	Ref struct {
		Version uint64 `json:"version"` // counted from one
		Hash    string `json:"hash"`    // SHA-256 of the canonical body in hex
	}

	// Head is the value of the head row and of a history row.
	Head struct {
		Version         uint64 `json:"version"`
		Hash            string `json:"hash"`
		ApplyID         string `json:"apply-id"` // unique to each apply
		Operator        string `json:"operator"`
		AppliedAtUnixMS int64  `json:"applied-at-unix-ms"` // by the operator's clock
	}

	// Proposal is a transaction that advances the head to Head.
	Proposal struct {
		Head Head
		Tx   row.Tx
	}

	// MalformedError means that a row doesn't hold a valid head.
	MalformedError struct {
		Key string
		Err error
	}
)

// Error returns the key of the malformed row and the cause.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("row %s holds no head: %v", e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Err }

// Ref returns the reference to the head's document.
func (h Head) Ref() Ref { return Ref{Version: h.Version, Hash: h.Hash} }

// Parse returns the head in row r, or the zero Head if the row is absent. The
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
		return Head{}, &MalformedError{Key: r.Key, Err: errIncompleteRef}
	}
	return h, nil
}

// HistoryKey returns the key of the history row of a version. Keys sort by
// version.
func HistoryKey(version uint64) string { return fmt.Sprintf("%s%012d", HistoryPrefix, version) }

// Propose returns a proposal to advance the head from the row that was read to
// the document with the given hash. The transaction commits only if the head row
// hasn't changed since it was read.
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

// Advance returns the transaction that replaces the head that was read by h. It
// writes the history row of h and deletes the oldest history row if there would
// be more than HistoryLength.
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
