// Package http1 speaks HTTP/1.1 with clients and with backend servers where a
// proxy must know exactly what was read, what was written and how each answer
// ended.
//
// net/http parses requests and answers, and encodes chunks. What stands here is
// what its Server and Transport hide: a request head with two ways of framing
// is refused instead of being read one way, an idle connection is closed
// without cutting a request that was read, a send tells whether any byte left,
// and a connection whose answer was followed by further bytes is never used
// again.
//
// # Usage
//
//	s := &http1.Server{Handler: h, Limits: limits}
//	go s.Serve(listener)
//	...
//	s.Drain()                 // answers say Connection: close
//	s.Shutdown(ctx)           // idle connections are closed, open requests end
//
//	p := &http1.Pool{}
//	c, err := p.Get(ctx, address, maxIdle, false)
//	wrote, err := c.Send(request, deadline)
//	resp, err := c.Receive()
//	...
//	p.Put(c, resp)            // only after the body was read to its end
package http1
