// Package measure finds out what control costs a node, by running whole nodes
// over real sockets at several sizes and fitting lines.
//
// # Method
//
// A point is one size. Its nodes run in one process and the stand-ins, with the
// callers if there are any, in another, so that processor time and heap of the
// first are the nodes' alone. When all nodes are ready and all is owned, the nodes' own
// counters are read at the ends of several windows. Bytes are exact. Processor
// time is that of the process divided by the count of nodes, as a median over
// the windows (all else is the mean); it moves with what else the machine does, so the load average is
// told with it.
//
// A sweep varies one dimension and fits a line by least squares (see Fit).
//
// # Usage
//
//	p, err := measure.Run(ctx, measure.Size{Nodes: 8, Servers: 16, Models: 50, Teams: 20}, settings)
//	line := measure.Fit(xs, ys)
package measure
