package cli

import (
	"context"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"guavapaddle/core/config"
)

const diffHelp = `Shows what a document would change: against the newest accepted document
(flags -table and -objects), against the one that a node has in force
(flag -nodes), or against another file (flag -against). Entries are named, as
in models["drafter"].version. The order of entries doesn't matter, apart from
the calls of a service.

EXIT CODES
  0  no differences
  1  failed
  2  wrong usage, or an invalid document
  5  the documents differ

EXAMPLES
  guavapaddle diff -file new.json -against old.json
  guavapaddle diff -file new.json -nodes 10.0.0.11:7001
  guavapaddle diff -file new.json -table 10.0.0.1:9000 -objects 10.0.0.1:9000 -output json`

type (
	// diffCommand holds the flags of one run of the diff command.
	diffCommand struct {
		*Environment
		platform platform
		nodes    nodes
		file     string
		against  string
		timeout  time.Duration
	}

	// diffResult is the result of the diff command.
	diffResult struct {
		AgainstVersion uint64          `json:"against-version"` // zero if the other document is a file or does not exist
		Changes        []config.Change `json:"changes"`
	}
)

func (e *Environment) diff() *ffcli.Command {
	c := &diffCommand{Environment: e}
	fs := e.flagSet(program + " diff")
	e.registerCommon(fs)
	c.platform.define(fs)
	c.nodes.define(fs)
	fs.StringVar(&c.file, "file", "", "the new document, - for standard input")
	fs.StringVar(&c.against, "against", "", "`file` of the old document")
	fs.DurationVar(&c.timeout, "timeout", defaultTimeout, "how long to try")
	return &ffcli.Command{
		Name:       "diff",
		ShortUsage: program + " diff -file FILE [flags]",
		ShortHelp:  "show what a document would change",
		LongHelp:   diffHelp,
		FlagSet:    fs,
		Options:    options(),
		Exec:       c.run,
	}
}

func (c *diffCommand) run(ctx context.Context, args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	doc, err := c.load(c.file)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	baseline, version, err := c.baseline(ctx)
	if err != nil {
		return err
	}
	d := diffResult{AgainstVersion: version, Changes: append([]config.Change{}, config.Diff(baseline, doc)...)}
	c.print(d)
	if len(d.Changes) > 0 {
		return differsError{}
	}
	return nil
}

// baseline returns the document to compare with and its version. The version is
// zero for a file.
func (c *diffCommand) baseline(ctx context.Context) (*config.Document, uint64, error) {
	switch {
	case c.against != "":
		b, err := c.readFile(c.against)
		if err != nil {
			return nil, 0, err
		}
		doc, err := config.Parse(b)
		return doc, 0, err
	case c.platform.configured():
		return c.platform.newest(ctx)
	case len(c.nodes.addresses) > 0:
		if err := c.nodes.require(); err != nil {
			return nil, 0, err
		}
		return c.nodes.inForce(ctx)
	default:
		return nil, 0, &UsageError{Problem: "one of -against, -nodes, or -table with -objects is required"}
	}
}

func (c *diffCommand) print(d diffResult) {
	if c.output == outputJSON {
		c.printJSON(d)
		return
	}
	if len(d.Changes) == 0 {
		c.printf("no differences\n")
	}
	for _, change := range d.Changes {
		c.printf("%s\n", change)
	}
}
