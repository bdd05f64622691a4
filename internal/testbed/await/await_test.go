package await_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/testbed/await"
)

// failureRecorder records a fatal failure and ends its goroutine, as testing.T does.
type failureRecorder struct {
	testing.TB
	message string
}

func (f *failureRecorder) Helper() {}

func (f *failureRecorder) Fatalf(format string, args ...any) {
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

// TestSilentChannelFailsWithStacks checks that a wait that times out reports where all
// goroutines are. It guards against tests that hang without a trace.
func TestSilentChannelFailsWithStacks(t *testing.T) {
	f := &failureRecorder{TB: t}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		await.Within(f, make(chan int), time.Millisecond, "a number")
	}()
	await.Value(t, ended, "the failure")
	require.Contains(t, f.message, "a number: nothing within 1ms")
	require.Contains(t, f.message, "TestSilentChannelFailsWithStacks")
}
