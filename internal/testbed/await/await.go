// Package await bounds what a test waits for. A test that waits on a bare
// channel hangs until the time limit of its whole package, and then takes the
// package's other results with it.
//
// # Usage
//
//	done := make(chan error, 1)
//	go func() { done <- server.Run(ctx) }()
//	cancel()
//	require.NoError(t, await.Value(t, done, "the end of Run"))
package await

import (
	"runtime"
	"testing"
	"time"
)

const (
	// Limit is how long Value waits. It leaves room for a busy machine and lies
	// far below the time limit of a package.
	Limit = 30 * time.Second

	stacksBytes = 1 << 20
)

// Value returns what c delivers, or its zero value once it is closed. If
// nothing comes within Limit the test fails with the stacks of all goroutines.
func Value[T any](t testing.TB, c <-chan T, what string) T {
	t.Helper()
	return Within(t, c, Limit, what)
}

// Within is Value with a limit of its own.
func Within[T any](t testing.TB, c <-chan T, limit time.Duration, what string) T {
	t.Helper()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case v := <-c:
		return v
	case <-timer.C:
		t.Fatalf("%s: nothing within %v\n%s", what, limit, stacks())
		panic("unreachable")
	}
}

// stacks returns the stacks of all goroutines, up to stacksBytes.
func stacks() []byte {
	b := make([]byte, stacksBytes)
	return b[:runtime.Stack(b, true)]
}
