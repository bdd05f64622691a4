package main

import (
	"context"
	"flag"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"guavapaddle/core/place"
	"guavapaddle/core/route"
	"guavapaddle/internal/node"
	"guavapaddle/internal/testbed/experiment"
	"guavapaddle/internal/testbed/report"
)

const (
	outputTable = "table"
	outputJSON  = "json"
)

type (
	// commonFlags holds the flags shared by single runs and comparisons.
	commonFlags struct {
		deployment string
		fault      string
		limit      string
		load       float64
		duration   time.Duration
		nodes      int
		scale      float64
		output     string
		logs       string
	}

	// single holds the flags of a single run.
	single struct {
		commonFlags
		policy, planner string
		seed            uint64
		price           float64
		plot            string
	}
)

func (c *commonFlags) register(f *flag.FlagSet) {
	names := slices.Sorted(maps.Keys(experiment.Deployments()))
	f.StringVar(&c.deployment, "deployment", "corella", strings.Join(names, " or "))
	f.StringVar(&c.fault, "fault", "", "fault at a third of the run: "+strings.Join(experiment.Faults(), ", "))
	f.StringVar(&c.limit, "limit", node.LimitCost, "limits of teams: "+strings.Join(node.LimitNames(), ", "))
	f.Float64Var(&c.load, "load", 0.8, "mean work as a part of the accelerators' capacity")
	f.DurationVar(&c.duration, "duration", 30*time.Second, "time in which requests arrive")
	f.IntVar(&c.nodes, "nodes", 8, "nodes")
	f.Float64Var(&c.scale, "scale", 1, "factor of engines, models, adapters and teams")
	f.StringVar(&c.logs, "logs", "", "directory for the nodes' logs")
	f.StringVar(&c.output, "output", outputTable, "table or json")
}

// settings validates the flags and returns the settings of a run.
func (c *commonFlags) settings(policy, planner string, seed uint64, price float64) (experiment.Settings, error) {
	d, ok := experiment.Deployments()[c.deployment]
	if !ok {
		return experiment.Settings{}, &UsageError{Text: "unknown deployment " + c.deployment}
	}
	if c.output != outputTable && c.output != outputJSON {
		return experiment.Settings{}, &UsageError{Text: "unknown output " + c.output}
	}
	return experiment.Settings{
		Deployment: d.Scaled(c.scale), Policy: policy, Planner: planner, Fault: c.fault, Seed: seed,
		Load: c.load, Duration: c.duration, Nodes: c.nodes, MovePrice: price, Limit: c.limit, LogDir: c.logs,
	}, nil
}

func (s *single) register(f *flag.FlagSet) {
	s.commonFlags.register(f)
	f.StringVar(&s.policy, "policy", route.NameHome, "routing: "+strings.Join(route.Names(), ", "))
	f.StringVar(&s.planner, "planner", "", "placement: "+strings.Join(place.Names(), ", ")+"; default by policy")
	f.Uint64Var(&s.seed, "seed", 1, "seed of the load")
	f.Float64Var(&s.price, "price", 0, "price of a move, 0 for the deployment's, negative for none")
	f.StringVar(&s.plot, "plot", "", "file for a plot over time, PNG by its ending")
}

func (s *single) run(ctx context.Context, out io.Writer) error {
	cfg, err := s.settings(s.policy, s.planner, s.seed, s.price)
	if err != nil {
		return err
	}
	r, err := cfg.Run(ctx)
	if err != nil {
		return err
	}
	if s.plot != "" {
		if err := r.WritePlot(s.plot); err != nil {
			return err
		}
	}
	return write(out, s.output, r)
}

// resultWriter is a result that can be printed as JSON or as a table.
type resultWriter interface {
	WriteJSON(w io.Writer) error
	WriteTable(w io.Writer) error
}

func write(out io.Writer, output string, w resultWriter) error {
	if output == outputJSON {
		return w.WriteJSON(out)
	}
	return w.WriteTable(out)
}

var (
	_ resultWriter = (*report.Summary)(nil)
	_ resultWriter = (*report.Comparison)(nil)
)
