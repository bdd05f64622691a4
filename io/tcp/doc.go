// Package tcp provides what the project's protocols over TCP share: an accept loop for servers that do not use the one of net/http, counts
// of bytes, and connections whose reads report what a concurrent write has learned.
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
//
//	conn = &tcp.Conn{TCPConn: tcpConn}
//	n, err := conn.Read(b) // io.EOF only if the peer has ended the stream
package tcp
