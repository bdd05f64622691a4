package report_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/config"
	"guavapaddle/internal/testbed/report"
)

func request(kind string, u config.Urgency, outcome, reason string, total time.Duration) report.Request {
	return report.Request{
		At: time.Second, Kind: kind, Urgency: u, Team: "c", Value: 2, Deadline: time.Second, BoundMet: true,
		Outcome: outcome, Reason: reason, FirstToken: total / 2, Total: total, TokenGaps: []time.Duration{9 * time.Millisecond}, Complete: outcome == "done",
	}
}

func newRecorder() *report.Recorder {
	r := &report.Recorder{}
	r.Add(request("live", config.Urgent, "done", "", 400*time.Millisecond))
	r.Add(request("live", config.Urgent, "done", "", 1400*time.Millisecond))
	r.Add(request("batch", config.Deferrable, "refused-not-run", "queue-full", 0))
	incomplete := request("batch", config.Deferrable, "done", "", 100*time.Millisecond)
	incomplete.Complete = false
	r.Add(incomplete)
	r.AddMove(report.Move{At: 1500 * time.Millisecond, Server: "e1", Item: "m"})
	return r
}

func meta(seed uint64) report.Meta {
	return report.Meta{Deployment: "corella", Policy: "home", Planner: "gain", Seed: seed, Load: 0.8, Duration: 2 * time.Second, Accelerators: 1}
}

// TestSummary checks the counts, ratios, series and quantiles of a summary, and that it
// can be encoded and written as a table.
func TestSummary(t *testing.T) {
	s := newRecorder().Summary(meta(1))
	require.Equal(t, 4, s.All.Offered)
	require.Equal(t, 1, s.All.Met, "late, refused and wrong answers are not met")
	require.Equal(t, 0.25, s.All.Attainment)
	require.Equal(t, 0.25, s.All.ShareOfBound)
	require.Equal(t, 0.5, s.Urgent.Attainment)
	require.Equal(t, 0.25, s.ValueAttainment)
	require.Equal(t, 0.5, s.PerAccelerator)
	require.Equal(t, map[string]int{"refused-not-run/queue-full": 1}, s.Reasons)
	require.Equal(t, 1, s.Kinds[0].Wrong)
	require.InDelta(t, 9, s.All.InterToken.P99, 0.1)
	require.Equal(t, []report.Point{{Second: 1, Offered: 4, Met: 1, Bound: 4, Moves: 1}}, s.Series)
	var out bytes.Buffer
	require.NoError(t, s.WriteJSON(&out))
	var decoded report.Summary
	require.NoError(t, json.Unmarshal(out.Bytes(), &decoded))
	require.Equal(t, s.All, decoded.All)
	out.Reset()
	require.NoError(t, s.WriteTable(&out))
	require.Contains(t, out.String(), "refused-not-run/queue-full")
}

// TestPlot checks that a PNG file is written, and the error for a missing directory.
func TestPlot(t *testing.T) {
	file := filepath.Join(t.TempDir(), "run.png")
	require.NoError(t, newRecorder().Summary(meta(1)).WritePlot(file))
	b, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, "\x89PNG", string(b[:4]))
	var plotError *report.PlotError
	require.ErrorAs(t, newRecorder().Summary(meta(1)).WritePlot(filepath.Join(t.TempDir(), "no", "run.png")), &plotError)
}

// TestCompare checks that runs are grouped by their settings and that the spread over
// the seeds of a group is correct.
func TestCompare(t *testing.T) {
	first, second := newRecorder(), newRecorder()
	second.Add(request("live", config.Urgent, "done", "", 400*time.Millisecond))
	other := meta(1)
	other.Policy = "direct"
	c := report.Compare([]*report.Summary{first.Summary(meta(1)), second.Summary(meta(2)), first.Summary(other)})
	require.Len(t, c.Rows, 2)
	require.Equal(t, 2, c.Rows[0].Runs)
	require.InDelta(t, 0.325, c.Rows[0].All.Median, 1e-9)
	require.InDelta(t, 0.25, c.Rows[0].All.Min, 1e-9)
	require.InDelta(t, 0.4, c.Rows[0].All.Max, 1e-9)
	require.Equal(t, "direct", c.Rows[1].Policy)
	var out bytes.Buffer
	require.NoError(t, c.WriteTable(&out))
	require.Contains(t, out.String(), "0.325 [0.250-0.400]")
}
