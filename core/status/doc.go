// Package status describes what a node tells operators: the nodes, backend
// servers and leases that it knows, and what was decided about one request.
//
// The types are the bodies of the operator endpoint (see io/operator) and of
// the command line's JSON output. Times are Unix milliseconds.
//
// # Usage
//
// A node fills a Report from its own state and what others told it:
//
//	r := status.Report{Node: "n1", ConfigVersion: 7, Nodes: nodes}
//
// NotAt tells which live nodes don't report a version yet, and Merge joins the
// explanations of one request that several nodes gave.
package status
