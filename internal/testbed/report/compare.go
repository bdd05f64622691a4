package report

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

type (
	// Spread is the median, minimum and maximum of a value over several seeds.
	Spread struct {
		Median float64 `json:"median"`
		Min    float64 `json:"least"`
		Max    float64 `json:"most"`
	}

	// Row summarizes the runs with the same settings over several seeds.
	Row struct {
		Deployment string `json:"deployment"`
		Policy     string `json:"policy"`
		Planner    string `json:"planner"`
		Fault      string `json:"fault"`
		Limit      string `json:"limit"`
		Runs       int    `json:"runs"`

		Load           float64 `json:"load"`
		MovePrice      float64 `json:"move-price"`
		All            Spread  `json:"attainment"`
		ShareOfBound   Spread  `json:"share-of-bound"`
		Urgent         Spread  `json:"urgent-attainment"`
		Value          Spread  `json:"value-attainment"`
		PerAccelerator Spread  `json:"met-per-accelerator-second"`
		WorstTeam      Spread  `json:"worst-team-attainment"`
		FirstToken95   Spread  `json:"first-token-p95-ms"`
		InterToken95   Spread  `json:"between-tokens-p95-ms"`
		Moves          Spread  `json:"moves"`
	}

	// Comparison has one row for each combination of settings, in the order of the
	// first run of each.
	Comparison struct {
		Rows []Row `json:"rows"`
	}

	// key identifies a combination of settings.
	key struct {
		deployment, policy, planner, fault, limit string
		load, price                               float64
	}
)

// Compare groups the runs by their settings and summarizes each group, whose runs
// differ only in their seed.
func Compare(runs []*Summary) *Comparison {
	var order []key
	groups := map[key][]*Summary{}
	for _, s := range runs {
		m := s.Meta
		k := key{m.Deployment, m.Policy, m.Planner, m.Fault, m.Limit, m.Load, m.MovePrice}
		if groups[k] == nil {
			order = append(order, k)
		}
		groups[k] = append(groups[k], s)
	}
	c := &Comparison{}
	for _, k := range order {
		c.Rows = append(c.Rows, newRow(k, groups[k]))
	}
	return c
}

func newRow(k key, runs []*Summary) Row {
	spreadOf := func(f func(*Summary) float64) Spread {
		values := make([]float64, 0, len(runs))
		for _, s := range runs {
			values = append(values, f(s))
		}
		return spread(values)
	}
	return Row{
		Deployment: k.deployment, Policy: k.policy, Planner: k.planner, Fault: k.fault, Limit: k.limit, Load: k.load, MovePrice: k.price, Runs: len(runs),
		All:            spreadOf(func(s *Summary) float64 { return s.All.Attainment }),
		ShareOfBound:   spreadOf(func(s *Summary) float64 { return s.All.ShareOfBound }),
		Urgent:         spreadOf(func(s *Summary) float64 { return s.Urgent.Attainment }),
		Value:          spreadOf(func(s *Summary) float64 { return s.ValueAttainment }),
		PerAccelerator: spreadOf(func(s *Summary) float64 { return s.PerAccelerator }),
		WorstTeam:      spreadOf(func(s *Summary) float64 { return s.WorstTeam }),
		FirstToken95:   spreadOf(func(s *Summary) float64 { return s.All.FirstToken.P95 }),
		InterToken95:   spreadOf(func(s *Summary) float64 { return s.All.InterToken.P95 }),
		Moves:          spreadOf(func(s *Summary) float64 { return float64(s.Moves) }),
	}
}

// spread returns the median, minimum and maximum of values, of which there must be at
// least one. It sorts values.
func spread(values []float64) Spread {
	slices.SortFunc(values, cmp.Compare[float64])
	n := len(values)
	return Spread{Median: (values[(n-1)/2] + values[n/2]) / 2, Min: values[0], Max: values[n-1]}
}

// WriteJSON writes the comparison as one JSON object.
func (c *Comparison) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(c)
}

// WriteTable writes the comparison as a text table of medians with minimum and
// maximum.
func (c *Comparison) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "deployment\tpolicy\tplanner\tlimit\tfault\tload\tprice\truns\tattainment\tof bound\turgent\tvalue\tmet/acc s\tworst team\tfirst p95 ms\tbetween p95 ms\tmoves")
	for _, r := range c.Rows {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.2f\t%g\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Deployment, r.Policy, r.Planner, r.Limit,
			orNone(r.Fault), r.Load, r.MovePrice, r.Runs, r.All.format(3), r.ShareOfBound.format(3), r.Urgent.format(3), r.Value.format(3),
			r.PerAccelerator.format(2), r.WorstTeam.format(2), r.FirstToken95.format(0), r.InterToken95.format(0), r.Moves.format(0))
	}
	return t.Flush()
}

// format returns "median [minimum-maximum]" with the given number of decimals.
func (s Spread) format(decimals int) string {
	return fmt.Sprintf("%.*f [%.*f-%.*f]", decimals, s.Median, decimals, s.Min, decimals, s.Max)
}
