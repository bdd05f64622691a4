package parts

import (
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
)

// maxStackBytes limits the size of the stack traces that are logged when tasks have
// not returned in time.
const maxStackBytes = 32 << 10

type (
	// Group is a set of running tasks. Its exported fields must be set before
	// the first call of Go.
	Group struct {
		Log *zap.Logger

		mu           sync.Mutex
		running      map[string]int // number of running tasks by name
		taskReturned chan struct{}  // closed and replaced when a task returns
	}

	// StuckError reports tasks that did not return within the limit.
	StuckError struct {
		Tasks []string // sorted names
		Limit time.Duration
	}
)

// Error returns the names of the tasks and the limit.
func (e *StuckError) Error() string {
	return "not ended within " + e.Limit.String() + ": " + strings.Join(e.Tasks, ", ")
}

// Go runs a task in its own goroutine. Several tasks may have the same name.
func (g *Group) Go(name string, task func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running == nil {
		g.running = map[string]int{}
		g.taskReturned = make(chan struct{})
	}
	g.running[name]++
	go func() {
		defer g.taskDone(name)
		task()
	}()
}

func (g *Group) taskDone(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running[name]--; g.running[name] == 0 {
		delete(g.running, name)
	}
	close(g.taskReturned)
	g.taskReturned = make(chan struct{})
}

// runningTasks returns the sorted names of the running tasks and a channel that is
// closed when a task returns.
func (g *Group) runningTasks() ([]string, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var names []string
	for name := range g.running {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, g.taskReturned
}

// Wait blocks until all tasks have returned. After limit it logs the tasks that
// are still running, with the stacks of all goroutines, and returns a *StuckError.
func (g *Group) Wait(limit time.Duration) error {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		names, taskReturned := g.runningTasks()
		if len(names) == 0 {
			return nil
		}
		select {
		case <-taskReturned:
		case <-timer.C:
			stacks := make([]byte, maxStackBytes)
			stacks = stacks[:runtime.Stack(stacks, true)]
			g.Log.Error("parts-not-ended", zap.Strings("parts", names), zap.Duration("limit", limit), zap.ByteString("stacks", stacks))
			return &StuckError{Tasks: names, Limit: limit}
		}
	}
}
