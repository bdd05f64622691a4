package claim

import "fmt"

// RowError is returned for a row whose value can't be decoded. No call may be
// sent on the basis of such a row.
type RowError struct {
	Key string
	Err error
}

// Error returns the key of the row and the cause.
func (e *RowError) Error() string { return fmt.Sprintf("claim: row %s: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Err }
