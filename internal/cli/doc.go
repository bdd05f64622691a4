// Package cli implements the command line of guavapaddle. Each subcommand has
// its own file.
//
// A subcommand reads its settings from flags, from environment variables
// (GUAVAPADDLE_ followed by the flag's name in capitals) and from a JSON file
// (flag -settings), in that order of precedence. Results are written to standard
// output as text or as one JSON object, progress and errors to standard error.
// With -output json, errors are written to standard output as JSON objects. The
// exit codes are the constants of this package and are part of its interface.
//
// # Usage
//
//	e := &cli.Environment{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr}
//	os.Exit(e.Run(ctx, os.Args[1:]))
//
// To add a subcommand, write a method of Environment that returns an
// *ffcli.Command, in its own file, and list it in Commands.
package cli
