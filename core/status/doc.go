// Package status defines what a node reports to operators: its view of the nodes,
// backend servers and leases, and the decisions about one request.
//
// The types are the bodies of the operator endpoint (see io/operator) and of
// the command line's JSON output. Times are Unix milliseconds.
//
// # Usage
//
// A node fills a Report from its own state and from what other nodes reported:
//
//	r := status.Report{Node: "n1", ConfigVersion: 7, Nodes: nodes}
//
// Behind returns the live nodes that don't report a configuration version yet, and
// Merge combines the explanations of one request from several nodes.
package status
