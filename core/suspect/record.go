package suspect

import (
	"encoding/json"
	"fmt"
	"time"

	"guavapaddle/core/row"
)

const (
	// Prefix begins the key of every mark row.
	Prefix = "suspect/"
	// SlotPrefix begins the key of every slot row.
	SlotPrefix = "suspect-slot/"
)

type (
	// Slot is the value of a slot row: the trial that a server runs. One marked
	// request a server at a time keeps a second crash from being laid at the
	// door of an innocent one.
	Slot struct {
		Trial       Incident    `json:"trial"`
		Fingerprint Fingerprint `json:"fingerprint"`
		UntilMS     int64       `json:"until-ms"` // milliseconds since 1970
	}

	// Plan is what a node that wants to run a marked request is to do.
	Plan struct {
		Verdict Verdict
		Busy    bool   // the server runs another trial: try another server
		Tx      row.Tx // to be committed before anything is sent or refused
		Mark    Mark   // as the row will be
	}

	// RowError means that a row's value can't be understood.
	RowError struct {
		Key string
		Err error
	}
)

// Error returns key and cause.
func (e *RowError) Error() string { return fmt.Sprintf("suspect: row %s: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Err }

// Key returns the row key of the mark of fp.
func Key(fp Fingerprint) string { return Prefix + string(fp) }

// SlotKey returns the key of a server's slot row.
func SlotKey(server string) string { return SlotPrefix + server }

// Decode returns the mark in r, an empty one of fp if r is absent.
func Decode(fp Fingerprint, r row.Row) (Mark, error) {
	m := Mark{Fingerprint: fp}
	if r.Revision == 0 {
		return m, nil
	}
	if err := json.Unmarshal(r.Value, &m); err != nil {
		return m, &RowError{Key: r.Key, Err: err}
	}
	return m, nil
}

// Plan judges whether fp may run on trial now, given its mark row and the slot
// row of the trial's server as they were read, and takes over what the mark row
// knows. If so its Tx charges the mark and takes the slot until until; the
// request may be sent once Tx is known to have taken effect, which Mine tells
// from the row after a lost answer.
func (s *Set) Plan(now time.Time, fp Fingerprint, trial Incident, until time.Time, mark, slot row.Row) (Plan, error) {
	m, err := s.known(now, fp, mark)
	if err != nil {
		return Plan{}, err
	}
	p := Plan{Verdict: m.verdict(), Mark: m}
	if p.Verdict != Alone {
		p.Tx = Record(mark, m)
		return p, nil
	}
	taken, err := slotTaken(now, trial, slot)
	if err != nil {
		return Plan{}, err
	}
	if taken {
		p.Busy = true
		return p, nil
	}
	p.Mark = m.WithIncident(trial, m.ExpiresMS)
	p.Tx = Record(mark, p.Mark).When(slot.Key, slot.Revision).
		Put(slot.Key, encode(Slot{Trial: trial, Fingerprint: fp, UntilMS: until.UnixMilli()}))
	return p, nil
}

// Update returns the transaction that writes what s knows about fp into its
// mark row, as it was read, and takes over what the row knows.
func (s *Set) Update(now time.Time, fp Fingerprint, mark row.Row) (row.Tx, error) {
	m, err := s.known(now, fp, mark)
	if err != nil {
		return row.Tx{}, err
	}
	return Record(mark, m), nil
}

// Record returns the transaction that writes m over its row as it was read. It
// is empty if the row holds m already.
func Record(r row.Row, m Mark) row.Tx {
	v := encode(m)
	if string(v) == string(r.Value) || (r.Revision == 0 && len(m.Incidents) == 0) {
		return row.Tx{}
	}
	return row.Tx{}.When(Key(m.Fingerprint), r.Revision).Put(Key(m.Fingerprint), v)
}

// Mine tells whether the row shows that the trial was charged.
func Mine(fp Fingerprint, trial Incident, r row.Row) (bool, error) {
	m, err := Decode(fp, r)
	return contains(m.Incidents, trial), err
}

// FreeSlot returns tx with the removal of the slot if the trial holds it.
func FreeSlot(tx row.Tx, trial Incident, slot row.Row) row.Tx {
	var held Slot
	if slot.Revision == 0 || json.Unmarshal(slot.Value, &held) != nil || held.Trial != trial {
		return tx
	}
	return tx.When(slot.Key, slot.Revision).Delete(slot.Key)
}

// Sweep returns the transaction that removes those of the rows under Prefix or
// SlotPrefix whose time has passed, and false if there are none.
func Sweep(now time.Time, rows []row.Row) (row.Tx, bool) {
	var tx row.Tx
	for _, r := range rows {
		var ends struct {
			ExpiresMS int64 `json:"expires-ms"` // of a mark
			UntilMS   int64 `json:"until-ms"`   // of a slot
		}
		if json.Unmarshal(r.Value, &ends) == nil && max(ends.ExpiresMS, ends.UntilMS) <= now.UnixMilli() {
			tx = tx.When(r.Key, r.Revision).Delete(r.Key)
		}
	}
	return tx, len(tx.Writes) > 0
}

// known merges the row into s and returns what is known of fp.
func (s *Set) known(now time.Time, fp Fingerprint, r row.Row) (Mark, error) {
	m, err := Decode(fp, r)
	if err != nil {
		return m, err
	}
	s.Merge(now, []Mark{m})
	return s.mark(now, fp), nil
}

// slotTaken tells whether another trial holds the slot.
func slotTaken(now time.Time, trial Incident, r row.Row) (bool, error) {
	if r.Revision == 0 {
		return false, nil
	}
	var held Slot
	if err := json.Unmarshal(r.Value, &held); err != nil {
		return false, &RowError{Key: r.Key, Err: err}
	}
	return held.Trial != trial && held.UntilMS > now.UnixMilli(), nil
}

// encode returns the row value of v.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("suspect: marshal: %v", err)) // no value of the types fails
	}
	return b
}
