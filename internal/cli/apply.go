package cli

import (
	"context"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"guavapaddle/core/config/head"
	"guavapaddle/core/status"
	"guavapaddle/internal/configsync"
)

const (
	defaultTimeout  = 30 * time.Second
	defaultWait     = 30 * time.Second
	defaultOperator = "operator"
	pollPeriod      = 200 * time.Millisecond
)

const applyHelp = `Checks a document, makes it the newest accepted one, and waits until every
live node reports it. Of two operators who apply at the same time one wins; the
other is told who won and what differs. With -base the document is only
accepted if the newest is still the version that the operator looked at.

An answer that is lost after the write took effect is read back, so a run that
ends with 0, 3 or 4 tells the truth. With 6 the document was sent and its fate
could not be read back in time: look with "status" before applying again.

EXIT CODES
  0  accepted, and reported by every live node (with -wait 0: accepted)
  1  failed; nothing was changed
  2  wrong usage, or an invalid document
  3  another operator's document was accepted in place of this one
  4  accepted, but not reported by every live node in time; those are named
  6  unknown: sent, and may take effect

EXAMPLES
  guavapaddle apply -file corella.json -table 10.0.0.1:9000 -objects 10.0.0.1:9000 -nodes 10.0.0.11:7001,10.0.0.12:7001
  guavapaddle apply -file corella.json -base 41 -operator kim -settings ops.json
  guavapaddle apply -file corella.json -settings ops.json -output json`

type (
	// applyCommand holds the flags of one run of the apply command.
	applyCommand struct {
		*Environment
		platform platform
		nodes    nodes
		file     string
		operator string
		base     uint64
		timeout  time.Duration
		wait     time.Duration
	}

	// applyResult is the result of the apply command.
	applyResult struct {
		Version      uint64     `json:"version"`
		Hash         string     `json:"hash"`
		ApplyID      string     `json:"apply-id"`
		Unchanged    bool       `json:"unchanged"` // the same document was already the newest
		Confirmed    bool       `json:"confirmed"` // reported by every live node
		Nodes        int        `json:"nodes"`     // live nodes that report the version
		SupersededBy *head.Head `json:"superseded-by,omitempty"`
	}
)

func (e *Environment) apply() *ffcli.Command {
	c := &applyCommand{Environment: e}
	fs := e.flagSet(program + " apply")
	e.registerCommon(fs)
	c.platform.define(fs)
	c.nodes.define(fs)
	fs.StringVar(&c.file, "file", "", "the document, - for standard input")
	fs.StringVar(&c.operator, "operator", defaultOperator, "`name` of who applies, for others to read")
	fs.Uint64Var(&c.base, "base", 0, "`version` that the newest document must have, 0 for any")
	fs.DurationVar(&c.timeout, "timeout", defaultTimeout, "how long to try to get the document accepted")
	fs.DurationVar(&c.wait, "wait", defaultWait, "how long to wait for every live node, 0 for not at all")
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: program + " apply -file FILE [flags]",
		ShortHelp:  "put a document in force",
		LongHelp:   applyHelp,
		FlagSet:    fs,
		Options:    options(),
		Exec:       c.run,
	}
}

func (c *applyCommand) run(ctx context.Context, args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	if err := c.platform.require(); err != nil {
		return err
	}
	if c.wait > 0 {
		if err := c.nodes.require(); err != nil {
			return err
		}
	}
	applied, err := c.accept(ctx)
	if err != nil {
		return err
	}
	result := applyResult{
		Version: applied.Head.Version, Hash: applied.Head.Hash, ApplyID: applied.Head.ApplyID, Unchanged: applied.Unchanged,
	}
	if applied.Newest.Version > 0 {
		result.SupersededBy = &applied.Newest
	}
	if c.wait > 0 {
		if result.Nodes, err = c.confirm(ctx, result.Version); err != nil {
			return err
		}
		result.Confirmed = true
	}
	c.print(result)
	return nil
}

// accept validates the document and writes it as the newest accepted version.
func (c *applyCommand) accept(ctx context.Context) (configsync.Applied, error) {
	doc, err := c.load(c.file)
	if err != nil {
		return configsync.Applied{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	a := &configsync.Applier{Table: c.platform.table(), Store: c.platform.store(), Operator: c.operator, Base: c.base}
	return a.Apply(ctx, doc)
}

// confirm waits until every live node reports the version and returns the
// number of these nodes. The error is an *UnconfirmedError.
func (c *applyCommand) confirm(ctx context.Context, version uint64) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	c.errorf("version %d is accepted, waiting for the nodes\n", version)
	unconfirmed := &UnconfirmedError{Version: version, Err: &NoNodeError{}}
	lastShown := -1
	for {
		r, err := c.nodes.status(ctx)
		if err != nil && ctx.Err() == nil {
			unconfirmed = &UnconfirmedError{Version: version, Err: err}
		}
		if err == nil {
			behind := r.Behind(version)
			reporting := countLive(r) - len(behind)
			if len(behind) == 0 && reporting > 0 {
				return reporting, nil
			}
			unconfirmed = &UnconfirmedError{Version: version, Behind: behind}
			if reporting != lastShown {
				c.errorf("in force on %d of %d live nodes, waiting for %s\n", reporting, countLive(r), nodeNames(behind))
				lastShown = reporting
			}
		}
		select {
		case <-time.After(pollPeriod):
		case <-ctx.Done():
			return 0, unconfirmed
		}
	}
}

// countLive returns the number of live nodes in r.
func countLive(r status.Report) int {
	n := 0
	for _, node := range r.Nodes {
		if node.State == status.Live {
			n++
		}
	}
	return n
}

func (c *applyCommand) print(r applyResult) {
	if c.output == outputJSON {
		c.printJSON(r)
		return
	}
	state := "accepted"
	if r.Unchanged {
		state = "already accepted"
	}
	c.printf("version %d %s, hash %s\n", r.Version, state, r.Hash)
	if r.SupersededBy != nil {
		c.printf("superseded by version %d of %s\n", r.SupersededBy.Version, r.SupersededBy.Operator)
	}
	if r.Confirmed {
		c.printf("reported by all %d live nodes\n", r.Nodes)
	}
}
