package report

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// WriteJSON writes the summary as one JSON object.
func (s *Summary) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(s)
}

// WriteTable writes the summary as a text table.
func (s *Summary) WriteTable(w io.Writer) error {
	m := s.Meta
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "%s policy=%s planner=%s seed=%d load=%.2f duration=%s fault=%s nodes=%d engines=%d\n",
		m.Deployment, m.Policy, m.Planner, m.Seed, m.Load, m.Duration, orNone(m.Fault), m.Nodes, m.Accelerators)
	_, _ = fmt.Fprintln(t, "kind\toffered\tdone\tmet\tattainment\tbound\tof bound\tfirst token p50/p95/p99 ms\tbetween p50/p95/p99 ms\twrong")
	for _, k := range append(slices.Clone(s.Kinds), s.Urgent, s.All) {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.4f\t%.4f\t%.4f\t%s\t%s\t%d\n", k.Name, k.Offered, k.Done, k.Met,
			k.Attainment, ratio(float64(k.Bound), float64(k.Offered)), k.ShareOfBound, k.FirstToken, k.InterToken, k.Wrong)
	}
	_, _ = fmt.Fprintf(t, "value attainment %.4f (%.4f of the bound), met per accelerator and second %.3f, worst team %.3f, moves %d\n",
		s.ValueAttainment, s.ValueShareOfBound, s.PerAccelerator, s.WorstTeam, s.Moves)
	_, _ = fmt.Fprintf(t, "send delay of the load generator %s (p99), processor time %.1f s, of all nodes %.1f s, largest node %.0f MB\n",
		m.SendDelay, m.CPUSeconds, m.NodeCPUSeconds, float64(m.NodeMemory)/1e6)
	for _, reason := range slices.Sorted(maps.Keys(s.Reasons)) {
		_, _ = fmt.Fprintf(t, "%s\t%d\n", reason, s.Reasons[reason])
	}
	return t.Flush()
}

// String returns the three quantiles, separated by slashes.
func (q Quantiles) String() string { return fmt.Sprintf("%.0f/%.0f/%.0f", q.P50, q.P95, q.P99) }

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
