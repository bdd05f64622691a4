// Command bench measures deadline attainment and model moves. It runs a seeded
// load against complete nodes and stand-ins in one process, and compares policies.
//
// # Usage
//
//	bench -deployment corella -policy home -seed 1 -load 0.8 -duration 30s
//	bench -fault server-loss -output json -plot run.png
//	bench compare -policies home,direct,round-robin,static -seeds 1,2,3
//	bench compare -prices 0,5,20,100 -curve curve.png -deployment kabinaki
//
// Every run also prints an upper bound: the same arrivals served from one shared
// deadline queue by servers that hold all models.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"

	"guavapaddle/internal/testbed/experiment"
)

const envPrefix = "GUAVAPADDLE_BENCH"

// UsageError reports an invalid command line.
type UsageError struct{ Text string }

// Error describes the problem.
func (e *UsageError) Error() string { return e.Text }

func main() {
	experiment.RunNode()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := command(ctx, os.Args[1:], os.Stdout)
	if errors.Is(err, flag.ErrHelp) {
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		stop()
		os.Exit(1)
	}
}

// command runs a single run or, if the first argument is "compare", a comparison.
func command(ctx context.Context, args []string, out io.Writer) error {
	if len(args) > 0 && args[0] == "compare" {
		c := &comparison{}
		if err := parse("bench compare", args[1:], c.register); err != nil {
			return err
		}
		return c.run(ctx, out)
	}
	s := &single{}
	if err := parse("bench", args, s.register); err != nil {
		return err
	}
	return s.run(ctx, out)
}

// parse reads the flags from args and the environment. It returns a *UsageError
// for positional arguments.
func parse(name string, args []string, register func(*flag.FlagSet)) error {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	register(fs)
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(envPrefix)); err != nil {
		return err
	}
	if fs.NArg() > 0 {
		return &UsageError{Text: "unexpected argument " + fs.Arg(0)}
	}
	return nil
}
