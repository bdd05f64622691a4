// Command standin runs a stand-in for one of the systems that guavapaddle depends
// on, as a separate process: the platform, a model engine or a plain service.
//
// # Usage
//
//	standin platform -listen 127.0.0.1:9000
//	standin engine -listen 127.0.0.1:9100 -name e1 -memory-bytes 80000000000 -checks-orders -weights 127.0.0.1:9000
//	standin service -listen 127.0.0.1:9200 -name s1
//
// When it is ready it prints the line "event=listening address=IP:port" to standard
// output. It stops on SIGTERM or SIGINT. POST /fault injects faults, as described
// in docs/PROTOCOLS.md.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// exitCrash is the exit status of an engine that crashes because of an injected
// fault.
const exitCrash = 3

// standin is a server that can be started and closed.
type standin interface {
	Start() (string, error)
	Close()
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &ffcli.Command{
		ShortUsage:  "standin <platform|engine|service> [flags]",
		FlagSet:     flag.NewFlagSet("standin", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{platformCommand(), engineCommand(), serviceCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(ctx, os.Args[1:])
	if errors.Is(err, flag.ErrHelp) {
		os.Exit(2)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// serve runs s until ctx is cancelled.
func serve(ctx context.Context, s standin) error {
	address, err := s.Start()
	if err != nil {
		return err
	}
	log := logger()
	log.Info("listening", zap.String("address", address))
	<-ctx.Done()
	s.Close()
	log.Info("stopped")
	return nil
}

// logger returns a logger that writes one line of key=value pairs per event.
func logger() *zap.Logger {
	c := zapcore.EncoderConfig{MessageKey: "event"}
	return zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(c), zapcore.Lock(os.Stdout), zap.InfoLevel))
}
