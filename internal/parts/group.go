package parts

import (
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
)

// stacksBytes bounds the stacks in the line of parts that have not ended.
const stacksBytes = 32 << 10

type (
	// Group is the parts of a process that run. Its exported fields are set
	// before the first Go.
	Group struct {
		Log *zap.Logger

		mu      sync.Mutex
		running map[string]int // by name
		changed chan struct{}  // closed when a part ends
	}

	// StuckError reports parts that have not ended in time.
	StuckError struct {
		Parts []string // sorted
		Limit time.Duration
	}
)

// Error names the parts and the limit.
func (e *StuckError) Error() string {
	return "not ended within " + e.Limit.String() + ": " + strings.Join(e.Parts, ", ")
}

// Go runs a part.
func (g *Group) Go(name string, part func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running == nil {
		g.running = map[string]int{}
		g.changed = make(chan struct{})
	}
	g.running[name]++
	go func() {
		defer g.ended(name)
		part()
	}()
}

func (g *Group) ended(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running[name]--; g.running[name] == 0 {
		delete(g.running, name)
	}
	close(g.changed)
	g.changed = make(chan struct{})
}

// left returns the parts that run, sorted, and what is closed when one ends.
func (g *Group) left() ([]string, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var names []string
	for name := range g.running {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, g.changed
}

// Wait returns when all parts have ended. Past limit it logs those that have
// not, with the stacks of all goroutines, and returns a *StuckError.
func (g *Group) Wait(limit time.Duration) error {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		names, changed := g.left()
		if len(names) == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			stacks := make([]byte, stacksBytes)
			stacks = stacks[:runtime.Stack(stacks, true)]
			g.Log.Error("parts-not-ended", zap.Strings("parts", names), zap.Duration("limit", limit), zap.ByteString("stacks", stacks))
			return &StuckError{Parts: names, Limit: limit}
		}
	}
}
