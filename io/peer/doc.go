// Package peer carries messages and calls between nodes over QUIC with mutual
// TLS.
//
// # Method
//
// Each pair of nodes shares one connection for each direction of dialling. A
// message is a unidirectional stream with one frame; a call is a bidirectional
// stream that begins with one frame, is answered by any number of frames, and
// ends when its sender closes it. A frame is its length as an unsigned varint
// and one byte that names its kind, then a CBOR value. Streams of one
// connection do not wait for each other, so a lost packet delays one answer
// only; that is what speaks for QUIC over one TCP connection here.
//
// A connection that is silent for IdleTimeout is closed. There are no
// keep-alives: at 350 nodes they alone would cost more than the bytes that
// control may use, so who waits for an answer demands signs of life on the call
// itself. A call whose connection breaks ends with an *Error of kind
// Lost, and the next call dials anew. A dial that fails gives Unreachable: no
// byte of the call left this node.
//
// # Usage
//
// Fields are set before Run:
//
//	e := &peer.Endpoint{Name: "node-1", Address: "127.0.0.1:7001", TLS: source}
//	e.OnMessage = func(from string, f peer.Frame) { ... }
//	e.OnCall = func(ctx context.Context, from string, f peer.Frame, s *peer.Stream) { ... }
//	err := e.Run(ctx)
package peer
