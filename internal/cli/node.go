package cli

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"

	"guavapaddle/internal/keys"
	"guavapaddle/internal/logging"
	"guavapaddle/internal/node"
)

const nodeHelp = `Runs a node until it gets SIGTERM or SIGINT, and then stops it gracefully:
readiness goes off, after -notice new requests are refused, ownership of backend
servers is handed over, and the process ends when the last request in flight has
ended. One line key=value for each event goes to standard output.

EXIT CODES
  0  stopped gracefully
  1  failed
  2  wrong usage, or settings that can't be used

EXAMPLES
  guavapaddle node -settings node.json
  guavapaddle node -name n1 -data-centre dc1 -callers 10.0.0.11:8080 -peers 10.0.0.11:7000 -operators 10.0.0.11:7001 -table 10.0.0.1:9000 -objects 10.0.0.1:9000 -vm-list 10.0.0.1:9000 -ca ca.pem -cert n1.pem -key n1.key`

const keysHelp = `Makes a new authority and a key and certificate for each node named, in a
directory. The authority's key (ca.key) belongs off the nodes.

EXIT CODES
  0  written
  1  failed
  2  wrong usage

EXAMPLES
  guavapaddle keys -dir keys n1 n2 n3`

func (e *Environment) node() *ffcli.Command {
	var s node.Settings
	fs := e.flagSet(program + " node")
	fs.String(settingsFlag, "", "JSON file with settings: a flag's name and its value each")
	s.Register(fs)
	return &ffcli.Command{
		Name:       "node",
		ShortUsage: program + " node [flags]",
		ShortHelp:  "run a node",
		LongHelp:   nodeHelp,
		FlagSet:    fs,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			return e.runNode(ctx, s)
		},
	}
}

// runNode runs a node until ctx is cancelled.
func (e *Environment) runNode(ctx context.Context, s node.Settings) error {
	if err := s.Check(); err != nil {
		return &UsageError{Problem: err.Error()}
	}
	log, err := logging.NewBounded(e.Stdout, s.LogLevel)
	if err != nil {
		return &UsageError{Problem: err.Error()}
	}
	defer log.Close()
	n, err := node.New(s, log.Logger)
	if err != nil {
		return err
	}
	a, err := n.Listen()
	if err != nil {
		return err
	}
	log.Info("listening", zap.String("node", s.Name), zap.String("callers", a.Callers),
		zap.String("peers", a.Peers), zap.String("operators", a.Operators))
	return n.Run(ctx)
}

func (e *Environment) keys() *ffcli.Command {
	fs := e.flagSet(program + " keys")
	dir := fs.String("dir", "keys", "`directory` to write to")
	return &ffcli.Command{
		Name:       "keys",
		ShortUsage: program + " keys -dir DIR NAME...",
		ShortHelp:  "make keys and certificates for nodes",
		LongHelp:   keysHelp,
		FlagSet:    fs,
		Exec: func(_ context.Context, names []string) error {
			if len(names) == 0 {
				return &UsageError{Problem: "no node is named"}
			}
			return keys.Generate(*dir, names)
		},
	}
}
