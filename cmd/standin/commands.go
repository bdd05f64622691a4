package main

import (
	"context"
	"flag"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"guavapaddle/internal/testbed/standin/capacity"
	"guavapaddle/internal/testbed/standin/engine"
	"guavapaddle/internal/testbed/standin/platform"
	"guavapaddle/internal/testbed/standin/service"
	"guavapaddle/internal/testbed/standin/weights"
)

// platformCommand returns the command that runs the table service, the object
// store, the weight store and the VM list on one address.
func platformCommand() *ffcli.Command {
	p := &platform.Platform{}
	fs := flag.NewFlagSet("platform", flag.ContinueOnError)
	fs.StringVar(&p.Listen, "listen", "127.0.0.1:9000", "IP:port to listen on")
	fs.Float64Var(&p.Table.WriteRate, "table-write-rate", capacity.DefaultWrites, "transactions a second; what is over waits")
	fs.Float64Var(&p.Table.ReadRate, "table-read-rate", capacity.DefaultReads, "reads and scans a second; what is over waits")
	fs.Float64Var(&p.Objects.WriteRate, "object-write-rate", capacity.DefaultWrites, "object writes a second; what is over waits")
	fs.Float64Var(&p.Objects.ReadRate, "object-read-rate", capacity.DefaultReads, "object reads a second; what is over waits")
	fs.Float64Var(&p.Weights.Rate, "weight-rate", weights.DefaultRate, "loads that start a second")
	fs.IntVar(&p.Weights.FullSpeed, "weight-full-speed", weights.DefaultFullSpeed, "loads that run at full speed at once")
	fs.DurationVar(&p.Weights.LoadTime, "weight-load-time", 0, "time of a load at full speed, besides its bytes")
	fs.Float64Var(&p.Weights.BytesPerSecond, "weight-bytes-per-second", 0, "bytes a second of a load at full speed; 0: bytes take no time")
	fs.DurationVar(&p.VMs.Lag, "vm-lag", 0, "time after which a change of the VM list is listed")
	return command(fs, "run table, object store, weight store and VM list on one address", p)
}

// engineCommand returns the command that runs a model engine.
func engineCommand() *ffcli.Command {
	e := &engine.Engine{OnCrash: func() { os.Exit(exitCrash) }}
	fs := flag.NewFlagSet("engine", flag.ContinueOnError)
	fs.StringVar(&e.Listen, "listen", "127.0.0.1:9100", "IP:port to listen on")
	fs.StringVar(&e.Name, "name", "engine", "name of the backend server")
	fs.Int64Var(&e.MemoryBytes, "memory-bytes", 80_000_000_000, "accelerator memory in bytes")
	fs.IntVar(&e.Slots, "slots", engine.DefaultSlots, "requests that run at the same time")
	fs.IntVar(&e.QueueBound, "queue-bound", engine.DefaultQueueBound, "requests that wait; negative: none")
	fs.DurationVar(&e.Step, "step", engine.DefaultStep, "time of a step with one request in the batch")
	fs.DurationVar(&e.StepSlope, "step-slope", 0, "more step time for each further request in the batch")
	fs.DurationVar(&e.Prefill, "prefill", 0, "time for each prompt token that is not cached")
	fs.IntVar(&e.CacheBlocks, "cache-blocks", 0, "blocks of 64 bytes of prompt in the prefix cache")
	fs.DurationVar(&e.CacheLag, "cache-lag", 0, "time after which cache events are published")
	fs.Float64Var(&e.CacheLoss, "cache-loss", 0, "part of the cache events that is never published, 0 to 1")
	fs.Uint64Var(&e.Seed, "seed", 1, "random seed of the lost cache events")
	fs.DurationVar(&e.ReportLag, "report-lag", 0, "age of the load report")
	fs.BoolVar(&e.ChecksOrders, "checks-orders", false, "refuse orders with an old fencing number")
	fs.DurationVar(&e.LoadBase, "load-base", 0, "time of each load, besides the weight store's")
	fs.DurationVar(&e.ColdStart, "cold-start", 0, "further time of each load without a weight store")
	fs.StringVar(&e.WeightAddress, "weights", "", "IP:port of the weight store; empty: none")
	fs.DurationVar(&e.Retention, "retention", engine.DefaultRetention, "time after its end in which a request can be resumed")
	return command(fs, "run a model engine; crash-on ends the process with status 3", e)
}

// serviceCommand returns the command that runs a plain service.
func serviceCommand() *ffcli.Command {
	s := &service.Service{}
	fs := flag.NewFlagSet("service", flag.ContinueOnError)
	fs.StringVar(&s.Listen, "listen", "127.0.0.1:9200", "IP:port to listen on")
	fs.StringVar(&s.Name, "name", "service", "name of the backend server")
	fs.DurationVar(&s.CallDuration, "work", 0, "time that a call takes")
	fs.IntVar(&s.Slots, "slots", 0, "calls at the same time; 0: any number")
	return command(fs, "run a plain service with bookings and records calls and a journal", s)
}

// command returns the command that runs s until the process is stopped.
func command(fs *flag.FlagSet, help string, s standin) *ffcli.Command {
	return &ffcli.Command{
		Name: fs.Name(), ShortUsage: "standin " + fs.Name() + " [flags]", ShortHelp: help, FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return flag.ErrHelp
			}
			return serve(ctx, s)
		},
	}
}
