package cli_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/cli"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// run runs a command line in this process and returns its exit code and output.
func run(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	e := &cli.Environment{Stdin: strings.NewReader(""), Stdout: &out, Stderr: &errs}
	code = e.Run(t.Context(), args)
	return code, out.String(), errs.String()
}

// golden compares got with a golden file, which -update rewrites first.
func golden(t *testing.T, file, got string) {
	t.Helper()
	if *update {
		require.NoError(t, os.WriteFile(file, []byte(got), 0o644))
	}
	want, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}

func TestValidateRejectsInvalidDocuments(t *testing.T) {
	files, err := filepath.Glob("testdata/broken/*.json")
	require.NoError(t, err)
	require.Greater(t, len(files), 20)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".json"), func(t *testing.T) {
			code, stdout, stderr := run(t, "validate", "-file", file)
			require.Equal(t, cli.ExitInvalid, code)
			require.Empty(t, stdout)
			golden(t, strings.TrimSuffix(file, ".json")+".golden", stderr)
		})
	}
}

func TestValidateAcceptsDocument(t *testing.T) {
	code, stdout, stderr := run(t, "validate", "-file", "testdata/valid.json")
	require.Empty(t, stderr)
	require.Equal(t, cli.ExitOK, code)
	golden(t, "testdata/valid.golden", stdout)
}
