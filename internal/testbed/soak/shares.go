package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"guavapaddle/internal/clock"
)

const (
	// sharePeriod is the time between two turns of a node that has a share of a processor, as of a container whose quota is enforced in
	// such periods, and minSharePercent and maxSharePercent bound the share.
	sharePeriod                      = 20 * time.Millisecond
	minSharePercent, maxSharePercent = 25, 50
)

// limitShare lets a node run for a share of the time only, by stopping and continuing its process in turns, until ctx ends. The process runs
// then.
func (r *Run) limitShare(ctx context.Context, n *node, rng *rand.Rand) {
	percent := minSharePercent + rng.IntN(maxSharePercent-minSharePercent+1)
	r.logf("%s has %d %% of a processor", n.settings.Node, percent)
	turn := sharePeriod * time.Duration(percent) / 100
	for ctx.Err() == nil {
		_ = n.signal(syscall.SIGSTOP) // fails only if the process has exited
		clock.Sleep(ctx, sharePeriod-turn)
		_ = n.signal(syscall.SIGCONT)
		clock.Sleep(ctx, turn)
	}
}
