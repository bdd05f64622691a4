package claims

import "guavapaddle/io/table"

// notCommitted reports whether a failed transaction certainly had no effect.
func notCommitted(err error) bool {
	k := table.KindOf(err)
	return k == table.Unavailable || k == table.Invalid
}
