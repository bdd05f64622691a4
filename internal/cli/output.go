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

// outputFormat is the format of results.
type outputFormat string

const (
	outputText outputFormat = "text"
	outputJSON outputFormat = "json"
)

// errOutputFormat is the error for an unknown output format.
var errOutputFormat = eris.New("must be text or json")

// String returns the name of the format.
func (o *outputFormat) String() string { return string(*o) }

// Set parses the name of a format.
func (o *outputFormat) Set(s string) error {
	switch outputFormat(s) {
	case outputText, outputJSON:
		*o = outputFormat(s)
		return nil
	default:
		return errOutputFormat
	}
}

// listFlag is a flag with several values, separated by commas or given by
// repeating the flag.
type listFlag []string

// String returns the values, separated by commas.
func (l *listFlag) String() string { return strings.Join(*l, ",") }

// Set appends the comma-separated values in s. Empty values are ignored.
func (l *listFlag) Set(s string) error {
	for v := range strings.SplitSeq(s, ",") {
		if v = strings.TrimSpace(v); v != "" {
			*l = append(*l, v)
		}
	}
	return nil
}

// registerCommon registers the flags -output and -settings.
func (e *Environment) registerCommon(fs *flag.FlagSet) {
	e.output = outputText
	fs.Var(&e.output, "output", "form of the result: text or json")
	fs.String(settingsFlag, "", "JSON `file` of settings, named as the flags")
}

// printJSON writes v as indented JSON.
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

// readFile reads the named file, or standard input if the name is "-".
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

// quoteIfNeeded returns s, quoted if it is empty or contains spaces, quotes, equal
// signs or unprintable characters.
func quoteIfNeeded(s string) string {
	needsNoQuotes := s != ""
	for _, r := range s {
		if r <= ' ' || r == '"' || r == '=' || !strconv.IsPrint(r) {
			needsNoQuotes = false
		}
	}
	if needsNoQuotes {
		return s
	}
	return strconv.Quote(s)
}
