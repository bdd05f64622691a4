package engines

import (
	"context"
	"time"

	"guavapaddle/core/backend"
	"guavapaddle/core/outcome"
	"guavapaddle/io/engine"
)

const (
	refusedRetryDelay = 300 * time.Millisecond
	leavingRetryDelay = time.Second
)

// Client implements Engine with the client of io/engine.
type Client struct {
	Engine  *engine.Client
	Options engine.StreamOptions
}

// Generate starts a generation.
func (c *Client) Generate(ctx context.Context, g backend.Generate) (Stream, error) {
	return wrap(c.Engine.Generate(ctx, g, c.Options))
}

// Resume resumes a generation from an offset.
func (c *Client) Resume(ctx context.Context, r backend.Resume) (Stream, error) {
	return wrap(c.Engine.Resume(ctx, r, c.Options))
}

// Cancel cancels a generation.
func (c *Client) Cancel(ctx context.Context, requestID string) error {
	return c.Engine.Cancel(ctx, requestID)
}

// Classify implements Engine.
func (c *Client) Classify(err error) (FailureClass, outcome.Reason, time.Duration) {
	notRun := engine.NotRun(err)
	switch kind := engine.KindOf(err); {
	case kind == engine.NotSent:
		return NotSent, outcome.BackendUnreachable, leavingRetryDelay
	case kind == engine.NotResident && notRun:
		return NotRun, outcome.NoCopy, refusedRetryDelay
	case kind == engine.Full && notRun:
		return NotRun, outcome.QueueFull, refusedRetryDelay
	case kind == engine.Leaving && notRun:
		return NotRun, outcome.ServerLeaving, leavingRetryDelay
	case notRun:
		return NotRun, outcome.BackendRefused, refusedRetryDelay
	case kind == engine.UnknownRequest:
		return Unknown, outcome.BackendLost, 0
	case kind == engine.Lost, kind == engine.Silent, kind == engine.Cut, kind == engine.Duplicate:
		return Interrupted, outcome.BackendLost, 0
	case kind == engine.WrongOffset, kind == engine.WrongRequest, kind == engine.Malformed:
		return Interrupted, outcome.BackendCut, 0
	default:
		return Failed, outcome.BackendFailed, 0
	}
}

// wrap prevents a nil *engine.Stream from becoming a non-nil Stream.
func wrap(s *engine.Stream, err error) (Stream, error) {
	if err != nil {
		return nil, err
	}
	return s, nil
}
