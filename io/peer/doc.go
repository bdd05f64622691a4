// Package peer carries messages and calls between nodes over QUIC with mutual TLS.
//
// # Method
//
// Each pair of nodes uses at most one connection in each dialling direction. A message is a
// unidirectional stream with one frame. A call is a bidirectional stream: the caller opens
// it with one frame, the callee replies with any number of frames, and the call ends when
// the callee closes its side. A frame consists of its length as an unsigned varint, one byte
// for its kind, and a CBOR value. The streams of a connection are independent, so a lost
// packet delays only one reply; this is the reason for using QUIC instead of a single TCP
// connection.
//
// A connection that is idle for IdleTimeout is closed. There are no keep-alives: at 350
// nodes, keep-alives alone would exceed the byte budget for control traffic. A caller that
// waits for a reply must therefore check within the call that the peer is alive. A call
// whose connection breaks ends with an *Error of kind Lost, and the next call dials again. A
// failed dial returns an *Error of kind Unreachable: no byte of the call has left this node.
//
// # Usage
//
// Set the fields before Listen and Run:
//
//	e := &peer.Endpoint{Address: "127.0.0.1:7001", TLS: source}
//	e.OnMessage = func(from string, f peer.Frame) { ... }
//	e.OnCall = func(ctx context.Context, from string, f peer.Frame, s *peer.Stream) { ... }
//	address, err := e.Listen()
//	err = e.Run(ctx)
package peer
