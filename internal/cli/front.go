package cli

import (
	"context"
	"errors"

	"github.com/peterbourgon/ff/v3/ffcli"

	"guavapaddle/internal/front"
	"guavapaddle/internal/logging"
)

const frontHelp = `Runs a node that serves clients on the machines' platform, with the settings
of a JSON file. Unknown names in the file are refused.

SIGTERM stops it gracefully; SIGHUP tells that the file has changed.

EXIT CODES
  0  stopped gracefully
  1  failed
  2  wrong usage, or settings that can't be used

EXAMPLES
  guavapaddle front -settings node.json`

func (e *Environment) front() *ffcli.Command {
	fs := e.flagSet(program + " front")
	file := fs.String(settingsFlag, "", "JSON `file` with settings")
	return &ffcli.Command{
		Name:       "front",
		ShortUsage: program + " front -settings FILE",
		ShortHelp:  "run a node on the machines' platform",
		LongHelp:   frontHelp,
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			return e.runFront(ctx, *file)
		},
	}
}

// runFront runs a node until ctx is cancelled.
func (e *Environment) runFront(ctx context.Context, file string) error {
	s, err := front.Load(file)
	var settingsErr *front.SettingsError
	if errors.As(err, &settingsErr) {
		return &UsageError{Problem: settingsErr.Error()}
	}
	log, err := logging.NewBounded(e.Stdout, s.LogLevel)
	if err != nil {
		return &UsageError{Problem: err.Error()}
	}
	defer log.Close()
	n, err := front.New(s, log.Logger)
	if err != nil {
		return err
	}
	return n.Run(ctx)
}
