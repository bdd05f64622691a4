// Package tcp provides what the project's protocols over TCP share: an accept loop for servers that do not use the one of net/http, and
// counts of bytes.
//
// # Usage
//
//	l, err := net.Listen("tcp", address)
//	go tcp.Accept(l, serve, logFailure)
//	...
//	err = l.Close() // ends Accept
//
//	var t tcp.Traffic
//	conn = t.Count(conn)
//	sent, received := t.Bytes()
package tcp
