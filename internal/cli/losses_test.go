package cli_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/cli"
)

func TestLossesFromLogs(t *testing.T) {
	const log = `time=2026-04-08T08:31:14.2Z level=info event=request request-id=a route=r-1 reason=served
time=2026-04-08T08:31:15.2Z level=info event=request request-id=b route=r-1 reason=busy
time=2026-04-08T08:31:15.3Z level=info event=start node=n
`
	file := filepath.Join(t.TempDir(), "node.log")
	require.NoError(t, os.WriteFile(file, []byte(log), 0o600))
	run := func(stdin string, args ...string) (int, string, string) {
		var out, errs bytes.Buffer
		e := &cli.Environment{Stdin: strings.NewReader(stdin), Stdout: &out, Stderr: &errs}
		return e.Run(context.Background(), append([]string{"losses"}, args...)), out.String(), errs.String()
	}
	want := "       1  busy                 r-1\n       1  served               r-1\n08:31:14.0  busy=1  served=1\n"
	for _, args := range [][]string{{"-every", "2s", file}, {"-every", "2s"}} {
		code, out, _ := run(log, args...)
		require.Zero(t, code)
		require.Equal(t, want, out)
	}
	code, out, _ := run(log, "-output", "json")
	require.Zero(t, code)
	require.Contains(t, out, `"reason": "busy"`)

	code, _, errs := run("nothing\n")
	require.Equal(t, 1, code)
	require.Contains(t, errs, "no line tells of a request: standard input")
	code, _, _ = run(log, filepath.Join(t.TempDir(), "none"))
	require.Equal(t, 1, code)
	code, _, errs = run(log, "-every", "0s")
	require.Equal(t, 2, code)
	require.Contains(t, errs, "-every")
}
