package cli

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// outputFormat is the form of results.
type outputFormat string

const (
	outputText outputFormat = "text"
	outputJSON outputFormat = "json"
)

// errOutput is the refusal of an unknown form.
var errOutput = eris.New("must be text or json")

// String returns the form's name.
func (o *outputFormat) String() string { return string(*o) }

// Set takes the form's name.
func (o *outputFormat) Set(s string) error {
	switch outputFormat(s) {
	case outputText, outputJSON:
		*o = outputFormat(s)
		return nil
	default:
		return errOutput
	}
}

// list is a flag of several values, separated by commas or given repeatedly.
type list []string

// String returns the values separated by commas.
func (l *list) String() string { return strings.Join(*l, ",") }

// Set adds values.
func (l *list) Set(s string) error {
	for v := range strings.SplitSeq(s, ",") {
		if v = strings.TrimSpace(v); v != "" {
			*l = append(*l, v)
		}
	}
	return nil
}

// common defines the flags that every subcommand has.
func (e *Environment) common(fs *flag.FlagSet) {
	e.output = outputText
	fs.Var(&e.output, "output", "form of the result: text or json")
	fs.String(settingsFlag, "", "JSON `file` of settings, named as the flags")
}

// printJSON prints v as one indented JSON value.
func (e *Environment) printJSON(v any) {
	enc := json.NewEncoder(e.Stdout)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}

func (e *Environment) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(e.Stdout, format, args...)
}

func (e *Environment) errorf(format string, args ...any) {
	_, _ = fmt.Fprintf(e.Stderr, format, args...)
}

// readFile reads a file, "-" is the standard input.
func (e *Environment) readFile(name string) ([]byte, error) {
	if name == "" {
		return nil, &UsageError{Problem: "flag -file is required"}
	}
	if name == "-" {
		b, err := io.ReadAll(e.Stdin)
		if err != nil {
			return nil, &FileError{Err: err}
		}
		return b, nil
	}
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, &FileError{Err: err}
	}
	return b, nil
}

// quoted returns s, in quotes if it could be taken for something else.
func quoted(s string) string {
	plain := s != ""
	for _, r := range s {
		if r <= ' ' || r == '"' || r == '=' || !strconv.IsPrint(r) {
			plain = false
		}
	}
	if plain {
		return s
	}
	return strconv.Quote(s)
}
