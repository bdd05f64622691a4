package placer_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/clock"
	"guavapaddle/platform"
)

const (
	simCopyInterval = 250 * time.Millisecond
	simMaxCopyAge   = 4 * time.Second // of the copy from which the store is restored
	simMaxOutage    = 3 * time.Second // of the store before it is back
)

// simCopy is a copy of the store.
type simCopy struct {
	at      time.Time
	version int64
	rows    map[string]platform.Row
}

// TestRestoresInSimulatedTime runs the seeds with a store that comes back several times from a copy some
// seconds old, besides the other faults. Memory and loads stay within their limits, and no epoch is used
// by two nodes.
func TestRestoresInSimulatedTime(t *testing.T) {
	for i := range *simSeeds {
		seed := *simFirst + uint64(i)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := runSeedWith(t, seed, (*simWorld).restoreStore)
				events := strings.Join(w.events, "\n")
				require.NotEmpty(t, w.loads, "no model was loaded")
				require.Positive(t, w.era, "the store was never restored")
				require.Empty(t, w.faults, "events\n%s", events)
				most, at := w.worstWindow()
				require.LessOrEqual(t, float64(most), simLoadsPerS*simWindow.Seconds()*1.1+3, "from %v on\n%s", at, events)
			})
		})
	}
}

// restoreStore takes copies of the store and restores it from one at random times, until ctx ends.
func (w *simWorld) restoreStore(ctx context.Context, rng *rand.Rand) {
	next := time.Now().Add(w.restorePause(rng))
	for clock.Sleep(ctx, simCopyInterval) {
		w.copyStore()
		if time.Now().Before(next) {
			continue
		}
		var outage time.Duration
		if rng.IntN(3) > 0 {
			outage = time.Duration(rng.Int64N(int64(simMaxOutage)))
		}
		w.restoreFrom(time.Now().Add(-time.Duration(rng.Int64N(int64(simMaxCopyAge)))), outage)
		next = time.Now().Add(w.restorePause(rng))
	}
}

// restorePause returns the time until the next restore: mostly many seconds, sometimes less than the
// lease's time to live.
func (w *simWorld) restorePause(rng *rand.Rand) time.Duration {
	if rng.IntN(3) == 0 {
		return time.Duration(rng.IntN(2000)) * time.Millisecond
	}
	return time.Duration(3000+rng.IntN(12000)) * time.Millisecond
}

func (w *simWorld) copyStore() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.copies = append(w.copies, simCopy{at: time.Now(), version: w.version, rows: maps.Clone(w.rows)})
}

// restoreFrom restores the last copy taken before a time, and makes the store unavailable for a while.
func (w *simWorld) restoreFrom(at time.Time, outage time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := len(w.copies) - 1
	for i > 0 && w.copies[i].at.After(at) {
		i--
	}
	c := w.copies[i]
	w.copies = w.copies[:i+1]
	w.rows, w.version = maps.Clone(c.rows), c.version
	w.era++
	for _, n := range w.nodes {
		n.storeLostUntil = time.Now().Add(outage)
	}
	w.recordEvent("restore", fmt.Sprint(time.Since(c.at)), "outage", fmt.Sprint(outage))
}

// recordHolder records which node sends orders under an epoch.
func (w *simWorld) recordHolder(o platform.Order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if h, ok := w.holders[o.Fence]; ok && h != o.Holder {
		w.faults = append(w.faults, fmt.Sprint("epoch ", o.Fence, " of ", h, " and ", o.Holder, " at ", time.Since(w.origin)))
	}
	w.holders[o.Fence] = o.Holder
}
