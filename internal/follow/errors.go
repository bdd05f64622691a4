package follow

import "fmt"

// EraError reports that a response of the store is of another era than the copy of a table: the store
// was restored from a copy, or the response was late.
type EraError struct {
	Table string
	Held  int64 // era of the copy
	Store int64 // era of the response
}

// Error returns the table and both eras.
func (e *EraError) Error() string {
	return fmt.Sprintf("table %s: held in era %d, response of era %d", e.Table, e.Held, e.Store)
}
