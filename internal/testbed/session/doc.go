// Package session runs complete systems of real processes on the loopback interface, for
// tests: stand-ins for the platform, engines and services, nodes, operator commands, and
// signals that kill or freeze processes.
//
// # Method
//
// The two programs are built once per test binary. Each process prints a line with its
// addresses when it is ready. What callers and operators see is recorded in a Transcript
// whose volatile parts are masked, and which is compared with a golden file; -update
// rewrites the file.
//
// # Usage
//
//	s := session.New(t, session.SmallDocument(t, 2, 1), session.Options{})
//	s.StartNodes(2)
//	a := s.Do(0, http.MethodPost, "/v1/chat/completions", body)
//	s.Nodes[1].Signal(syscall.SIGSTOP)
package session
