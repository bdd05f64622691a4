// Package measure determines the cost of the control plane per node. It runs complete
// nodes over real sockets at several sizes and fits lines to the results.
//
// # Method
//
// A point is the measurement at one size. All its nodes run in one process. The
// stand-ins, and the clients if there are any, run in another, so that the processor
// time and the heap of the first process are those of the nodes only. When all nodes
// are ready and all servers have an owner, the counters of the nodes are read at the
// ends of several windows. Byte counts are exact. Processor time is that of the process
// divided by the number of nodes, as the median over the windows; all other values are
// means. Since it depends on the other load of the machine, the load average is
// reported with it.
//
// A sweep varies one dimension and fits a line by least squares (see Fit).
//
// # Usage
//
//	p, err := measure.Run(ctx, measure.Size{Nodes: 8, Servers: 16, Models: 50, Teams: 20}, settings)
//	line := measure.Fit(xs, ys)
package measure
