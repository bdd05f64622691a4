package await_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/testbed/await"
)

// failing records a fatal failure and ends its goroutine, as a test would.
type failing struct {
	testing.TB
	message string
}

func (f *failing) Helper() {}

func (f *failing) Fatalf(format string, args ...any) {
	f.message = fmt.Sprintf(format, args...)
	runtime.Goexit()
}

func TestValue(t *testing.T) {
	c := make(chan int, 1)
	c <- 3
	require.Equal(t, 3, await.Value(t, c, "a number"))
	close(c)
	require.Zero(t, await.Value(t, c, "the end"))
}

// TestSilentChannelFailsWithStacks guards against a test that hangs without
// saying where.
func TestSilentChannelFailsWithStacks(t *testing.T) {
	f := &failing{TB: t}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		await.Within(f, make(chan int), time.Millisecond, "a number")
	}()
	await.Value(t, ended, "the failure")
	require.Contains(t, f.message, "a number: nothing within 1ms")
	require.Contains(t, f.message, "TestSilentChannelFailsWithStacks")
}
