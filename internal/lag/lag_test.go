package lag_test

import (
	"context"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"guavapaddle/internal/lag"
)

// TestProcessWithoutProcessorTimeIsLate uses up the processor with more goroutines than it has cores, and then lets them end.
func TestProcessWithoutProcessorTimeIsLate(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	var late atomic.Bool
	m := &lag.Monitor{Log: zap.New(core), OnSample: func(s lag.Sample) { late.Store(s.Scheduling > 20*time.Millisecond) }}
	require.Len(t, m.Collectors(), 2)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go m.Run(ctx)

	var stop atomic.Bool
	t.Cleanup(func() { stop.Store(true) })
	for range 1000 * runtime.GOMAXPROCS(0) {
		go func() {
			for !stop.Load() {
				for began := time.Now(); time.Since(began) < 100*time.Microsecond; {
				}
				runtime.Gosched()
			}
		}()
	}
	require.Eventually(t, late.Load, 30*time.Second, 10*time.Millisecond, "the process is late")
	require.Eventually(t, func() bool { return lag.Allowance() > 100*time.Millisecond }, 30*time.Second, 10*time.Millisecond, "timeouts are extended")
	require.Greater(t, lag.Extend(time.Second), 1100*time.Millisecond)
	require.Eventually(t, func() bool { return logs.FilterMessage("process-late").Len() > 0 }, 30*time.Second, 10*time.Millisecond, "it is logged")
	stop.Store(true)
	require.Eventually(t, func() bool { return !late.Load() }, 30*time.Second, 10*time.Millisecond, "the process is in time")
	require.Eventually(t, func() bool { return lag.Allowance() < 10*time.Millisecond }, 30*time.Second, 10*time.Millisecond, "timeouts are as before")
	require.Eventually(t, func() bool { return logs.FilterMessage("process-in-time").Len() > 0 }, 30*time.Second, 10*time.Millisecond, "its end is logged")
}
