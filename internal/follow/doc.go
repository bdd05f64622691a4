// Package follow keeps a node's copy of the configuration and of the list of
// backend servers up to date from the platform's store.
//
// Each table is read whole once and then followed by its feed. The version of
// a row orders it: an older row never replaces a newer one. When the feed says
// that its history is gone the table is read whole again. A feed that is
// silent for longer than it was asked to wait counts as broken, and a fresh
// connection is used.
//
// While the store is away everything known stays in use. Entries of servers
// lapse meanwhile and are back soon after its return if the server lives, so
// for Grace after the store is reached again an entry that vanished is kept.
//
// # Usage
//
//	f := &follow.Follower{Store: store, Log: log, OnConfig: setConfig, OnServers: setServers}
//	f.Run(ctx)
package follow
