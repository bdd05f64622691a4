package measure

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"guavapaddle/internal/testbed/standin/engine"
	"guavapaddle/internal/testbed/standin/platform"
	"guavapaddle/internal/testbed/standin/weights"
)

const weightsRate = 50 // loads per second, high enough for a short start

type (
	// standInAddresses holds the addresses of the stand-ins of a point.
	standInAddresses struct {
		Platform string   `json:"platform"`
		Engines  []string `json:"engines"`
	}

	// nodeAddresses holds the addresses to which clients send requests.
	nodeAddresses struct {
		Callers []string `json:"callers"`
	}
)

// StandIns runs the stand-ins of a size until in ends. It writes their addresses to out
// as one line of JSON. It then reads a line of JSON with the addresses of the nodes
// from in, and starts to send requests if the rate is not zero.
func StandIns(ctx context.Context, s Size, in io.Reader, out io.Writer) error {
	if err := s.Check(); err != nil {
		return err
	}
	p := &platform.Platform{Weights: weights.Store{Rate: weightsRate, FullSpeed: weightsRate, LoadTime: 10 * time.Millisecond}}
	var at standInAddresses
	var err error
	if at.Platform, err = p.Start(); err != nil {
		return eris.Wrap(err, "platform")
	}
	defer p.Close()
	engines := make([]*engine.Engine, s.Servers)
	at.Engines = make([]string, s.Servers)
	d := s.Document(at.Engines)
	for i := range engines {
		engines[i] = &engine.Engine{
			Name: d.Servers[i].Name, MemoryBytes: d.Servers[i].MemoryBytes, Slots: slots, ChecksOrders: true,
			Step: stepMS * time.Millisecond, WeightAddress: at.Platform,
		}
		if at.Engines[i], err = engines[i].Start(); err != nil {
			return eris.Wrap(err, "engine")
		}
		defer engines[i].Close()
	}
	for _, placed := range s.placement(d) {
		engines[placed.server].Preload(placed.item, placed.bytes)
	}
	if err := json.NewEncoder(out).Encode(at); err != nil {
		return eris.Wrap(err, "write addresses")
	}
	lines := json.NewDecoder(in)
	var nodes nodeAddresses
	if lines.Decode(&nodes) == nil && s.Rate > 0 {
		ctx, stop := context.WithCancel(ctx)
		defer stop()
		go sendRequests(ctx, s, nodes.Callers)
	}
	_, _ = io.Copy(io.Discard, in)
	return nil
}
