package claim

import "fmt"

// RowError means that a row's value can't be understood. Nothing may be sent
// on the strength of such a row.
type RowError struct {
	Key string
	Err error
}

// Error returns key and cause.
func (e *RowError) Error() string { return fmt.Sprintf("claim: row %s: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Err }
