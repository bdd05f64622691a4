package calls

import (
	"context"
	"sync"
)

type (
	// Groups holds the calls in progress. The zero value has none. It is safe for concurrent use.
	Groups struct {
		mu     sync.Mutex
		groups map[string]*group // by key of the node
	}

	// group holds the calls that wait for one node.
	group struct {
		ctx    context.Context // ends when the calls are canceled
		cancel context.CancelFunc
		calls  int
	}
)

// WithCancel returns the context of a call to the node with a key, which also ends when the calls to that node
// are canceled, and a function that must be called when the call has ended.
func (g *Groups) WithCancel(ctx context.Context, key string) (context.Context, context.CancelFunc) {
	g.mu.Lock()
	defer g.mu.Unlock()
	of := g.groups[key]
	if of == nil {
		of = &group{}
		of.ctx, of.cancel = context.WithCancel(context.Background())
		if g.groups == nil {
			g.groups = map[string]*group{}
		}
		g.groups[key] = of
	}
	of.calls++
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(of.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
		g.release(key, of)
	}
}

// release ends one call of a group, and drops the group after its last one.
func (g *Groups) release(key string, of *group) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if of.calls--; of.calls > 0 {
		return
	}
	of.cancel()
	if g.groups[key] == of {
		delete(g.groups, key)
	}
}

// CancelAll cancels the calls that wait for the node with a key.
func (g *Groups) CancelAll(key string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if of := g.groups[key]; of != nil {
		of.cancel()
		delete(g.groups, key)
	}
}
