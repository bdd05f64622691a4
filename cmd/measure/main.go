// Command measure measures the cost of control work per node. It runs complete
// nodes at several system sizes and fits a line to each figure.
//
// # Usage
//
//	measure -vary ray -at 8,16,32,64
//	measure -vary servers -at 10,20,50,100 -nodes 8
//	measure -vary models -at 50,200,600,1200 -servers 40 -output json
//
// Each point runs all nodes in one process and the stand-ins in a second one. See
// package guavapaddle/internal/testbed/measure.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/rotisserie/eris"

	"guavapaddle/internal/testbed/measure"
)

const (
	envPrefix       = "GUAVAPADDLE_MEASURE"
	pointCommand    = "point"
	standInsCommand = "stand-ins"
)

// options holds the parsed command line.
type options struct {
	size     measure.Size
	settings measure.Settings
	vary     string
	values   string
	output   string
	busiest  bool
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := command(ctx, os.Args[1:], os.Stdin, os.Stdout)
	stop()
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// command runs a sweep, or the internal subcommand that the first argument names.
func command(ctx context.Context, args []string, in io.Reader, out io.Writer) error {
	subcommand := ""
	if len(args) > 0 && (args[0] == pointCommand || args[0] == standInsCommand) {
		subcommand, args = args[0], args[1:]
	}
	o, err := parse(args)
	if err != nil {
		return err
	}
	switch subcommand {
	case standInsCommand:
		return measure.StandIns(ctx, o.size, in, out)
	case pointCommand:
		return o.point(ctx, out)
	}
	return o.sweep(ctx, out)
}

// parse reads the flags from args and the environment and validates them.
func parse(args []string) (*options, error) {
	o := &options{size: measure.Size{Nodes: 8, Servers: 16, Models: 50, Adapters: 150, Teams: 20}}
	fs := flag.NewFlagSet("measure", flag.ContinueOnError)
	o.size.Register(fs)
	fs.StringVar(&o.vary, "vary", string(measure.Ray), "what varies: nodes, servers, models, teams, rate or ray (nodes with two servers each)")
	fs.StringVar(&o.values, "at", "8,16,32,64", "values of it")
	fs.StringVar(&o.output, "output", "table", "table or json")
	fs.BoolVar(&o.busiest, "busiest", false, "show the busiest node's figures too")
	fs.DurationVar(&o.settings.ReadyTimeout, "ready", 40*time.Second, "the longest start")
	fs.DurationVar(&o.settings.Settle, "settle", 8*time.Second, "from ready to the first window")
	fs.DurationVar(&o.settings.Window, "window", 4*time.Second, "length of a window")
	fs.IntVar(&o.settings.Windows, "windows", 3, "windows, of which the median counts")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(envPrefix)); err != nil {
		return nil, err
	}
	switch {
	case fs.NArg() > 0:
		return nil, &measure.UsageError{Text: "unexpected argument " + fs.Arg(0)}
	case o.output != "table" && o.output != "json":
		return nil, &measure.UsageError{Text: fmt.Sprintf("no output %q", o.output)}
	case o.settings.Windows < 1 || o.settings.Window <= 0:
		return nil, &measure.UsageError{Text: "windows must be positive"}
	}
	return o, o.size.Check()
}

// point measures one size in this process.
func (o *options) point(ctx context.Context, out io.Writer) error {
	program, err := os.Executable()
	if err != nil {
		return eris.Wrap(err, "own program")
	}
	o.settings.StandIns = []string{program, standInsCommand}
	p, err := measure.Run(ctx, o.size, o.settings)
	if err != nil {
		return err
	}
	return json.NewEncoder(out).Encode(p)
}

// sweep measures each size in a separate process and prints the results.
func (o *options) sweep(ctx context.Context, out io.Writer) error {
	values, err := measure.Values(o.values)
	if err != nil {
		return err
	}
	var points []measure.Point
	for _, v := range values {
		s, err := o.size.With(measure.Dimension(o.vary), v)
		if err != nil {
			return err
		}
		p, err := o.run(ctx, s)
		if err != nil {
			return eris.Wrapf(err, "%s %d", o.vary, v)
		}
		points = append(points, p)
	}
	s := measure.NewSweep(measure.Dimension(o.vary), values, points)
	if o.output == "json" {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(s)
	}
	return s.Table(out, o.busiest)
}

// run measures one size in a separate process.
func (o *options) run(ctx context.Context, s measure.Size) (measure.Point, error) {
	var p measure.Point
	program, err := os.Executable()
	if err != nil {
		return p, eris.Wrap(err, "own program")
	}
	args := append([]string{pointCommand,
		"-ready", o.settings.ReadyTimeout.String(), "-settle", o.settings.Settle.String(),
		"-window", o.settings.Window.String(), "-windows", strconv.Itoa(o.settings.Windows),
	}, s.Flags()...)
	cmd := exec.CommandContext(ctx, program, args...)
	cmd.Stderr = os.Stderr
	encoded, err := cmd.Output()
	if err != nil {
		return p, eris.Wrap(err, "point")
	}
	return p, eris.Wrap(json.Unmarshal(encoded, &p), "point")
}
