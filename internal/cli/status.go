package cli

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"guavapaddle/core/status"
)

const statusHelp = `Shows what one node knows of all nodes, backend servers and leases, and which
configuration is in force where.

EXIT CODES
  0  every live node reports the same configuration as the node that answered, or a newer one
  1  no node answered
  2  wrong usage
  4  some live node reports an older configuration; those are marked

EXAMPLES
  guavapaddle status -nodes 10.0.0.11:7001,10.0.0.12:7001
  guavapaddle status -nodes 10.0.0.11:7001 -output json`

// statusCommand holds the flags of one run of the status command.
type statusCommand struct {
	*Environment
	nodes   nodes
	timeout time.Duration
}

func (e *Environment) status() *ffcli.Command {
	c := &statusCommand{Environment: e}
	fs := e.flagSet(program + " status")
	e.registerCommon(fs)
	c.nodes.define(fs)
	fs.DurationVar(&c.timeout, "timeout", defaultTimeout, "how long to try")
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: program + " status -nodes ADDRESSES [flags]",
		ShortHelp:  "show nodes, backend servers and leases",
		LongHelp:   statusHelp,
		FlagSet:    fs,
		Options:    options(),
		Exec:       c.run,
	}
}

func (c *statusCommand) run(ctx context.Context, args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	if err := c.nodes.require(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	r, err := c.nodes.status(ctx)
	if err != nil {
		return err
	}
	if c.output == outputJSON {
		c.printJSON(r)
	} else {
		c.print(r)
	}
	newest := r.ConfigVersion
	for _, n := range r.Nodes {
		newest = max(newest, n.ConfigVersion)
	}
	if behind := r.Behind(newest); len(behind) > 0 {
		return &behindError{UnconfirmedError{Version: newest, Behind: behind}}
	}
	return nil
}

// print writes the report as text tables.
func (c *statusCommand) print(r status.Report) {
	c.printf("node %s: ready %t, fresh %t, table up %t, configuration %d %s\n\n", r.Node, r.Ready, r.Fresh, r.TableUp, r.ConfigVersion, r.ConfigHash)
	w := tabwriter.NewWriter(c.Stdout, 0, 8, 2, ' ', 0)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	row("NODE\tADDRESS\tDATA CENTRE\tSTATE\tCONFIGURATION")
	for _, n := range r.Nodes {
		row("%s\t%s\t%s\t%s\t%d", n.Name, n.Address, n.DataCentre, n.State, n.ConfigVersion)
	}
	row("\nBACKEND SERVER\tOWNER\tEPOCH\tRESIDENT\tLOADING\tRUNNING\tQUEUED\tSLOTS\tFREE BYTES\tSTATE")
	for _, s := range r.Servers {
		row("%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s", s.Server, dashIfEmpty(s.Owner), s.Epoch, len(s.Resident), len(s.Loading), s.Running, s.Queued, s.Slots, s.FreeBytes, serverState(s.Reachable, s.Leaving))
	}
	row("\nLEASE OF\tHOLDER\tEPOCH\tEXPIRES IN")
	for _, l := range r.Leases {
		row("%s\t%s\t%d\t%s", l.Server, l.Holder, l.Epoch, time.Duration(l.ExpiresIn)*time.Millisecond)
	}
	_ = w.Flush()
}

func dashIfEmpty(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func serverState(reachable, leaving bool) string {
	switch {
	case leaving:
		return "leaving"
	case reachable:
		return "reachable"
	default:
		return "unreachable"
	}
}
