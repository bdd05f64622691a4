package claim

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"guavapaddle/core/row"
)

const (
	// BatchPrefix is the key prefix of batch rows.
	BatchPrefix = "claim-batch/"
	// CursorKey is the key of the row that records up to which minute old
	// claims have been removed.
	CursorKey = "claim-cursor"
)

type (
	// Batch lists the claims that one transaction inserted, so that they can be
	// found and removed when they are old. This takes one additional row per
	// transaction instead of one per claim. The key begins with the minute, so
	// that a scan reads old batches only.
	Batch struct {
		Keys []string `json:"keys"`
	}

	// Cursor is the value of the cursor row.
	Cursor struct {
		Minute int64 `json:"minute"` // since 1970; batches of earlier minutes have been removed
	}
)

// Minute returns the number of whole minutes from 1970 to t.
func Minute(t time.Time) int64 { return t.Unix() / 60 }

// MinutePrefix returns the prefix of the batch rows of a minute.
func MinutePrefix(minute int64) string { return fmt.Sprintf("%s%010d/", BatchPrefix, minute) }

// BatchKey returns the key of a batch written in a minute. The id must be unique.
func BatchKey(minute int64, id string) string { return MinutePrefix(minute) + id }

// AddBatch returns tx with a batch row that lists the claims in changes that may
// create a row: inserts, and releases, which can settle an insert.
func AddBatch(tx row.Tx, minute int64, id string, changes []Change) row.Tx {
	var b Batch
	for _, c := range changes {
		if c.Claim.State == Claimed || c.Claim.State == Released {
			b.Keys = append(b.Keys, c.Key)
		}
	}
	if len(b.Keys) == 0 {
		return tx
	}
	v, err := json.Marshal(b)
	if err != nil {
		panic(fmt.Sprintf("claim: marshal batch: %v", err)) // every Batch can be encoded
	}
	return tx.Put(BatchKey(minute, id), v)
}

// BatchKeys returns the claim keys in a batch row.
func BatchKeys(r row.Row) ([]string, error) {
	var b Batch
	if err := json.Unmarshal(r.Value, &b); err != nil {
		return nil, &RowError{Key: r.Key, Err: err}
	}
	return b.Keys, nil
}

// Sweep returns the transaction that removes a batch row and those of its claims
// that are older than retention. The claims are given as their current rows. A
// claim that was inserted again later is kept: a later batch lists it.
func Sweep(batch row.Row, claims []row.Row, now time.Time, retention time.Duration) row.Tx {
	tx := row.Tx{}.When(batch.Key, batch.Revision).Delete(batch.Key)
	for _, r := range claims {
		c, found, err := Decode(r)
		if err != nil || !found || !strings.HasPrefix(r.Key, Prefix) {
			continue
		}
		if now.Sub(time.UnixMilli(c.AtMS)) < retention {
			continue
		}
		tx = tx.When(r.Key, r.Revision).Delete(r.Key)
	}
	return tx
}

// NextMinute returns the oldest minute whose batches have not been removed, and
// reports whether they are old enough to be removed at now.
func NextMinute(cursor row.Row, now time.Time, retention time.Duration) (int64, bool, error) {
	due := Minute(now.Add(-retention)) - 1 // the whole minute is older than retention
	var c Cursor
	if cursor.Revision == 0 {
		c.Minute = due // no sweep has run on this table: no older batches exist
	} else if err := json.Unmarshal(cursor.Value, &c); err != nil {
		return 0, false, &RowError{Key: cursor.Key, Err: err}
	}
	return c.Minute, c.Minute <= due, nil
}

// Advance returns the transaction that moves the cursor past minute.
func Advance(cursor row.Row, minute int64) row.Tx {
	v, err := json.Marshal(Cursor{Minute: minute + 1})
	if err != nil {
		panic(fmt.Sprintf("claim: marshal cursor: %v", err)) // every Cursor can be encoded
	}
	return row.Tx{}.When(CursorKey, cursor.Revision).Put(CursorKey, v)
}
