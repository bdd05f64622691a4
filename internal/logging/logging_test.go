package logging_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"guavapaddle/core/outcome"
	"guavapaddle/internal/logging"
)

func TestOneLinePerEvent(t *testing.T) {
	var b bytes.Buffer
	log, err := logging.New(&b, "info")
	require.NoError(t, err)
	log.Debug("not-shown")
	log.Info("request-done", logging.Request("r\n1=\"x\""), logging.Team("shire"), logging.Kind("live"),
		logging.Model("drafter"), logging.Server("engine-1"), logging.Outcome(outcome.RefusedNotRun),
		logging.Reason(outcome.QueueFull), logging.Node("n1"), zap.Duration("waited", 1500*time.Millisecond), zap.Int64("bytes", 7))
	text := b.String()
	require.Equal(t, 1, strings.Count(text, "\n"), "a line break in a value is escaped")
	_, rest, _ := strings.Cut(text, "level=")
	require.Equal(t, `info event=request-done request-id="r\n1=\"x\"" team=shire kind=live model=drafter server=engine-1 outcome=refused-not-run reason=queue-full node=n1 waited=1.5s bytes=7`+"\n", rest)
	_, err = logging.New(&b, "loud")
	var levelErr *logging.LevelError
	require.ErrorAs(t, err, &levelErr)
}
