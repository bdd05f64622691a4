package measure

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// Sweep holds the measurements of a series in which one dimension varies.
type Sweep struct {
	Dimension Dimension       `json:"dimension"`
	At        []int           `json:"at"`
	Points    []Point         `json:"points"`
	Lines     map[string]Line `json:"lines"` // by name of the value
}

// NewSweep returns the sweep of points measured at the values at of dimension d, with a
// line fitted to each value.
func NewSweep(d Dimension, at []int, points []Point) Sweep {
	s := Sweep{Dimension: d, At: at, Points: points, Lines: map[string]Line{}}
	xs := make([]float64, len(at))
	for i, v := range at {
		xs[i] = float64(v)
	}
	if len(at) < 2 || slices.Min(xs) == slices.Max(xs) {
		return s
	}
	for name := range points[0].Values {
		ys := make([]float64, len(points))
		for i, p := range points {
			ys[i] = p.Values[name]
		}
		s.Lines[name] = Fit(xs, ys)
	}
	return s
}

// Table writes the sweep as a text table with one line per value. Values that are zero
// at all points are omitted, and so are the maxima of nodes unless all is true.
func (s Sweep) Table(out io.Writer, all bool) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	head := []string{string(s.Dimension)}
	loadAverages := []string{"load average"}
	for i, v := range s.At {
		head = append(head, fmt.Sprint(v))
		loadAverages = append(loadAverages, fmt.Sprintf("%.1f", s.Points[i].Load))
	}
	writeRow(w, append(head, "intercept", "slope", "r2"))
	for _, name := range s.names(all) {
		cells := []string{name}
		for _, p := range s.Points {
			cells = append(cells, fmt.Sprintf("%.5g", p.Values[name]))
		}
		l := s.Lines[name]
		writeRow(w, append(cells, fmt.Sprintf("%.4g", l.Intercept), fmt.Sprintf("%.4g", l.Slope), fmt.Sprintf("%.3f", l.R2)))
	}
	writeRow(w, append(loadAverages, "", "", ""))
	return w.Flush()
}

// writeRow writes one line of a table. Errors are reported when the table is flushed.
func writeRow(w io.Writer, cells []string) { _, _ = fmt.Fprintln(w, strings.Join(cells, "\t")+"\t") }

// names returns the sorted names of the values to show.
func (s Sweep) names(all bool) []string {
	var out []string
	for name := range s.Points[0].Values {
		zero := !slices.ContainsFunc(s.Points, func(p Point) bool { return p.Values[name] != 0 })
		if !zero && (all || !strings.HasPrefix(name, "max ")) {
			out = append(out, name)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(strings.Compare(lastWord(a), lastWord(b)), strings.Compare(a, b))
	})
	return out
}

func lastWord(s string) string { return s[strings.LastIndex(s, " ")+1:] }
