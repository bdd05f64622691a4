package session

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	goldenMode = 0o644
	goldenDir  = "testdata"
)

var (
	update = flag.Bool("update", false, "rewrite golden files")

	// masks replace the parts that differ between runs.
	masks = []struct {
		pattern *regexp.Regexp
		with    string
	}{
		{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
		{regexp.MustCompile(`\b[0-9a-f]{24}\b`), "REQUEST"},
		{regexp.MustCompile(`\b[0-9a-f]{64}\b`), "HASH"},
		{regexp.MustCompile(`\b[0-9a-f]{16,32}\b`), "ID"},
		{regexp.MustCompile(`\bgpu-\d+\b`), "GPU"},
	}

	// shownHeaders are the response headers that a transcript includes.
	shownHeaders = []string{"Content-Type", "Retry-After", "X-Outcome", "X-Reason", "X-Stored-Answer"}
)

// Transcript records what callers and operators saw, in order.
type Transcript struct{ b strings.Builder }

// Step starts a new step with a heading.
func (tr *Transcript) Step(format string, args ...any) {
	fmt.Fprintf(&tr.b, "\n## "+format+"\n", args...)
}

// Response records a response.
func (tr *Transcript) Response(a Response) {
	if a.Err != nil {
		fmt.Fprintf(&tr.b, "connection broke\n")
	}
	if a.Status == 0 {
		return
	}
	fmt.Fprintf(&tr.b, "%d\n", a.Status)
	for _, name := range shownHeaders {
		if v := a.Header.Get(name); v != "" {
			fmt.Fprintf(&tr.b, "%s: %s\n", name, v)
		}
	}
	tr.Text(a.Body)
}

// Text records lines of text.
func (tr *Transcript) Text(s string) {
	for _, line := range strings.Split(strings.TrimSpace(s), "\n") {
		if line = strings.TrimRight(line, " \r"); line != "" {
			tr.b.WriteString("  " + line + "\n")
		}
	}
}

// String returns the transcript with volatile parts masked.
func (tr *Transcript) String() string {
	s := tr.b.String()
	for _, m := range masks {
		s = m.pattern.ReplaceAllString(s, m.with)
	}
	return strings.TrimLeft(s, "\n")
}

// Compare compares the transcript with a golden file, or rewrites the file if -update is
// set.
func (tr *Transcript) Compare(t testing.TB, name string) {
	file := filepath.Join(goldenDir, name+".golden")
	got := tr.String()
	if *update {
		require.NoError(t, os.MkdirAll(goldenDir, 0o755))
		require.NoError(t, os.WriteFile(file, []byte(got), goldenMode))
		return
	}
	want, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}
