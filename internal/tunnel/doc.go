// Package tunnel opens connections to backend servers through other nodes, for a node that has lost its own
// path to a server.
//
// # Method
//
// A tunnel is a call between two nodes. The caller names the address of a server; the callee connects to it
// and passes bytes on in both directions. The caller uses HTTP with the server as over a connection of its
// own, so that everything about a request, such as its route, its deadline and whether it may be repeated, is
// decided once and in one place. A callee uses its own path only, so there is at most one hop.
//
// The end of a connection keeps its meaning: a server that closes its connection ends the caller's read with
// io.EOF, one that resets it with an error, and a caller that closes its end closes the connection to the server.
//
// Which way a connection takes is decided by core/path. A callee that may have lost its own path says so, and
// isn't used for a while; one that carries many tunnels already refuses more.
//
// # Usage
//
// Set the fields of a Dialer before its first use:
//
//	d := &tunnel.Dialer{Own: http1.Dial, Endpoint: e, Peers: peers, Log: log}
//	conn, err := d.Dial(ctx, address) // at the caller
//	d.Serve(ctx, frame, stream)       // at the callee, for frames of kind tunnel.Kind
package tunnel
