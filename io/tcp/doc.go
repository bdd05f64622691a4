// Package tcp provides an accept loop for servers that do not use the one of net/http.
//
// # Usage
//
//	l, err := net.Listen("tcp", address)
//	go tcp.Accept(l, serve, logFailure)
//	...
//	err = l.Close() // ends Accept
package tcp
