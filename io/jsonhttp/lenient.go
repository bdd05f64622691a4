package jsonhttp

import (
	"context"
	"errors"
	"time"
)

const (
	// stoodStill is how late the end of a context with a deadline shows that the
	// process has not run in the meantime.
	stoodStill = 20 * time.Millisecond
	// catchUp is how long such a process may take to read what has come.
	catchUp = 100 * time.Millisecond
)

// lenient returns a context that ends with ctx, or catchUp later if the process
// stood still when the deadline of ctx passed: an answer that lies in the
// connection's buffer then is not lost for it, which would leave open whether
// the call had an effect. The function returned releases what the context holds.
func lenient(ctx context.Context) (context.Context, func()) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return ctx, func() {}
	}
	run, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		late := errors.Is(ctx.Err(), context.DeadlineExceeded) && time.Since(deadline) > stoodStill
		if !late {
			cancel(context.Cause(ctx))
			return
		}
		time.AfterFunc(catchUp, func() { cancel(context.Cause(ctx)) })
	})
	return run, func() {
		stop()
		cancel(nil)
	}
}
