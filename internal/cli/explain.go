package cli

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"golang.org/x/sync/errgroup"

	"guavapaddle/core/status"
	"guavapaddle/io/operator"
)

const askedAtOnce = 32

const explainHelp = `Shows what was decided about one request, where and why: asks the given nodes
and all live nodes that they know, and prints their events in order of time.
The id is the X-Request-ID of the answer. Nodes remember the last requests
only.

EXIT CODES
  0  something is known of the request
  1  no node knows it, or none answered
  2  wrong usage

EXAMPLES
  guavapaddle explain -nodes 10.0.0.11:7001 3f0c55d1
  guavapaddle explain -nodes 10.0.0.11:7001 -output json 3f0c55d1`

type (
	// explainCommand is a run of explain.
	explainCommand struct {
		*Environment
		nodes   nodes
		timeout time.Duration
	}

	// answers gathers what nodes say.
	answers struct {
		mu     sync.Mutex
		parts  []status.Explanation
		silent []error
	}
)

func (e *Environment) explain() *ffcli.Command {
	c := &explainCommand{Environment: e}
	fs := e.flagSet(program + " explain")
	e.common(fs)
	c.nodes.define(fs)
	fs.DurationVar(&c.timeout, "timeout", defaultTimeout, "how long to try")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: program + " explain -nodes ADDRESSES [flags] REQUEST-ID",
		ShortHelp:  "show what was decided about a request",
		LongHelp:   explainHelp,
		FlagSet:    fs,
		Options:    options(),
		Exec:       c.run,
	}
}

func (c *explainCommand) run(ctx context.Context, args []string) error {
	if len(args) != 1 {
		return &UsageError{Problem: "one request id is required"}
	}
	if err := c.nodes.require(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	id := args[0]
	r, err := c.nodes.status(ctx)
	if err != nil {
		return err
	}
	asked := c.addresses(r)
	a := ask(ctx, asked, id)
	for _, err := range a.silent {
		c.errorf("%s: %v\n", program, err)
	}
	e := status.Merge(id, a.parts...)
	if len(e.Events) == 0 {
		return &NotFoundError{RequestID: id, Asked: len(asked), Silent: len(a.silent)}
	}
	if c.output == outputJSON {
		c.printJSON(e)
		return nil
	}
	c.print(e)
	return nil
}

// addresses returns the given nodes and those that r knows, each once. Leaving
// nodes may still know the request.
func (c *explainCommand) addresses(r status.Report) []string {
	all := slices.Clone(c.nodes.addresses)
	for _, n := range r.Nodes {
		if n.State != status.Silent && n.Address != "" {
			all = append(all, n.Address)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// ask asks all addresses for a request.
func ask(ctx context.Context, addresses []string, id string) *answers {
	a := &answers{}
	var g errgroup.Group
	g.SetLimit(askedAtOnce)
	for _, address := range addresses {
		g.Go(func() error {
			e, err := (&operator.Client{Address: address}).Explain(ctx, id)
			a.add(e, err)
			return nil
		})
	}
	_ = g.Wait()
	slices.SortFunc(a.silent, func(x, y error) int { return strings.Compare(x.Error(), y.Error()) })
	return a
}

func (a *answers) add(e status.Explanation, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case err == nil:
		a.parts = append(a.parts, e)
	case !operator.NotFound(err):
		a.silent = append(a.silent, err)
	}
}

// print prints the events, one a line, with the time since the first.
func (c *explainCommand) print(e status.Explanation) {
	c.printf("request %s\n", e.RequestID)
	first := e.Events[0].AtUnixMS
	for _, ev := range e.Events {
		at := time.UnixMilli(ev.AtUnixMS).UTC().Format("2006-01-02T15:04:05.000Z")
		c.printf("%s  %+6d ms  %s  %s", at, ev.AtUnixMS-first, ev.Node, ev.Event)
		for _, f := range ev.Fields {
			c.printf(" %s=%s", f.Name, quoted(f.Value))
		}
		c.printf("\n")
	}
}
