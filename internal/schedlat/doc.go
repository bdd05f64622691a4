// Package schedlat measures the scheduling latency of the process: how long goroutines that are ready to run wait for the
// processor. It grows when the process has more work than processor time, for whatever reason, and is near zero
// otherwise, also while requests wait for other processes.
//
// # Method
//
// The Go runtime keeps a histogram of the waits of a sample of goroutines (runtime/metrics, /sched/latencies:seconds). Each
// interval the monitor reads it and takes the mean of the waits that were added. Waits of goroutines that haven't run yet
// aren't in the histogram; the monitor's own are, as it is one of the goroutines that wait.
//
// # Usage
//
//	m := &schedlat.Monitor{Log: log, OnSample: observe}
//	registry.MustRegister(m.Collectors()...)
//	go m.Run(ctx)
package schedlat
