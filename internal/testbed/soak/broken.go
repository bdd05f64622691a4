package soak

import (
	"context"
	"math/rand/v2"

	"guavapaddle/internal/clock"
	"guavapaddle/platform/standin"
)

// brokenResponses are the ways in which responses end early, or whole without a length and chunks.
var brokenResponses = []standin.Behaviour{standin.Cut, standin.CutUnframed, standin.CutWholeChunks, standin.ResetUnframed, standin.Unframed}

// breakResponses makes random servers break off a response in two, or send it without a length and chunks, until ctx ends. It
// has its own random generator, so that the faults of a seed don't depend on it.
func (r *Run) breakResponses(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.Seed, 4000))
	for ctx.Err() == nil {
		w := r.randomWorker(rng)
		for range 1 + rng.IntN(10) {
			w.SetScript(brokenResponses[rng.IntN(len(brokenResponses))], standin.OK)
			clock.Sleep(ctx, randomDuration(rng, 20, 200))
		}
		w.SetScript(standin.OK)
		clock.Sleep(ctx, randomDuration(rng, 100, 600))
	}
}
