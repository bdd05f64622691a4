// Package recent remembers the most recent ids of a sequence.
//
// # Method
//
// A ring holds the hashes of the ids, so that its size doesn't depend on their lengths. Two ids with the same hash are taken for one.
//
// # Usage
//
//	ids := recent.IDs{Max: 64}
//	if !ids.Contains(id) {
//		ids.Add(id)
//	}
package recent
