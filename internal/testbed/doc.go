// Package testbed groups what only tests and measures the system: stand-ins for
// the platform and its servers, sessions of real processes, the fault soak, load
// and experiments. No package outside it, the tests and the programs that drive
// it (cmd/bench, cmd/demo, cmd/measure, cmd/soak, cmd/standin) imports it. A request
// passes none of these packages.
package testbed
