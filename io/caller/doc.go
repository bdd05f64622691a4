// Package caller serves HTTP to callers: an OpenAI-style model API with server-sent events,
// and plain services under their declared paths.
//
// # Method
//
// The server is nbhttp. Three properties of nbhttp shape this package. It does not cancel
// the context of a request when the caller disconnects, so this package watches the open
// connections and cancels the contexts itself. It closes idle connections by a read deadline
// that would also cut long streams, so the deadline is cleared while a request runs. By
// default its handlers run on a bounded pool, so each request gets its own goroutine here,
// bounded by the limit on open requests.
//
// The status of a response is sent with the first token, so that a late refusal still has
// its own status. A stream ends with "data: [DONE]"; a stream without it was cut off.
//
// # Usage
//
//	s := &caller.Server{Address: "127.0.0.1:8080", Handler: entry}
//	address, err := s.Listen()
//	err = s.Run(ctx)
package caller
