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

const patience = 30 * time.Second

// applying applies document n as an operator within patience.
func applying(t *testing.T, p *platform, operator string, base uint64, n int) (configsync.Applied, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	a := &configsync.Applier{Table: p, Store: p, Operator: operator, Base: base}
	return a.Apply(ctx, document(n))
}

func TestApplyPastLostAnswers(t *testing.T) {
	tests := []struct {
		name  string
		fates []int
	}{
		{"all is well", nil},
		{"answer lost", []int{answerLost}},
		{"call lost", []int{callLost}},
		{"call late", []int{late}},
		{"refused, then lost", []int{refused, callLost, answerLost}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlatform()
				p.fates = tt.fates
				applied, err := applying(t, p, "kim", 0, 1)
				require.NoError(t, err)
				require.Equal(t, uint64(1), applied.Head.Version)
				require.Len(t, p.accepted(), 1)
				again, err := applying(t, p, "lee", 0, 1)
				require.NoError(t, err)
				require.True(t, again.Unchanged)
				require.Equal(t, applied.Head, again.Head)
			})
		})
	}
}

func TestApplyToldWhoWonAndWhatDiffers(t *testing.T) {
	for _, fates := range [][]int{nil, {callLost}, {answered, answerLost}} {
		synctest.Test(t, func(t *testing.T) {
			p := newPlatform()
			p.apply(t, 1)
			p.before = func() { p.apply(t, 2) }
			p.fates = fates
			_, err := applying(t, p, "kim", 0, 3)
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
		p.fates = []int{answerLost}
		slow := &onTop{platform: p, t: t}
		a := &configsync.Applier{Table: slow, Store: p, Operator: "kim"}
		applied, err := a.Apply(t.Context(), document(2))
		require.NoError(t, err)
		require.Equal(t, uint64(2), applied.Head.Version)
		require.Equal(t, uint64(3), applied.Newest.Version)
		require.Equal(t, "setup", applied.Newest.Operator)
	})
}

// onTop lets another operator advance the head before the fate is read back.
type onTop struct {
	*platform
	t     *testing.T
	reads int
}

func (o *onTop) Read(ctx context.Context, keys ...string) ([]row.Row, error) {
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
		_, err := applying(t, p, "kim", 0, 1)
		var unavailable *configsync.UnavailableError
		require.ErrorAs(t, err, &unavailable, "nothing was sent")

		p.down = false
		p.before = func() { p.set(func() { p.down = true }) }
		_, err = applying(t, p, "kim", 0, 1)
		require.ErrorAs(t, err, &unavailable, "the table refused")

		p.down = false
		p.before = func() {
			time.AfterFunc(time.Millisecond, func() { p.set(func() { p.down = true }) })
			p.set(func() { p.silence = make(chan struct{}) })
		}
		p.fates = []int{callLost}
		_, err = applying(t, p, "kim", 0, 1)
		var unknown *configsync.UnknownError
		require.ErrorAs(t, err, &unknown, "sent, and never read back")
		require.Equal(t, uint64(1), unknown.Mine.Version)
	})
}

func TestApplyFromAnotherBase(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		p.apply(t, 1)
		p.apply(t, 2)
		_, err := applying(t, p, "kim", 1, 3)
		var conflict *configsync.ConflictError
		require.ErrorAs(t, err, &conflict)
		require.Equal(t, uint64(2), conflict.Winner.Version)
		_, err = applying(t, p, "kim", 2, 3)
		require.NoError(t, err)
	})
}

func TestApplyRefusesOtherBytesOfAVersion(t *testing.T) {
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
		require.NoError(t, err, "a body that is lost can't be compared with")
	})
}

// TestInvariantOperatorsRaceOnPlatform lets eight operators apply at the same
// time while four of five transactions fail in some way.
func TestInvariantOperatorsRaceOnPlatform(t *testing.T) {
	const operators, rounds = 8, 20
	for seed := range int64(rounds) {
		synctest.Test(t, func(t *testing.T) {
			p := newPlatform()
			p.random = rand.New(rand.NewSource(seed))
			var wg sync.WaitGroup
			applied, errs := make([]configsync.Applied, operators), make([]error, operators)
			for i := range operators {
				wg.Go(func() { applied[i], errs[i] = applying(t, p, fmt.Sprint(i), 0, i) })
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
				require.Equal(t, err == nil, won, "operator %d was told %v", i, err)
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
