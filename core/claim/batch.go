package claim

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"guavapaddle/core/row"
)

const (
	// BatchPrefix begins the key of every batch row.
	BatchPrefix = "claim-batch/"
	// CursorKey is the row that tells up to which minute old claims are gone.
	CursorKey = "claim-cursor"
)

type (
	// Batch lists the claims that one transaction inserted. One row a
	// transaction, not one a claim, is what the removal of old claims costs;
	// its key begins with the minute, so that a scan finds the old ones only.
	Batch struct {
		Keys []string `json:"keys"`
	}

	// Cursor is the value of the cursor row.
	Cursor struct {
		Minute int64 `json:"minute"` // since 1970; batches of earlier minutes are gone
	}
)

// Minute returns the minutes since 1970 at t.
func Minute(t time.Time) int64 { return t.Unix() / 60 }

// MinutePrefix returns the prefix of the batch rows of a minute.
func MinutePrefix(minute int64) string { return fmt.Sprintf("%s%010d/", BatchPrefix, minute) }

// BatchKey returns the key of a batch written in a minute. The id is unique.
func BatchKey(minute int64, id string) string { return MinutePrefix(minute) + id }

// AddBatch returns tx with the batch row of the claims that its changes insert.
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
		panic(fmt.Sprintf("claim: marshal: %v", err)) // no value of the type fails
	}
	return tx.Put(BatchKey(minute, id), v)
}

// Listed returns the claim keys that a batch row lists.
func Listed(r row.Row) ([]string, error) {
	var b Batch
	if err := json.Unmarshal(r.Value, &b); err != nil {
		return nil, &RowError{Key: r.Key, Err: err}
	}
	return b.Keys, nil
}

// Sweep returns the transaction that removes a batch row and those of its
// claims that are older than retention, given as they are now. Claims that
// were made again later stay: a later batch lists them.
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

// NextMinute returns the oldest minute whose batches are to be swept at now
// given the cursor row, and false if none is due.
func NextMinute(cursor row.Row, now time.Time, retention time.Duration) (int64, bool, error) {
	due := Minute(now.Add(-retention)) - 1 // the whole minute is older than retention
	var c Cursor
	if cursor.Revision == 0 {
		c.Minute = due // the first sweep of this table: nothing is older
	} else if err := json.Unmarshal(cursor.Value, &c); err != nil {
		return 0, false, &RowError{Key: cursor.Key, Err: err}
	}
	return c.Minute, c.Minute <= due, nil
}

// Advance returns the transaction that moves the cursor past minute.
func Advance(cursor row.Row, minute int64) row.Tx {
	v, err := json.Marshal(Cursor{Minute: minute + 1})
	if err != nil {
		panic(fmt.Sprintf("claim: marshal: %v", err)) // no value of the type fails
	}
	return row.Tx{}.When(CursorKey, cursor.Revision).Put(CursorKey, v)
}
