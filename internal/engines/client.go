package engines

import (
	"context"
	"time"

	"guavapaddle/core/backend"
	"guavapaddle/core/outcome"
	"guavapaddle/io/engine"
)

const (
	fullRetry    = 300 * time.Millisecond
	leavingRetry = time.Second
)

// Client is an Engine over io/engine.
type Client struct {
	Engine  *engine.Client
	Options engine.StreamOptions
}

// Generate starts a generation.
func (c *Client) Generate(ctx context.Context, g backend.Generate) (Stream, error) {
	return wrap(c.Engine.Generate(ctx, g, c.Options))
}

// Resume asks for the rest of a generation.
func (c *Client) Resume(ctx context.Context, r backend.Resume) (Stream, error) {
	return wrap(c.Engine.Resume(ctx, r, c.Options))
}

// Cancel ends a generation.
func (c *Client) Cancel(ctx context.Context, requestID string) error {
	return c.Engine.Cancel(ctx, requestID)
}

// Fate tells what an error of the client means.
func (c *Client) Fate(err error) (Fate, outcome.Reason, time.Duration) {
	notRun := engine.NotRun(err)
	switch kind := engine.KindOf(err); {
	case kind == engine.NotSent:
		return NotSent, outcome.BackendUnreachable, leavingRetry
	case kind == engine.NotResident && notRun:
		return NotRun, outcome.NoCopy, fullRetry
	case kind == engine.Full && notRun:
		return NotRun, outcome.QueueFull, fullRetry
	case kind == engine.Leaving && notRun:
		return NotRun, outcome.ServerLeaving, leavingRetry
	case notRun:
		return NotRun, outcome.BackendRefused, fullRetry
	case kind == engine.UnknownRequest:
		return Unknown, outcome.BackendLost, 0
	case kind == engine.Lost, kind == engine.Silent, kind == engine.Cut, kind == engine.Duplicate:
		return Broken, outcome.BackendLost, 0
	case kind == engine.WrongOffset, kind == engine.WrongRequest, kind == engine.Malformed:
		return Broken, outcome.BackendCut, 0
	default:
		return Failed, outcome.BackendFailed, 0
	}
}

// wrap keeps a nil stream from becoming a non-nil interface.
func wrap(s *engine.Stream, err error) (Stream, error) {
	if err != nil {
		return nil, err
	}
	return s, nil
}
