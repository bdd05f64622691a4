package configsync_test

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/config"
	"guavapaddle/core/config/head"
	"guavapaddle/core/row"
	"guavapaddle/internal/configsync"
)

const applyTimeout = 30 * time.Second

// applyAs applies document n as the given operator, with applyTimeout.
func applyAs(t *testing.T, p *platform, operator string, base uint64, n int) (configsync.Applied, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), applyTimeout)
	defer cancel()
	a := &configsync.Applier{Table: p, Store: p, Operator: operator, Base: base}
	return a.Apply(ctx, document(n))
}

func TestApplySucceedsDespiteLostReplies(t *testing.T) {
	tests := []struct {
		name   string
		faults []int
	}{
		{"no fault", nil},
		{"answer lost", []int{answerLost}},
		{"call lost", []int{callLost}},
		{"call late", []int{late}},
		{"refused, then lost", []int{refused, callLost, answerLost}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlatform()
				p.faults = tt.faults
				applied, err := applyAs(t, p, "kim", 0, 1)
				require.NoError(t, err)
				require.Equal(t, uint64(1), applied.Head.Version)
				require.Len(t, p.accepted(), 1)
				again, err := applyAs(t, p, "lee", 0, 1)
				require.NoError(t, err)
				require.True(t, again.Unchanged)
				require.Equal(t, applied.Head, again.Head)
			})
		})
	}
}

func TestApplyConflictHasWinnerAndDifferences(t *testing.T) {
	for _, faults := range [][]int{nil, {callLost}, {answered, answerLost}} {
		synctest.Test(t, func(t *testing.T) {
			p := newPlatform()
			p.apply(t, 1)
			p.before = func() { p.apply(t, 2) }
			p.faults = faults
			_, err := applyAs(t, p, "kim", 0, 3)
			var conflict *configsync.ConflictError
			require.ErrorAs(t, err, &conflict)
			require.Equal(t, "setup", conflict.Winner.Operator)
			require.Equal(t, uint64(2), conflict.Winner.Version)
			require.Len(t, conflict.Changes, 1)
			require.Equal(t, "replace placement.move-price: 2 -> 3", conflict.Changes[0].String())
			require.Len(t, p.accepted(), 2)
		})
	}
}

func TestApplyAcceptedAndSuperseded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		p.apply(t, 1)
		p.faults = []int{answerLost}
		overtaken := &overtakenTable{platform: p, t: t}
		a := &configsync.Applier{Table: overtaken, Store: p, Operator: "kim"}
		applied, err := a.Apply(t.Context(), document(2))
		require.NoError(t, err)
		require.Equal(t, uint64(2), applied.Head.Version)
		require.Equal(t, uint64(3), applied.Newest.Version)
		require.Equal(t, "setup", applied.Newest.Operator)
	})
}

// overtakenTable is a platform where another operator advances the head before the
// outcome of a transaction is read back.
type overtakenTable struct {
	*platform
	t     *testing.T
	reads int
}

func (o *overtakenTable) Read(ctx context.Context, keys ...string) ([]row.Row, error) {
	if len(keys) > 1 && o.reads == 0 {
		o.reads++
		o.apply(o.t, 3)
	}
	return o.platform.Read(ctx, keys...)
}

func TestApplyInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		p.down = true
		_, err := applyAs(t, p, "kim", 0, 1)
		var unavailable *configsync.UnavailableError
		require.ErrorAs(t, err, &unavailable, "nothing has been sent")

		p.down = false
		p.before = func() { p.set(func() { p.down = true }) }
		_, err = applyAs(t, p, "kim", 0, 1)
		require.ErrorAs(t, err, &unavailable, "the table refused the transaction")

		p.down = false
		p.before = func() {
			time.AfterFunc(time.Millisecond, func() { p.set(func() { p.down = true }) })
			p.set(func() { p.readsBlocked = make(chan struct{}) })
		}
		p.faults = []int{callLost}
		_, err = applyAs(t, p, "kim", 0, 1)
		var unknown *configsync.UnknownError
		require.ErrorAs(t, err, &unknown, "the transaction was sent and can't be read back")
		require.Equal(t, uint64(1), unknown.Own.Version)
	})
}

func TestApplyToOtherBaseConflicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		p.apply(t, 1)
		p.apply(t, 2)
		_, err := applyAs(t, p, "kim", 1, 3)
		var conflict *configsync.ConflictError
		require.ErrorAs(t, err, &conflict)
		require.Equal(t, uint64(2), conflict.Winner.Version)
		_, err = applyAs(t, p, "kim", 2, 3)
		require.NoError(t, err)
	})
}

func TestApplyRefusesChangedBytesOfModelVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		first := p.apply(t, 1)
		doc := document(2)
		doc.Models[0].Bytes++
		a := &configsync.Applier{Table: p, Store: p}
		_, err := a.Apply(t.Context(), doc)
		var invalid *config.InvalidError
		require.ErrorAs(t, err, &invalid)
		require.Equal(t, config.ImmutableVersion, invalid.Problems[0].Code)
		require.Len(t, p.accepted(), 1)

		p.set(func() { p.objects[configsync.BodyKey(first.Hash)] = nil })
		_, err = a.Apply(t.Context(), doc)
		require.NoError(t, err, "a lost body does not block the next document")
	})
}

// TestInvariantOperatorsRaceOnPlatform guards against two operators' documents accepted
// as the same version, and against operators that get the wrong outcome. Eight
// operators apply at the same time while four of five transactions have a fault.
func TestInvariantOperatorsRaceOnPlatform(t *testing.T) {
	const operators, rounds = 8, 20
	for seed := range int64(rounds) {
		synctest.Test(t, func(t *testing.T) {
			p := newPlatform()
			p.random = rand.New(rand.NewSource(seed))
			var wg sync.WaitGroup
			applied, errs := make([]configsync.Applied, operators), make([]error, operators)
			for i := range operators {
				wg.Go(func() { applied[i], errs[i] = applyAs(t, p, fmt.Sprint(i), 0, i) })
			}
			wg.Wait()
			accepted := map[string]head.Head{}
			for i, h := range p.accepted() {
				require.Equal(t, uint64(i+1), h.Version)
				accepted[h.Operator] = h
			}
			require.NotEmpty(t, accepted)
			for i, err := range errs {
				h, won := accepted[fmt.Sprint(i)]
				require.Equal(t, err == nil, won, "operator %d got error %v", i, err)
				if err == nil {
					require.Equal(t, h, applied[i].Head)
					continue
				}
				var conflict *configsync.ConflictError
				require.ErrorAs(t, err, &conflict)
				require.Equal(t, conflict.Winner, p.accepted()[conflict.Winner.Version-1])
			}
		})
	}
}
