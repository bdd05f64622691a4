package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/testbed/experiment"
	"guavapaddle/internal/testbed/report"
)

func TestMain(m *testing.M) {
	experiment.RunNode()
	os.Exit(m.Run())
}

func TestUsage(t *testing.T) {
	for _, args := range [][]string{
		{"-deployment", "nonsense"},
		{"-output", "nonsense"},
		{"stray"},
		{"compare", "-seeds", "x"},
		{"compare", "-prices", ""},
	} {
		var usage *UsageError
		require.ErrorAs(t, command(context.Background(), args, &bytes.Buffer{}), &usage, "%v", args)
	}
	var setting *experiment.SettingError
	require.ErrorAs(t, command(context.Background(), []string{"-policy", "nonsense"}, &bytes.Buffer{}), &setting)
}

func TestCompare(t *testing.T) {
	dir := t.TempDir()
	var out bytes.Buffer
	require.NoError(t, command(context.Background(), []string{
		"compare", "-policies", "home", "-seeds", "1", "-scale", "0.2", "-nodes", "2", "-load", "0.2", "-duration", "1s",
		"-output", "json", "-dir", dir, "-curve", filepath.Join(dir, "curve.png"),
	}, &out))
	var c report.Comparison
	require.NoError(t, json.Unmarshal(out.Bytes(), &c))
	require.Len(t, c.Rows, 1)
	require.Equal(t, "home", c.Rows[0].Policy)
	files, err := os.ReadDir(dir)
	require.NoError(t, err)
	require.Len(t, files, 3, "result, plot and curve")
}
