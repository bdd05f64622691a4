// Package engine speaks to a model engine.
//
// State, fence and order calls reuse connections; each stream has a connection
// of its own, opened for it and closed after it. That costs one round trip and
// rules out that a stream begins on a connection that has gone silent while it
// was idle, that the transport replays a request, or that a late answer meets
// a later request. It bounds the streams that one process can begin at one
// engine to a system's local ports over its TIME_WAIT, some 470 a second with
// Linux's defaults, far above what an engine's batch takes.
//
// A stream is whole only with its event that has Finish set. One that ends
// without it fails with Cut, one that stays silent for longer than its progress
// timeout with Silent, one whose events carry another request id with
// WrongRequest, and one with a token missing or doubled with WrongOffset. The
// connection of a failed stream is closed at once. The engine goes on: after a
// Cut or Silent stream Resume gets the rest.
//
// Error.NotRun tells whether a request certainly did not run: no byte of it was
// written, or the engine affirmed that it did not run it.
//
// # Usage
//
//	c := &engine.Client{Address: "127.0.0.1:9100"}
//	s, err := c.Generate(ctx, backend.Generate{RequestID: id, Item: item, Prompt: "p", MaxTokens: 8}, engine.StreamOptions{})
//	if err != nil {
//		return err // engine.KindOf(err), engine.NotRun(err)
//	}
//	defer s.Close()
//	for {
//		e, err := s.Next()
//		if err != nil {
//			return err
//		}
//		if e.Finish != "" {
//			return nil
//		}
//		use(e.Token)
//	}
package engine
