package claims

import "guavapaddle/io/table"

// notDone tells whether a failed transaction was surely not done.
func notDone(err error) bool {
	k := table.KindOf(err)
	return k == table.Unavailable || k == table.Invalid
}
