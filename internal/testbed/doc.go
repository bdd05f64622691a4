// Package testbed groups the packages that only test and measure the system: stand-ins for
// the platform and its servers, sessions of real processes, fault-injection soak runs, load
// generation and experiments. Only tests and the programs that drive it (cmd/bench,
// cmd/demo, cmd/measure, cmd/soak, cmd/standin) import these packages. They are never on the
// path of a production request.
package testbed
