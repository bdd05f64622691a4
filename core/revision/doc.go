// Package revision identifies states of the platform's store.
//
// # Method
//
// The store numbers its transactions with a single counter. If it is restored from
// a backup, the counter goes back to that of the backup, and the numbers after it
// are assigned again to other transactions. Each restore increments the store's
// era. A Revision therefore consists of the era and the number, and revisions are
// ordered by the era first: whatever the store shows in a later era replaces what
// it showed in an earlier one.
//
// # Usage
//
//	if read.Before(known) {
//		return // an older state, for instance from before a restore
//	}
//	if read.Era != known.Era {
//		// the store was restored: changes after known may be lost
//	}
package revision
