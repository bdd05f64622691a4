// Package engine is a client for model engines.
//
// State, fence and order calls reuse connections. Each stream opens a connection of its own
// and closes it at the end. That costs one round trip. It ensures that a stream never starts
// on a connection that failed silently while idle, that the transport never replays a
// request, and that a late response never reaches a later request. It also limits the
// streams that one process can start at one engine to the number of local ports over the
// TIME_WAIT period, about 470 per second with the defaults of Linux, far more than the batch
// of an engine can serve.
//
// A stream is complete only once it has delivered an event with Finish set. It fails with
// Cut if it ends without one, with Silent if no event arrives within the progress timeout,
// with WrongRequest if an event carries another request id, and with WrongOffset if a token
// is missing or duplicated. The connection of a failed stream is closed at once, but the
// engine continues to run the request: after Cut or Silent, Resume returns the rest.
//
// Error.NotRun reports whether a request certainly did not run, either because no byte of it
// was written or because the engine stated that it did not run it.
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
