// Package suspects maintains the suspicion marks of core/suspect on a node: in
// memory, at the other nodes and in the platform's table.
//
// # Usage
//
// The sender of a request to a backend server calls Begin before each send and
// reports the outcome:
//
//	run, err := guard.Begin(ctx, fp, server, retry)
//	if suspects.IsBusy(err) {
//		// pick another server
//	}
//	switch {
//	case ended well:            guard.Succeeded(run)
//	case it provably did not run, or the server survived: guard.NotRun(run)
//	default:                    guard.Crashed(ctx, run, bootID)
//	}
//
// The owner of a server reports a crash, with all requests that were in flight,
// by guard.ServerCrashed. Crashed and ServerCrashed return when the other nodes
// know of the crash or after BroadcastTimeout. Only then may the request be answered
// or sent again.
package suspects
