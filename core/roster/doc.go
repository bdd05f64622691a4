// Package roster finds the stale rows of nodes that no longer exist.
//
// # Method
//
// Each node rewrites its row once per Refresh, which increments the row's revision.
// A Watcher records when it first saw the current revision of each row. A row whose
// revision hasn't changed for MaxAge belongs to a node that no longer exists. Rows
// are compared by revision and not by the clocks of other nodes, so a new Watcher
// considers no row expired. If stale rows were kept, replacing 140 nodes a day
// would add 50,000 rows a year, and all of them are read when a new node joins.
//
// # Usage
//
//	var w roster.Watcher
//	for _, key := range w.Expired(now, revisions) { remove(key, revisions[key]) }
//
// A Watcher is not safe for concurrent use.
package roster
