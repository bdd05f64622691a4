// Command soak runs the nodes and stand-ins as processes under random faults and
// checks the invariants of the system. See soak -help.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"

	"guavapaddle/internal/testbed/soak"
)

const usage = `Runs seeds of the fault soak one after the other and prints each broken promise.
Exit code 1 if there was one.

EXAMPLES
  go build -o bin/ ./cmd/guavapaddle && go run ./cmd/soak -binary bin/guavapaddle -seed 1 -seeds 50
`

func main() {
	if len(os.Args) == 4 && os.Args[1] == soak.NodeCommand {
		runNode(os.Args[2], os.Args[3])
		return
	}
	fs := flag.NewFlagSet("soak", flag.ExitOnError)
	fs.Usage = func() {
		_, _ = io.WriteString(fs.Output(), usage)
		fs.PrintDefaults()
	}
	binary := fs.String("binary", "bin/guavapaddle", "the `program` to run as nodes")
	seed := fs.Uint64("seed", 1, "first seed")
	seeds := fs.Uint64("seeds", 1, "how many seeds")
	duration := fs.Duration("duration", 15*time.Second, "how long faults come, for each seed")
	nodes := fs.Int("nodes", 4, "processes of the system")
	models := fs.Int("models", 0, "declared models, 0 for the usual number; if it is set, engines start with different models, so that few hold the same")
	engines := fs.Int("engines", 0, "model engines, each with three places, 0 for the usual number")
	restores := fs.Bool("restores", true, "the platform's store comes back from older copies, besides the other faults")
	cuts := fs.Bool("cuts", true, "this program runs the nodes: they lose their path to the servers at times, and servers are silent or brittle, besides the other faults")
	broken := fs.Bool("broken", true, "servers break off responses and send them without a length, besides the other faults")
	versions := fs.Bool("versions", true, "engines have several software versions and are replaced, and clients take streams up, besides the other faults")
	crashes := fs.Bool("crashes", true, "requests with a part of their prompts that crashes servers come, copies of one request that does, and one node gets most requests, besides the other faults")
	shares := fs.Bool("shares", true, "the node that gets most requests has a share of a processor meanwhile, besides the other faults")
	departures := fs.Bool("departures", true, "clients leave before they have a response, besides the other faults")
	outages := fs.Bool("outages", true, "each server of a service that starts crashes under its first requests for some seconds, and all nodes are killed, besides the other faults")
	contended := fs.Bool("contended", true, "bursts of deferrable requests and of one team's come, from clients that return at once when they are refused, besides the other faults")
	verbose := fs.Bool("verbose", false, "print each fault")
	if err := ff.Parse(fs, os.Args[1:], ff.WithEnvVarNoPrefix()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	own := ""
	if *cuts {
		var err error
		if own, err = os.Executable(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	failed := false
	for s := *seed; s < *seed+*seeds && ctx.Err() == nil; s++ {
		failed = run(ctx, &soak.Run{Binary: *binary, Seed: s, Duration: *duration, Nodes: *nodes, Models: *models, Engines: *engines, Restores: *restores, Broken: *broken, Versions: *versions, Crashes: *crashes,
			Shares: *shares, Departures: *departures, Outages: *outages, Contended: *contended, Soak: own, Log: io.Discard}, *verbose) || failed
	}
	if failed {
		os.Exit(1)
	}
}

// runNode runs a node of a soak until it is stopped.
func runNode(settings, cut string) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := soak.RunNode(ctx, settings, cut); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run runs the soak and reports whether it failed: an invariant was violated or the
// run returned an error. The logs of failed runs are kept.
func run(ctx context.Context, r *soak.Run, verbose bool) bool {
	dir, err := soak.TempDir()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return true
	}
	r.Dir = dir
	if verbose {
		r.Log = os.Stderr
	}
	violations, err := r.Do(ctx)
	if err != nil {
		fmt.Printf("seed %d: %v; logs in %s\n", r.Seed, err, dir)
		return true
	}
	if len(violations) == 0 {
		fmt.Printf("seed %d: held\n", r.Seed)
		return os.RemoveAll(dir) != nil
	}
	fmt.Printf("seed %d: %d broken; logs in %s\n", r.Seed, len(violations), dir)
	for _, v := range violations {
		fmt.Printf("  %s: %s\n", v.Promise, v.Detail)
	}
	return true
}
