package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/plot/plotter"

	"guavapaddle/core/route"
	"guavapaddle/internal/testbed/report"
)

const dirMode = 0o755

// comparison holds the flags of the compare command, which runs all combinations
// of policies, move prices and seeds.
type comparison struct {
	commonFlags
	policies, planner, seeds, prices, curve, dir string
	parallel                                     int
}

// job holds the parameters of one run of a comparison.
type job struct {
	policy string
	seed   uint64
	price  float64
}

func (c *comparison) register(f *flag.FlagSet) {
	c.commonFlags.register(f)
	f.StringVar(&c.policies, "policies", strings.Join(route.Names(), ","), "routing policies, by commas")
	f.StringVar(&c.planner, "planner", "", "placement of all; default by policy")
	f.StringVar(&c.seeds, "seeds", "1,2,3", "seeds, by commas")
	f.StringVar(&c.prices, "prices", "0", "prices of a move, by commas; 0 for the deployment's, negative for none")
	f.StringVar(&c.curve, "curve", "", "file for a plot of attainment against moves")
	f.IntVar(&c.parallel, "parallel", 1, "runs at the same time; more than one needs spare processors")
	f.StringVar(&c.dir, "dir", "", "directory for the result and plot of each run")
}

func (c *comparison) run(ctx context.Context, out io.Writer) error {
	seeds, err := parseNumbers[uint64](c.seeds, func(s string) (uint64, error) { return strconv.ParseUint(s, 10, 64) })
	if err != nil {
		return err
	}
	prices, err := parseNumbers[float64](c.prices, func(s string) (float64, error) { return strconv.ParseFloat(s, 64) })
	if err != nil {
		return err
	}
	var jobs []job
	for _, price := range prices {
		for _, policy := range strings.Split(c.policies, ",") {
			for _, seed := range seeds {
				jobs = append(jobs, job{policy, seed, price})
			}
		}
	}
	runs := make([]*report.Summary, len(jobs))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, c.parallel))
	for i, j := range jobs {
		group.Go(func() error {
			r, err := c.runJob(ctx, j.policy, j.seed, j.price)
			runs[i] = r
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	result := report.Compare(runs)
	if c.curve != "" {
		if err := writeCurve(c.curve, c.deployment, result); err != nil {
			return err
		}
	}
	return write(out, c.output, result)
}

// runJob executes one run and, if a directory is set, writes its result and plot
// there.
func (c *comparison) runJob(ctx context.Context, policy string, seed uint64, price float64) (*report.Summary, error) {
	cfg, err := c.settings(policy, c.planner, seed, price)
	if err != nil {
		return nil, err
	}
	r, err := cfg.Run(ctx)
	if err != nil || c.dir == "" {
		return r, err
	}
	if err := os.MkdirAll(c.dir, dirMode); err != nil {
		return nil, err
	}
	name := filepath.Join(c.dir, fmt.Sprintf("%s-%s-%g-%s-%d", c.deployment, policy, price, c.fault, seed))
	f, err := os.Create(name + ".json")
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	if err := r.WriteJSON(f); err != nil {
		return nil, err
	}
	return r, r.WritePlot(name + ".png")
}

// writeCurve plots attainment against moves, with one line per policy.
func writeCurve(file, title string, c *report.Comparison) error {
	var names []string
	lines := map[string]plotter.XYs{}
	for _, r := range c.Rows {
		if lines[r.Policy] == nil {
			names = append(names, r.Policy)
		}
		lines[r.Policy] = append(lines[r.Policy], plotter.XY{X: r.Moves.Median, Y: r.All.Median})
	}
	return report.WriteCurve(file, title, names, lines)
}

// parseNumbers parses a comma-separated list of numbers.
func parseNumbers[T any](list string, parse func(string) (T, error)) ([]T, error) {
	var out []T
	for _, s := range strings.Split(list, ",") {
		n, err := parse(strings.TrimSpace(s))
		if err != nil {
			return nil, &UsageError{Text: "not a number: " + s}
		}
		out = append(out, n)
	}
	return out, nil
}
