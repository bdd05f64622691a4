// Package tcp accepts connections for servers that stand on their own loop.
//
// # Usage
//
//	l, err := net.Listen("tcp", address)
//	go tcp.Accept(l, serve, logFailure)
//	...
//	err = l.Close() // ends Accept
package tcp
