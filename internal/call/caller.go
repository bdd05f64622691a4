package call

import (
	"context"

	"guavapaddle/core/outcome"
)

// Caller carries out calls. Its exported fields are set before the first call.
// It is safe for concurrent use.
type Caller struct {
	Servers Servers
	Backend Backend
}

// Do carries out r and returns the whole answer of the backend server. Every
// error is an *outcome.Error.
func (c *Caller) Do(ctx context.Context, r Request) (Answer, error) {
	s, done, found := c.Servers.Pick(r.Service, nil)
	if !found {
		return Answer{}, outcome.Refuse(outcome.NoServer, r.Service, 0)
	}
	a, err := c.Backend.Send(ctx, s, r)
	done(err == nil)
	return a, err
}
