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

const weightsRate = 50 // loads a second, so that a start does not wait long

type (
	// standIns is where the stand-ins of a point listen.
	standIns struct {
		Platform string   `json:"platform"`
		Engines  []string `json:"engines"`
	}

	// callersAt tells the stand-ins' process where callers find nodes.
	callersAt struct {
		Callers []string `json:"callers"`
	}
)

// StandIns runs the stand-ins of a size until in ends: it writes where they
// listen to out as one JSON line, and begins to call when it reads one with the
// nodes' addresses.
func StandIns(ctx context.Context, s Size, in io.Reader, out io.Writer) error {
	if err := s.Check(); err != nil {
		return err
	}
	p := &platform.Platform{Weights: weights.Store{Rate: weightsRate, FullSpeed: weightsRate, LoadTime: 10 * time.Millisecond}}
	var at standIns
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
	for _, one := range s.placement(d) {
		engines[one.server].Preload(one.item, one.bytes)
	}
	if err := json.NewEncoder(out).Encode(at); err != nil {
		return eris.Wrap(err, "tell addresses")
	}
	lines := json.NewDecoder(in)
	var nodes callersAt
	if lines.Decode(&nodes) == nil && s.Rate > 0 {
		ctx, stop := context.WithCancel(ctx)
		defer stop()
		go call(ctx, s, nodes.Callers)
	}
	_, _ = io.Copy(io.Discard, in)
	return nil
}
