// Package fault provides fault injection for the HTTP servers of the stand-ins.
//
// A Server listens and tracks its open connections, so that they can be closed or
// silenced. A Set holds the active faults of one stand-in and wraps its handler;
// one Server can serve several stand-ins. The paths /fault and /counters are not
// subject to faults, so that a test can always clear them.
//
// The package uses net/http instead of nbhttp for two reasons: a silenced
// connection has to discard bytes below the HTTP server, and a stream blocks its
// handler for its whole duration, for which the bounded worker pool of nbhttp is
// not designed.
//
// # Usage
//
//	set := &fault.Set{Counters: &fault.Counters{}}
//	mux := http.NewServeMux()
//	mux.Handle("/table/", set.Wrap(handler))
//	address, err := set.Serve("", mux)
//	set.SetFaults(fault.Faults{DropAnswers: 1})
package fault
