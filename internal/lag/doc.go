// Package lag measures by how much this process is late for reasons of its own: how long goroutines that are ready to run wait for the
// processor (the scheduling latency), and how long packets wait at the VM's link. Both grow when the process has more work than
// processor time or bandwidth, and are near zero otherwise, also while requests wait for other processes.
//
// # Method
//
// The Go runtime keeps a histogram of the waits of a sample of goroutines (runtime/metrics, /sched/latencies:seconds). Each
// interval the Monitor reads it and takes the mean of the waits that were added. Those that open connections, or call another node,
// record the round trip with BeginRoundTrip; core/admission derives the delay of the link from them, and Probe makes one if none shows it.
//
// Timeouts of calls to other processes are extended by Allowance, so that the delay of this process isn't taken for the failure of a peer. Both
// measures are of the process and the VM, so the package holds them for all callers; without a running Monitor they are zero.
//
// # Usage
//
//	m := &lag.Monitor{Log: log, OnSample: observe, Probe: probe}
//	registry.MustRegister(m.Collectors()...)
//	go m.Run(ctx)
//	...
//	ctx, cancel := lag.WithTimeout(ctx, callTimeout)
//	trip := lag.BeginRoundTrip(address)
//	conn, err := dialer.DialContext(ctx, "tcp", address)
//	trip.EndWith(err)
package lag
