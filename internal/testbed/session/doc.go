// Package session runs whole sessions with real processes on the loopback, for
// tests: the platform, engines and services as stand-ins, nodes, operators'
// commands, and signals that kill or freeze processes.
//
// # Method
//
// The two programs are built once a test binary. Each process prints a line
// with its addresses when it is ready. What callers and operators see goes into
// a Transcript whose volatile parts are masked, and which is compared with a
// golden file; -update rewrites it.
//
// # Usage
//
//	s := session.New(t, session.Document(...))
//	s.StartNodes(2)
//	a := s.Post(0, "/v1/chat/completions", body, header)
//	s.Node(1).Signal(syscall.SIGSTOP)
package session
