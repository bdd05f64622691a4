// Command guavapaddle runs nodes, which serve many models on fewer accelerators,
// and provides the commands for operators. See guavapaddle -help.
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
