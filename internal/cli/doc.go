// Package cli is the command line of guavapaddle: one file a subcommand.
//
// Each subcommand takes its settings from flags, from the environment
// (GUAVAPADDLE_ and the flag's name in capitals) and from a JSON file (flag
// -settings), in that order of precedence. Results go to standard output as
// text or as one JSON object, progress and errors to standard error; with
// -output json errors are JSON objects on standard output. The exit codes are
// the constants of this package and part of its interface.
//
// # Usage
//
//	e := &cli.Environment{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr}
//	os.Exit(e.Run(ctx, os.Args[1:]))
//
// A new subcommand is a method that returns an *ffcli.Command, in a file of its
// own, added to Commands.
package cli
