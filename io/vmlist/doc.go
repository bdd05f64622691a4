// Package vmlist speaks to the platform's list of VMs, which lags.
//
// # Usage
//
//	c := &vmlist.Client{Address: "127.0.0.1:9000"}
//	vms, err := c.List(ctx)
package vmlist
