package jsonhttp

import (
	"context"
	"errors"
	"time"
)

const (
	// stallThreshold is the delay between a context's deadline and the observed end of the
	// context above which the process is assumed to have been stalled.
	stallThreshold = 20 * time.Millisecond
	// stallGrace is the additional time in which a stalled process may read what has
	// arrived.
	stallGrace = 100 * time.Millisecond
)

// extendAfterStall returns a context that ends with ctx, or stallGrace later if the process
// was stalled when the deadline of ctx passed. Without the extension, a response that is
// already in the connection's buffer would be discarded, and it would be unknown whether the
// call had an effect. The returned function releases the resources of the context.
func extendAfterStall(ctx context.Context) (context.Context, func()) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return ctx, func() {}
	}
	extended, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		stalled := errors.Is(ctx.Err(), context.DeadlineExceeded) && time.Since(deadline) > stallThreshold
		if !stalled {
			cancel(context.Cause(ctx))
			return
		}
		time.AfterFunc(stallGrace, func() { cancel(context.Cause(ctx)) })
	})
	return extended, func() {
		stop()
		cancel(nil)
	}
}
