// Package caller speaks HTTP with callers: the OpenAI-style model API with
// server-sent events, and plain services under their declared paths.
//
// # Method
//
// The server is nbhttp. Three of its habits shape this package: it does not
// cancel a request's context when the caller goes away, so open connections are
// watched and the context is cancelled here; it closes idle connections by a
// read deadline that would also hit long streams, so the deadline is lifted
// while a request runs; its handlers run on a bounded pool by default, so each
// request gets a goroutine of its own, bounded by the count of streams.
//
// An answer's status is sent with its first token, so that a refusal that comes
// late still has a status of its own. A stream ends with "data: [DONE]"; what
// ends without it was cut.
//
// # Usage
//
//	s := &caller.Server{Address: "127.0.0.1:8080", Handler: entry}
//	address, err := s.Listen()
//	err = s.Run(ctx)
package caller
