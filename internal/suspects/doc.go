// Package suspects keeps the marks of core/suspect on a node: in memory, at the
// other nodes and in the platform's table.
//
// # Usage
//
// Whoever sends a request to a backend server asks before each send and tells
// how it ended:
//
//	run, err := guard.Begin(ctx, fp, server, retry)
//	if suspects.IsBusy(err) {
//		// pick another server
//	}
//	switch {
//	case ended well:            guard.Succeeded(run)
//	case it provably did not run, or the server lives on: guard.NotRun(run)
//	default:                    guard.Crashed(ctx, run, bootID)
//	}
//
// The owner of a server tells of a crash with guard.ServerCrashed and all that
// was in flight. Both return when the other nodes know or after SpreadWait, and
// only then may the caller of the request be answered or the request be sent
// again.
package suspects
