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

// stuck is a reader of the output that doesn't read until it is told to.
type stuck struct {
	bytes.Buffer
	free chan struct{}
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	return s.Buffer.Write(p)
}

func TestALoggerNeverWaitsForItsReader(t *testing.T) {
	w := &stuck{free: make(chan struct{})}
	log, err := logging.NewBounded(w, "info")
	require.NoError(t, err)
	for i := range 5000 { // more than wait at most; each event has its own name
		log.Info("event-"+strings.Repeat("x", i%50), zap.Int("n", i))
	}
	close(w.free)
	log.Close()
	text := w.String()
	require.True(t, strings.Contains(text, "event=log-lines-dropped"), "the lines that were dropped are counted")
	require.Less(t, strings.Count(text, "\n"), 3000)
}

// TestCloseDoesNotWaitForItsReader guards against a process that stays after its
// planned stop because nobody reads its log.
func TestCloseDoesNotWaitForItsReader(t *testing.T) {
	w := &stuck{free: make(chan struct{})}
	log, err := logging.NewBounded(w, "info")
	require.NoError(t, err)
	log.Info("event")
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		log.Close()
	}()
	await.Value(t, closed, "the end of Close")
	close(w.free)
}

func TestSyncWaitsForTheLinesBeforeIt(t *testing.T) {
	w := &stuck{free: make(chan struct{})}
	log, err := logging.NewBounded(w, "info")
	require.NoError(t, err)
	log.Info("event")
	var late *logging.SyncError
	require.ErrorAs(t, log.Sync(), &late, "the reader doesn't read")
	close(w.free)
	require.NoError(t, log.Sync())
	require.Contains(t, w.String(), "event=event")
	log.Close()
}

func TestLinesOfOneEventAreThinnedAndCounted(t *testing.T) {
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
	var level *logging.LevelError
	require.ErrorAs(t, err, &level)
}
