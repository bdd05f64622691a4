package cli

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"io"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

const (
	program        = "guavapaddle"
	variablePrefix = "GUAVAPADDLE"
	settingsFlag   = "settings"
)

const rootHelp = `Serves many models on fewer accelerators.

EXIT CODES
  0  done
  1  failed; nothing was changed
  2  wrong usage, or an invalid document
  3  another operator's document was accepted in place of yours
  4  accepted, or in force, but not confirmed on every live node
  5  the documents differ (diff only)
  6  unknown: the document was sent and may take effect

SETTINGS
  Each flag may be given in the environment, as in GUAVAPADDLE_TABLE for -table,
  or in a JSON file named by -settings. Flags go before the environment, that
  goes before the file.

EXAMPLES
  guavapaddle validate -file corella.json
  guavapaddle apply -file corella.json -table 10.0.0.1:9000 -objects 10.0.0.1:9000 -nodes 10.0.0.11:7001
  guavapaddle status -nodes 10.0.0.11:7001,10.0.0.12:7001
  guavapaddle COMMAND -help`

// Environment holds the standard streams of one run of the command line.
type Environment struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer

	output outputFormat
	usage  bytes.Buffer // output of package flag
}

// Commands returns all subcommands.
func (e *Environment) Commands() []*ffcli.Command {
	return []*ffcli.Command{
		e.apply(),
		e.validate(),
		e.diff(),
		e.status(),
		e.explain(),
		e.losses(),
		e.node(),
		e.front(),
		e.keys(),
	}
}

// Run runs the command line args, which exclude the program name, and returns the
// exit code.
func (e *Environment) Run(ctx context.Context, args []string) int {
	root := &ffcli.Command{
		ShortUsage:  program + " COMMAND [flags]",
		LongHelp:    rootHelp,
		FlagSet:     e.flagSet(program),
		Subcommands: e.Commands(),
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return &UsageError{Problem: "a command is required"}
			}
			return &UsageError{Problem: "unknown command " + args[0]}
		},
	}
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return e.help()
		}
		return e.fail(&UsageError{Problem: err.Error()})
	}
	err := root.Run(ctx)
	if errors.Is(err, flag.ErrHelp) {
		return e.help()
	}
	return e.fail(err)
}

// help writes the buffered usage text to standard output.
func (e *Environment) help() int {
	_, _ = e.usage.WriteTo(e.Stdout)
	return ExitOK
}

// flagSet returns an empty flag set that writes its usage text to e.usage.
func (e *Environment) flagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(&e.usage)
	return fs
}

// options returns the sources of settings other than flags.
func options() []ff.Option {
	return []ff.Option{
		ff.WithEnvVarPrefix(variablePrefix),
		ff.WithConfigFileFlag(settingsFlag),
		ff.WithConfigFileParser(ff.JSONParser),
	}
}

// noArguments returns a *UsageError if positional arguments are given.
func noArguments(args []string) error {
	if len(args) > 0 {
		return &UsageError{Problem: "unexpected argument " + args[0]}
	}
	return nil
}
