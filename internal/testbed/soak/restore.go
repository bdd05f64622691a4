package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"guavapaddle/internal/clock"
	"guavapaddle/platform/standin"
)

const (
	copyInterval = 250 * time.Millisecond
	maxCopyAge   = 4 * time.Second // of the copy from which the store is restored
	maxAwayMS    = 1500            // for which the store is away before it is back
	// rewriteMS is how long after the store's return the operator and the servers may take to write
	// again what it has lost.
	rewriteMS = 1500
	// confirmTime is how long after a restore nodes take no configuration for confirmed, and refuse
	// requests whose keys they can't check.
	confirmTime = 2 * time.Second
)

type (
	// rowKey identifies a row that the operator or a server writes.
	rowKey struct{ table, key string }

	// storeCopy is a copy of the store.
	storeCopy struct {
		at      time.Time
		content standin.Backup
	}
)

// put writes a row as the operator or a server does, and again if the store loses it.
func (r *Run) put(table, key string, value []byte) {
	r.rowsMu.Lock()
	defer r.rowsMu.Unlock()
	if r.rows == nil {
		r.rows = map[rowKey][]byte{}
	}
	r.rows[rowKey{table, key}] = value
	r.store.Put(table, key, value)
}

// drop removes a row as a server does, and again if the store loses the removal.
func (r *Run) drop(table, key string) {
	r.rowsMu.Lock()
	defer r.rowsMu.Unlock()
	r.rows[rowKey{table, key}] = nil
	r.store.Drop(table, key)
}

// restoreStore restores the store from copies some seconds old at random times until ctx ends.
func (r *Run) restoreStore(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.Seed, 2))
	var copies []storeCopy
	next := time.Now().Add(randomDuration(rng, 1000, 5000))
	for clock.Sleep(ctx, copyInterval) {
		copies = append(copies, storeCopy{time.Now(), r.store.Backup()})
		if time.Now().Before(next) {
			continue
		}
		at := time.Now().Add(-time.Duration(rng.Int64N(int64(maxCopyAge))))
		i := len(copies) - 1
		for i > 0 && copies[i].at.After(at) {
			i--
		}
		copies = copies[:i+1]
		r.logf("restore of a copy %v old", time.Since(copies[i].at))
		began := time.Now()
		r.store.Outage(true)
		clock.Sleep(ctx, randomDuration(rng, 1, maxAwayMS))
		r.store.Restore(copies[i].content)
		r.store.Outage(false)
		clock.Sleep(ctx, randomDuration(rng, 1, rewriteMS))
		r.rewriteRows()
		time.Sleep(confirmTime) // part of the fault, also at the end of the run
		r.check.RecordDisturbance(storeName, began, time.Now(), true)
		next = time.Now().Add(randomDuration(rng, 500, 6000))
	}
}

// rewriteRows writes the rows that the store has lost again.
func (r *Run) rewriteRows() {
	r.rowsMu.Lock()
	defer r.rowsMu.Unlock()
	for k, value := range r.rows {
		row := r.store.Row(k.table, k.key)
		switch {
		case value == nil && row.Version != 0:
			r.store.Drop(k.table, k.key)
		case value != nil && (row.Version == 0 || !slices.Equal(row.Value, value)):
			r.store.Put(k.table, k.key, value)
		}
	}
}
