// Package roster tells which rows of nodes are left behind by nodes that are
// gone.
//
// # Method
//
// Each node writes its row anew each Refresh, so that the row's version rises.
// A Watch notes since when it has seen each version. A row that stood unchanged
// for Life belongs to a node that is gone. Versions, not clocks of other nodes,
// decide; a watch that has just begun knows of no row that is old. With 140
// nodes replaced a day the rows would grow by 50,000 a year otherwise, and each
// is read when a new node comes.
//
// # Usage
//
//	var w roster.Watch
//	for _, key := range w.Gone(now, versions) { remove(key, versions[key]) }
//
// A Watch is not safe for concurrent use.
package roster
