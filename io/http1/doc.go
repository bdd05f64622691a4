// Package http1 implements an HTTP/1.1 server and a client connection pool for a proxy that
// must know exactly which bytes were read, which were written, and how each response ended.
//
// Parsing of requests and responses and chunked encoding are left to net/http. This package
// adds what its Server and Transport do not expose: a request head with ambiguous body
// framing is rejected instead of being interpreted in one way, an idle connection is closed
// without dropping a request that was already read, the end of a client's connection is
// detected also behind bytes of a next request and before a request is forwarded, a send reports whether any byte was
// written, and a connection that carried bytes after its response is never reused, nor is
// one that has carried a request for another one with the same id.
//
// # Usage
//
//	s := &http1.Server{Handler: h, Limits: limits}
//	go s.Serve(listener)
//	...
//	s.Drain()                 // responses carry Connection: close
//	s.Shutdown(ctx)           // closes idle connections, waits for open requests
//
//	p := &http1.Pool{}
//	c, err := p.Get(ctx, address, http1.Need{RequestID: id, IdleShare: 1})
//	wrote, err := c.Send(request, deadline)
//	resp, err := c.Receive()
//	...
//	p.Put(c, resp, 0)         // only after the body was read to its end
package http1
