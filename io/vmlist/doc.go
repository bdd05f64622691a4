// Package vmlist is a client for the platform's list of VMs, which lags behind the actual
// state.
//
// # Usage
//
//	c := &vmlist.Client{Address: "127.0.0.1:9000"}
//	vms, err := c.List(ctx)
package vmlist
