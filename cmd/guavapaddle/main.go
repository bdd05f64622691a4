// Command guavapaddle serves models on fewer accelerators and is the command
// line of its operators. See guavapaddle -help.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"guavapaddle/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	e := &cli.Environment{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr}
	code := e.Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
