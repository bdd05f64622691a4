// Package calls cancels the calls that wait for a node when that node stops replying.
//
// Calls are grouped by the node for which they wait, so that the loss of one node leaves the calls at all others
// alone. The caller of a canceled call learns of it by the context, and may ask another node.
//
// # Usage
//
//	var groups calls.Groups
//	ctx, release := groups.WithCancel(ctx, key)
//	defer release()
//	reply, err := client.Call(ctx, request)
//
// and, where the loss of the node is noticed,
//
//	groups.CancelAll(key)
package calls
