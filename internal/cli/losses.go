package cli

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"guavapaddle/core/losses"
)

const (
	lossesHelp = `Counts what became of requests, from the logs of nodes: by route and reason, and
by the time at which they ended. Reads standard input if no file is named. Lines of
other events are passed over. Asks no other process.

EXIT CODES
  0  counted
  1  a file could not be read, or no line tells of a request
  2  wrong usage

EXAMPLES
  guavapaddle losses node-1.log node-2.log
  guavapaddle losses -every 2s -output json < all.log`

	// maxLineBytes is the maximum length of a log line in bytes.
	maxLineBytes = 1 << 20
)

type (
	// NoRequestsError reports that the logs contain no line about a request.
	NoRequestsError struct{ Files []string }

	// lossesResult is the result of the losses command.
	lossesResult struct {
		Reasons []losses.Reason `json:"reasons"`
		Windows []losses.Window `json:"windows"`
	}
)

// Error lists the files that were read.
func (e *NoRequestsError) Error() string {
	return "no line tells of a request: " + cmp.Or(strings.Join(e.Files, ", "), "standard input")
}

func (e *Environment) losses() *ffcli.Command {
	fs := e.flagSet(program + " losses")
	e.registerCommon(fs)
	every := fs.Duration("every", time.Second, "length of a window of time")
	return &ffcli.Command{
		Name:       "losses",
		ShortUsage: program + " losses [flags] [FILE ...]",
		ShortHelp:  "count what became of requests, from logs",
		LongHelp:   lossesHelp,
		FlagSet:    fs,
		Options:    options(),
		Exec: func(_ context.Context, files []string) error {
			if *every <= 0 {
				return &UsageError{Problem: "-every must be above zero"}
			}
			return e.runLosses(*every, files)
		},
	}
}

func (e *Environment) runLosses(every time.Duration, files []string) error {
	t := &losses.Table{Interval: every}
	if len(files) == 0 {
		if err := addLines(t, e.Stdin); err != nil {
			return eris.Wrap(err, "standard input")
		}
	}
	for _, name := range files {
		if err := addFile(t, name); err != nil {
			return eris.Wrap(err, name)
		}
	}
	r := lossesResult{t.Reasons(), t.Windows()}
	if len(r.Reasons) == 0 {
		return &NoRequestsError{Files: files}
	}
	if e.output == outputJSON {
		e.printJSON(r)
		return nil
	}
	for _, x := range r.Reasons {
		e.printf("%8d  %-20s %s\n", x.Count, x.Reason, x.Route)
	}
	for _, w := range r.Windows {
		e.printf("%s", w.From.Format("15:04:05.0"))
		for _, reason := range slices.Sorted(maps.Keys(w.Reasons)) {
			e.printf("  %s=%d", reason, w.Reasons[reason])
		}
		e.printf("\n")
	}
	return nil
}

func addFile(t *losses.Table, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // the file is only read
	return addLines(t, f)
}

func addLines(t *losses.Table, r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		t.Add(s.Text())
	}
	return s.Err()
}
