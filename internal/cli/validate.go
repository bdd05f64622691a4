package cli

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"guavapaddle/core/config"
)

const validateHelp = `Reads a document and reports everything that is wrong with it, each problem
with its JSON path, a code and the reason, one a line. Asks no other process.

EXIT CODES
  0  valid
  1  the file could not be read
  2  wrong usage, or the document is invalid

EXAMPLES
  guavapaddle validate -file corella.json
  guavapaddle validate -file corella.json -output json
  generate | guavapaddle validate -file -`

// validateResult is the result of the validate command.
type validateResult struct {
	Valid      bool   `json:"valid"`
	Deployment string `json:"deployment"`
	Hash       string `json:"hash"`
	Teams      int    `json:"teams"`
	Models     int    `json:"models"`
	Adapters   int    `json:"adapters"`
	Servers    int    `json:"backend-servers"`
}

func (e *Environment) validate() *ffcli.Command {
	fs := e.flagSet(program + " validate")
	e.registerCommon(fs)
	file := fs.String("file", "", "the document, - for standard input")
	return &ffcli.Command{
		Name:       "validate",
		ShortUsage: program + " validate -file FILE [flags]",
		ShortHelp:  "check a document",
		LongHelp:   validateHelp,
		FlagSet:    fs,
		Options:    options(),
		Exec: func(_ context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			return e.runValidate(*file)
		},
	}
}

func (e *Environment) runValidate(file string) error {
	doc, err := e.load(file)
	if err != nil {
		return err
	}
	v := validateResult{
		Valid: true, Deployment: doc.Deployment, Hash: doc.Hash(),
		Teams: len(doc.Teams), Models: len(doc.Models), Adapters: len(doc.Adapters), Servers: len(doc.Servers),
	}
	if e.output == outputJSON {
		e.printJSON(v)
		return nil
	}
	e.printf("valid: deployment %s, %d teams, %d models, %d adapters, %d backend servers, hash %s\n",
		v.Deployment, v.Teams, v.Models, v.Adapters, v.Servers, v.Hash)
	return nil
}

// load reads and validates a document.
func (e *Environment) load(file string) (*config.Document, error) {
	b, err := e.readFile(file)
	if err != nil {
		return nil, err
	}
	return config.Load(b)
}
