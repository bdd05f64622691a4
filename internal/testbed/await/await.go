// Package await limits how long a test waits. A test that waits on a bare channel hangs
// until the time limit of its whole package, and the other results of the package are then
// lost too.
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
	// Limit is how long Value waits. It allows for a busy machine and is far below the time
	// limit of a package.
	Limit = 30 * time.Second

	stacksBytes = 1 << 20
)

// Value returns the next value from c, or the zero value if c is closed. If nothing arrives
// within Limit, the test fails with the stacks of all goroutines.
func Value[T any](t testing.TB, c <-chan T, what string) T {
	t.Helper()
	return Within(t, c, Limit, what)
}

// Within is like Value, with an explicit limit.
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

// stacks returns the stacks of all goroutines, truncated to stacksBytes.
func stacks() []byte {
	b := make([]byte, stacksBytes)
	return b[:runtime.Stack(b, true)]
}
