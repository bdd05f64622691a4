package logging_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"guavapaddle/internal/logging"
	"guavapaddle/internal/testbed/await"
)

// blockedWriter is an output that blocks all writes until release is closed.
type blockedWriter struct {
	bytes.Buffer
	release chan struct{}
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

func TestBoundedDropsLinesWhenOutputBlocks(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	log, err := logging.NewBounded(w, "info")
	require.NoError(t, err)
	for i := range 5000 { // more than the queue holds; 50 event names, to stay below the sampling rate
		log.Info("event-"+strings.Repeat("x", i%50), zap.Int("n", i))
	}
	close(w.release)
	log.Close()
	text := w.String()
	require.True(t, strings.Contains(text, "event=log-lines-dropped"), "dropped lines are counted")
	require.Less(t, strings.Count(text, "\n"), 3000)
}

// TestCloseReturnsWhenOutputBlocks guards against a process that does not exit
// after a planned stop because nobody reads its log output.
func TestCloseReturnsWhenOutputBlocks(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	log, err := logging.NewBounded(w, "info")
	require.NoError(t, err)
	log.Info("event")
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		log.Close()
	}()
	await.Value(t, closed, "return of Close")
	close(w.release)
}

func TestSyncWaitsForQueuedLines(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	log, err := logging.NewBounded(w, "info")
	require.NoError(t, err)
	log.Info("event")
	var syncErr *logging.SyncError
	require.ErrorAs(t, log.Sync(), &syncErr, "the output is blocked")
	close(w.release)
	require.NoError(t, log.Sync())
	require.Contains(t, w.String(), "event=event")
	log.Close()
}

func TestFrequentEventsAreSampledAndCounted(t *testing.T) {
	w := &bytes.Buffer{}
	log, err := logging.NewBounded(w, "info")
	require.NoError(t, err)
	for i := range 1000 {
		log.Info("same", zap.Int("n", i))
	}
	log.Info("other")
	log.Close()
	text := w.String()
	require.Less(t, strings.Count(text, "event=same"), 500)
	require.Contains(t, text, "event=other")
	require.Contains(t, text, "event=log-lines-thinned of=same count=")
	_, err = logging.NewBounded(w, "loud")
	var levelErr *logging.LevelError
	require.ErrorAs(t, err, &levelErr)
}
