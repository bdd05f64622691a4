package measure_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"io"
	"math"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/testbed/measure"
)

const standInsVariable = "GUAVAPADDLE_MEASURE_TEST_STAND_INS"

// TestMain runs the stand-ins instead of the tests if TestRun started this process for
// them.
func TestMain(m *testing.M) {
	if os.Getenv(standInsVariable) == "" {
		os.Exit(m.Run())
	}
	var s measure.Size
	fs := flag.NewFlagSet("stand-ins", flag.ExitOnError)
	s.Register(fs)
	_ = fs.Parse(os.Args[1:])
	if measure.StandIns(context.Background(), s, os.Stdin, os.Stdout) != nil {
		os.Exit(1)
	}
}

// TestFit checks the fitted lines, and that Fit panics on invalid points.
func TestFit(t *testing.T) {
	for _, test := range []struct {
		name   string
		xs, ys []float64
		want   measure.Line
	}{
		{"line", []float64{1, 2, 3, 4}, []float64{5, 7, 9, 11}, measure.Line{Intercept: 3, Slope: 2, R2: 1}},
		{"constant", []float64{1, 2, 3}, []float64{4, 4, 4}, measure.Line{Intercept: 4, R2: 1}},
		{"noise", []float64{0, 1, 2, 3}, []float64{0, 2, 1, 3}, measure.Line{Intercept: 0.3, Slope: 0.8, R2: 0.64}},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := measure.Fit(test.xs, test.ys)
			require.InDelta(t, test.want.Intercept, got.Intercept, 1e-9)
			require.InDelta(t, test.want.Slope, got.Slope, 1e-9)
			require.InDelta(t, test.want.R2, got.R2, 1e-9)
			require.InDelta(t, test.want.At(10), got.At(10), 1e-6)
		})
	}
	require.Panics(t, func() { measure.Fit([]float64{1, 1}, []float64{1, 2}) })
	require.Panics(t, func() { measure.Fit([]float64{1, 2}, []float64{1}) })
}

// TestSizeFlagsRoundTrip checks that Register parses the output of Flags.
func TestSizeFlagsRoundTrip(t *testing.T) {
	want := measure.Size{Nodes: 3, Servers: 5, Models: 7, Adapters: 11, Teams: 13, Rate: 2.5}
	var got measure.Size
	fs := flag.NewFlagSet("size", flag.ContinueOnError)
	got.Register(fs)
	require.NoError(t, fs.Parse(want.Flags()))
	require.Equal(t, want, got)
}

// TestSizeWith checks the variation of dimensions and the errors for unknown dimensions
// and invalid values.
func TestSizeWith(t *testing.T) {
	base := measure.Size{Nodes: 8, Servers: 16, Models: 50, Teams: 20}
	ray, err := base.With(measure.Ray, 32)
	require.NoError(t, err)
	require.Equal(t, measure.Size{Nodes: 32, Servers: 64, Models: 50, Teams: 20}, ray)
	for d, v := range map[measure.Dimension]int{"moons": 1, measure.Nodes: 0, measure.Teams: -1} {
		_, err := base.With(d, v)
		require.ErrorAs(t, err, new(*measure.UsageError), d)
	}
	_, err = measure.Values("1, 2,x")
	require.ErrorAs(t, err, new(*measure.UsageError))
	all, err := measure.Values("8, 16")
	require.NoError(t, err)
	require.Equal(t, []int{8, 16}, all)
}

func TestDocumentIsValid(t *testing.T) {
	s := measure.Size{Nodes: 1, Servers: 3, Models: 10, Adapters: 30, Teams: 4}
	d := s.Document([]string{"10.0.0.1:1", "10.0.0.1:2", "10.0.0.1:3"})
	require.Empty(t, d.Validate())
}

// TestSweepTable checks that a table omits values that are always zero, and by default
// those of the node with the maximum.
func TestSweepTable(t *testing.T) {
	points := []measure.Point{
		{Values: map[string]float64{"a bytes sent": 10, "max a bytes sent": 11, "b seconds": 0}},
		{Values: map[string]float64{"a bytes sent": 20, "max a bytes sent": 21, "b seconds": 0}},
	}
	s := measure.NewSweep(measure.Nodes, []int{1, 2}, points)
	require.InDelta(t, 10, s.Lines["a bytes sent"].Slope, 1e-9)
	var out bytes.Buffer
	require.NoError(t, s.Table(&out, false))
	require.Contains(t, out.String(), "a bytes sent")
	require.NotContains(t, out.String(), "max a")
	require.NotContains(t, out.String(), "b seconds")
	text, err := json.Marshal(s)
	require.NoError(t, err)
	require.Contains(t, string(text), `"slope":10`)
}

// TestRun checks a measurement of two nodes with four servers, and that an empty size
// is rejected.
func TestRun(t *testing.T) {
	t.Setenv(standInsVariable, "1")
	program, err := os.Executable()
	require.NoError(t, err)
	p, err := measure.Run(t.Context(), measure.Size{Nodes: 2, Servers: 4, Models: 4, Teams: 2}, measure.Settings{
		StandIns: []string{program}, ReadyTimeout: 30 * time.Second, Window: time.Second, Windows: 1,
	})
	require.NoError(t, err)
	require.Positive(t, p.Values["all bytes sent"])
	require.Positive(t, p.Values["engines bytes received"])
	require.Positive(t, p.Values["heap bytes"])
	require.Positive(t, p.Values["processor seconds"])
	for name, v := range p.Values {
		require.False(t, math.IsNaN(v) || v < 0, name)
	}
	_, err = measure.Run(t.Context(), measure.Size{}, measure.Settings{})
	require.ErrorAs(t, err, new(*measure.UsageError))
	require.ErrorAs(t, measure.StandIns(t.Context(), measure.Size{}, nil, io.Discard), new(*measure.UsageError))
}
