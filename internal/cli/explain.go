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

// maxConcurrentQueries bounds the number of concurrent queries to nodes.
const maxConcurrentQueries = 32

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
	// explainCommand holds the flags of one run of the explain command.
	explainCommand struct {
		*Environment
		nodes   nodes
		timeout time.Duration
	}

	// queryResults collects the replies and the errors of nodes that are queried
	// concurrently.
	queryResults struct {
		mu           sync.Mutex
		explanations []status.Explanation
		failures     []error
	}
)

func (e *Environment) explain() *ffcli.Command {
	c := &explainCommand{Environment: e}
	fs := e.flagSet(program + " explain")
	e.registerCommon(fs)
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
	queried := c.addresses(r)
	results := queryNodes(ctx, queried, id)
	for _, err := range results.failures {
		c.errorf("%s: %v\n", program, err)
	}
	e := status.Merge(id, results.explanations...)
	if len(e.Events) == 0 {
		return &NotFoundError{RequestID: id, Queried: len(queried), Unanswered: len(results.failures)}
	}
	if c.output == outputJSON {
		c.printJSON(e)
		return nil
	}
	c.print(e)
	return nil
}

// addresses returns the addresses of the nodes given by flag and of the nodes
// in r, without duplicates. Nodes that are leaving are included because they may
// still have events of the request.
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

// queryNodes queries all addresses for the events of a request.
func queryNodes(ctx context.Context, addresses []string, id string) *queryResults {
	results := &queryResults{}
	var g errgroup.Group
	g.SetLimit(maxConcurrentQueries)
	for _, address := range addresses {
		g.Go(func() error {
			e, err := (&operator.Client{Address: address}).Explain(ctx, id)
			results.add(e, err)
			return nil
		})
	}
	_ = g.Wait()
	slices.SortFunc(results.failures, func(x, y error) int { return strings.Compare(x.Error(), y.Error()) })
	return results
}

func (q *queryResults) add(e status.Explanation, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case err == nil:
		q.explanations = append(q.explanations, e)
	case !operator.NotFound(err):
		q.failures = append(q.failures, err)
	}
}

// print writes one line per event, with the time since the first event.
func (c *explainCommand) print(e status.Explanation) {
	c.printf("request %s\n", e.RequestID)
	first := e.Events[0].AtUnixMS
	for _, ev := range e.Events {
		at := time.UnixMilli(ev.AtUnixMS).UTC().Format("2006-01-02T15:04:05.000Z")
		c.printf("%s  %+6d ms  %s  %s", at, ev.AtUnixMS-first, ev.Node, ev.Event)
		for _, f := range ev.Fields {
			c.printf(" %s=%s", f.Name, quoteIfNeeded(f.Value))
		}
		c.printf("\n")
	}
}
