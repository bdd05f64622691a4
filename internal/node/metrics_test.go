package node_test

import (
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"guavapaddle/internal/keys"
	"guavapaddle/internal/node"
	"guavapaddle/internal/testbed/lab"
	"guavapaddle/internal/testbed/sample"
)

const (
	labTimeout = time.Minute
	pollPeriod = 20 * time.Millisecond
)

var (
	documentedLine = regexp.MustCompile("(?m)^\\| `(guavapaddle_[a-z_]+)` \\| (always|after) \\|")
	describedName  = regexp.MustCompile(`fqName: "(guavapaddle_[a-z_]+)"`)
)

// documented returns the metrics listed in docs/METRICS.md, and whether each is
// always present.
func documented(t *testing.T) map[string]bool {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "docs", "METRICS.md"))
	require.NoError(t, err)
	all := map[string]bool{}
	for _, m := range documentedLine.FindAllStringSubmatch(string(text), -1) {
		all[m[1]] = m[2] == "always"
	}
	return all
}

func TestEachMetricIsDocumented(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, keys.Generate(dir, []string{"n1"}))
	n, err := node.New(node.Settings{
		Name: "n1", CA: filepath.Join(dir, "ca.pem"), Cert: filepath.Join(dir, "n1.pem"), Key: filepath.Join(dir, "n1.key"),
		Policy: "home", Planner: "gain", Limit: "cost",
	}, zap.NewNop())
	require.NoError(t, err)
	described := map[string]bool{}
	for _, d := range node.Described(n) {
		if m := describedName.FindStringSubmatch(d.String()); m != nil {
			described[m[1]] = true
		}
	}
	want := map[string]bool{}
	for name := range documented(t) {
		want[name] = true
	}
	require.Equal(t, want, described)
}

func TestScrapeHasDocumentedMetrics(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), labTimeout)
	defer cancel()
	l := &lab.Lab{Document: sample.Corella(), Nodes: 1}
	require.NoError(t, l.Start(ctx))
	defer l.Close()
	require.Eventually(t, func() bool {
		r, err := l.Status(ctx, 0)
		return err == nil && len(r.Leases) == len(l.Engines) && len(r.Servers) == len(l.Engines)
	}, labTimeout, pollPeriod, "the single node owns all servers")
	sendRefused(ctx, t, l.Callers[0])
	text := httpGet(ctx, t, "http://"+l.Operators[0]+"/metrics")
	for name, always := range documented(t) {
		if always {
			require.Regexp(t, `(?m)^`+name+`[{ ]`, text)
		}
	}
	require.Contains(t, text, `guavapaddle_answers_total{outcome="refused-not-run",reason="unauthorized"} 1`)
	require.Contains(t, text, `guavapaddle_answers_total{outcome="refused-not-run",reason="bad-request"} 1`)
	require.Regexp(t, `(?m)^guavapaddle_control_bytes_total\{direction="received",kind="table"\} [1-9]`, text)
	require.Regexp(t, `(?m)^guavapaddle_control_bytes_total\{direction="received",kind="engines"\} [1-9]`, text)
	require.Regexp(t, `(?m)^guavapaddle_control_seconds_total\{kind="membership"\} [0-9.e-]*[1-9]`, text)
	require.Contains(t, text, "go_memstats_heap_inuse_bytes")
	require.Contains(t, text, "process_cpu_seconds_total")
	status, err := l.Status(ctx, 0)
	require.NoError(t, err)
	require.Len(t, status.Leases, len(l.Engines))
	require.Positive(t, status.Leases[0].ExpiresIn)
}

// sendRefused sends a request that is refused before its team is known, and one with
// a malformed body.
func sendRefused(ctx context.Context, t *testing.T, address string) {
	t.Helper()
	for _, body := range []string{`{"model":"m","messages":[{"role":"user","content":"x"}]}`, `{`} {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
		require.NoError(t, err)
		a, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		require.NoError(t, a.Body.Close())
	}
}

func httpGet(ctx context.Context, t *testing.T, url string) string {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	require.NoError(t, err)
	a, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer func() { _ = a.Body.Close() }()
	text, err := io.ReadAll(a.Body)
	require.NoError(t, err)
	return string(text)
}
