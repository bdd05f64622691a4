// Package follow keeps a node's copy of the configuration and of the list of
// backend servers up to date from the platform's store.
//
// Each table is read in full once and then followed through its feed. Rows are
// ordered by version: an older row never replaces a newer one. When the feed
// reports that its history is gone, the table is read in full again. A feed
// call that doesn't return within the requested wait plus a margin counts as
// failed, and the next call uses a new connection.
//
// While the store is unreachable the last known state stays in use. Entries of
// servers expire in the store meanwhile, and a live server writes its entry again
// soon after the store's return. A missing entry is therefore kept for MissingGrace
// after the store is reachable again.
//
// # Usage
//
//	f := &follow.Follower{Store: store, Log: log, OnConfig: setConfig, OnServers: setServers}
//	f.Run(ctx)
package follow
