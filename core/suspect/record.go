package suspect

import (
	"encoding/json"
	"fmt"
	"time"

	"guavapaddle/core/row"
)

const (
	// Prefix is the key prefix of mark rows.
	Prefix = "suspect/"
	// SlotPrefix is the key prefix of slot rows.
	SlotPrefix = "suspect-slot/"
)

type (
	// Slot is the value of a slot row: the trial that runs on a server. A server
	// runs one marked request at a time, so that a second crash is not charged to
	// a harmless one.
	Slot struct {
		Trial       Incident    `json:"trial"`
		Fingerprint Fingerprint `json:"fingerprint"`
		UntilMS     int64       `json:"until-ms"` // milliseconds since 1970
	}

	// Plan is the decision on a marked request.
	Plan struct {
		Verdict    Verdict
		Busy       bool   // the server runs another trial: use another server
		Tx         row.Tx // to be committed before the request is sent or refused
		MergedMark Mark   // contents of the mark row after Tx
	}

	// RowError is returned for a row whose value can't be decoded.
	RowError struct {
		Key string
		Err error
	}
)

// Error returns the key of the row and the cause.
func (e *RowError) Error() string { return fmt.Sprintf("suspect: row %s: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Err }

// Key returns the row key of the mark of fp.
func Key(fp Fingerprint) string { return Prefix + string(fp) }

// SlotKey returns the key of a server's slot row.
func SlotKey(server string) string { return SlotPrefix + server }

// Decode returns the mark in r, or an empty mark of fp if r is absent.
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

// Plan decides whether fp may run on trial now, given the current mark row of fp
// and the current slot row of the trial's server. It merges the mark row into s.
// If a trial is allowed, Tx charges it and reserves the slot until the time
// until. The request may be sent once Tx is known to be committed; if the reply
// was lost, IsCharged derives that from the mark row.
func (s *Set) Plan(now time.Time, fp Fingerprint, trial Incident, until time.Time, mark, slot row.Row) (Plan, error) {
	m, err := s.mergeRow(now, fp, mark)
	if err != nil {
		return Plan{}, err
	}
	p := Plan{Verdict: m.verdict(), MergedMark: m}
	if p.Verdict != Isolate {
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
	p.MergedMark = m.WithIncident(trial, m.ExpiresMS)
	p.Tx = Record(mark, p.MergedMark).When(slot.Key, slot.Revision).
		Put(slot.Key, encode(Slot{Trial: trial, Fingerprint: fp, UntilMS: until.UnixMilli()}))
	return p, nil
}

// Update merges the current mark row of fp into s and returns the transaction
// that writes the merged mark to the row.
func (s *Set) Update(now time.Time, fp Fingerprint, mark row.Row) (row.Tx, error) {
	m, err := s.mergeRow(now, fp, mark)
	if err != nil {
		return row.Tx{}, err
	}
	return Record(mark, m), nil
}

// Record returns the transaction that replaces the current row r by m. It is
// empty if the row already holds m, or if the row is absent and m has no
// incidents.
func Record(r row.Row, m Mark) row.Tx {
	v := encode(m)
	if string(v) == string(r.Value) || (r.Revision == 0 && len(m.Incidents) == 0) {
		return row.Tx{}
	}
	return row.Tx{}.When(Key(m.Fingerprint), r.Revision).Put(Key(m.Fingerprint), v)
}

// IsCharged reports whether the trial is charged in the mark row r.
func IsCharged(fp Fingerprint, trial Incident, r row.Row) (bool, error) {
	m, err := Decode(fp, r)
	return contains(m.Incidents, trial), err
}

// FreeSlot returns tx extended to delete the slot row if the trial holds it.
func FreeSlot(tx row.Tx, trial Incident, slot row.Row) row.Tx {
	var held Slot
	if slot.Revision == 0 || json.Unmarshal(slot.Value, &held) != nil || held.Trial != trial {
		return tx
	}
	return tx.When(slot.Key, slot.Revision).Delete(slot.Key)
}

// Sweep returns the transaction that removes the expired rows among rows, which
// are under Prefix or SlotPrefix. It returns false if none is expired.
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

// mergeRow merges the row of fp into s and returns the merged mark.
func (s *Set) mergeRow(now time.Time, fp Fingerprint, r row.Row) (Mark, error) {
	m, err := Decode(fp, r)
	if err != nil {
		return m, err
	}
	s.Merge(now, []Mark{m})
	return s.mark(now, fp), nil
}

// slotTaken reports whether another trial holds the slot.
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

// encode returns the encoded row value of v.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("suspect: marshal: %v", err)) // every mark and slot can be encoded
	}
	return b
}
