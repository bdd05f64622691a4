package configsync

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"guavapaddle/core/config"
	"guavapaddle/core/config/head"
)

// Defaults of a Follower.
const (
	// DefaultPeriod is the time between reads of the head row.
	DefaultPeriod = 2 * time.Second
	// DefaultMaxReads bounds the reads a second of all nodes together.
	DefaultMaxReads = 20.0
	// DefaultMaxPause is the gap in a node's own ticks that makes it stale.
	DefaultMaxPause = time.Second
	// DefaultTrustAfter is how long a stale node waits for a confirmation.
	DefaultTrustAfter = 5 * time.Second
	// DefaultFetchTimeout bounds one fetch of a body.
	DefaultFetchTimeout = time.Second

	jitter         = 0.2 // share of the period
	ticksPerPause  = 5
	failRetryFirst = 200 * time.Millisecond
	failRetryMost  = 10 * time.Second
)

const (
	tableUnknown tableState = iota
	tableUp
	tableDown
)

type (
	// Follower keeps a node at the newest configuration. Its exported fields
	// are set before Run.
	Follower struct {
		Table    Reader
		Store    Getter
		Peers    func() []Peer             // live peers, may be nil
		Nodes    func() int                // how many nodes there are, one if nil
		OnChange func(index *config.Index) // called in order of versions; must not call Run

		Period       time.Duration    // DefaultPeriod if zero
		MaxReads     float64          // reads a second of all nodes, DefaultMaxReads if zero
		MaxPause     time.Duration    // DefaultMaxPause if zero
		TrustAfter   time.Duration    // DefaultTrustAfter if zero
		FetchTimeout time.Duration    // DefaultFetchTimeout if zero
		Now          func() time.Time // clock by which pauses are noticed, time.Now if nil
		Log          *zap.Logger      // none if nil
		Metrics      *Metrics         // none if nil

		once sync.Once
		read chan struct{} // wakes the reading of the head
		want chan struct{} // wakes the fetching of a body
		ask  chan struct{} // wakes the asking of peers

		mu       sync.Mutex
		state    head.Follower
		body     []byte // canonical, of state.InForce
		packed   []byte // the same as peers carry it
		index    *config.Index
		lastTick time.Time
		staleAt  time.Time // start of staleness
		table    tableState
	}

	// tableState is what the last read of the head row told of the table.
	tableState int
)

// init fills in the defaults.
func (f *Follower) init() {
	f.once.Do(func() {
		f.read, f.want, f.ask = make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{}, 1)
		f.Period = orDefault(f.Period, DefaultPeriod)
		f.MaxPause = orDefault(f.MaxPause, DefaultMaxPause)
		f.TrustAfter = orDefault(f.TrustAfter, DefaultTrustAfter)
		f.FetchTimeout = orDefault(f.FetchTimeout, DefaultFetchTimeout)
		if f.Now == nil {
			f.Now = time.Now
		}
		if f.MaxReads == 0 {
			f.MaxReads = DefaultMaxReads
		}
		if f.Log == nil {
			f.Log = zap.NewNop()
		}
		if f.Metrics == nil {
			f.Metrics = NewMetrics(prometheus.NewRegistry())
		}
	})
}

func orDefault(d, def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return d
}

// Run follows the head until ctx ends and returns the cause.
func (f *Follower) Run(ctx context.Context) error {
	f.init()
	now := f.Now()
	f.mu.Lock()
	f.lastTick, f.staleAt = now, now
	f.mu.Unlock()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.readLoop(ctx) })
	g.Go(func() error { return f.fetchLoop(ctx) })
	g.Go(func() error { return f.tickLoop(ctx) })
	g.Go(func() error { return f.askLoop(ctx) })
	return g.Wait()
}

// Hint tells that a peer has a version in force, however long ago it said so.
func (f *Follower) Hint(version uint64, hash string) {
	f.init()
	f.learn(func(s head.Follower) (head.Follower, error) {
		return s.WithHint(head.Ref{Version: version, Hash: hash})
	})
}

// Head returns what is in force and whether the node is fresh, to answer a
// peer's ConfigHead.
func (f *Follower) Head() (ref head.Ref, fresh bool) {
	fresh = f.Fresh()
	return f.InForce(), fresh
}

// Fresh tells whether the node may admit requests by its configuration: see
// head.Follower.Fresh. It sees a pause of the process even before any timer
// does.
func (f *Follower) Fresh() bool {
	f.init()
	f.tick(f.Now())
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Fresh()
}

// InForce returns what is in force, the zero Ref if nothing is.
func (f *Follower) InForce() head.Ref {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.InForce()
}

// Index returns the index in force, nil if there is none.
func (f *Follower) Index() *config.Index {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.index
}

// TableUp tells whether the last read of the head row succeeded.
func (f *Follower) TableUp() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table == tableUp
}

// Packed returns the body in force, if it has the given hash, as a peer's
// FetchConfig is to get it.
func (f *Follower) Packed(hash string) ([]byte, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.packed, f.packed != nil && f.state.InForce().Hash == hash
}

// Body returns the canonical body in force if it has the given hash, for
// operators.
func (f *Follower) Body(hash string) ([]byte, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.body, f.body != nil && f.state.InForce().Hash == hash
}

// learn changes the state and wakes the fetching if there is something new.
func (f *Follower) learn(change func(head.Follower) (head.Follower, error)) {
	f.mu.Lock()
	before := f.state.Target()
	state, err := change(f.state)
	f.state = state
	f.mu.Unlock()
	if fork, ok := errors.AsType[*head.ForkError](err); ok {
		f.Metrics.forks.Inc()
		f.Log.Error("config-fork", zap.Uint64("version", fork.Known.Version), zap.String("hash", fork.Known.Hash), zap.String("other-hash", fork.Other.Hash))
	}
	if state.Target() != before {
		wake(f.want)
	}
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// tickLoop watches for pauses and for staleness that lasts.
func (f *Follower) tickLoop(ctx context.Context) error {
	for {
		if err := wait(ctx, f.MaxPause/ticksPerPause); err != nil {
			return err
		}
		f.tick(f.Now())
	}
}

// tick notes that the process runs at now.
func (f *Follower) tick(now time.Time) {
	f.mu.Lock()
	gap := f.gap(now)
	paused := !f.lastTick.IsZero() && gap > f.MaxPause
	if paused {
		f.state = f.state.WithPause()
		f.staleAt = now
	}
	if !f.lastTick.IsZero() {
		f.lastTick = now
	}
	trust := f.mayTrust(now)
	if trust {
		f.state = f.state.WithAssumed(f.state.QueryStamp())
	}
	version := f.state.Target().Version
	f.mu.Unlock()
	if paused {
		f.Metrics.pauses.Inc()
		f.Log.Warn("config-stale", zap.Duration("pause", gap))
		wake(f.read)
		wake(f.ask)
	}
	if trust {
		f.noteTrust(version)
	}
}

func (f *Follower) noteTrust(version uint64) {
	f.Metrics.trusted.Inc()
	f.Log.Warn("config-trusted", zap.Uint64("version", version))
}

// gap returns the time since the last tick by the monotonic or the wall clock,
// whichever says more: some pauses of a VM stop the monotonic clock.
func (f *Follower) gap(now time.Time) time.Duration {
	return max(now.Sub(f.lastTick), now.Round(0).Sub(f.lastTick.Round(0)))
}

// mayTrust tells whether the newest version seen is to be taken as confirmed:
// the table can't be read and no fresh peer answered for TrustAfter.
func (f *Follower) mayTrust(now time.Time) bool {
	_, behind := f.state.Missing()
	return !f.state.Fresh() && f.table == tableDown && !behind &&
		f.state.InForce().Version > 0 && now.Sub(f.staleAt) >= f.TrustAfter
}

// readLoop reads the head row now and then, at once after a pause, and with
// growing pauses while the table can't be read.
func (f *Follower) readLoop(ctx context.Context) error {
	b := failBackoff()
	for {
		err := f.readHead(ctx)
		next := f.period()
		if err != nil {
			next = b.NextBackOff()
		} else {
			b.Reset()
		}
		if err := waitOr(ctx, next, f.read); err != nil {
			return err
		}
	}
}

func failBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = failRetryFirst
	b.MaxInterval = failRetryMost
	return b
}

// period returns the time to the next read, with jitter.
func (f *Follower) period() time.Duration {
	p := f.Period
	if f.Nodes != nil {
		p = max(p, time.Duration(float64(f.Nodes())/f.MaxReads*float64(time.Second)))
	}
	return time.Duration(float64(p) * (1 - jitter + 2*jitter*rand.Float64()))
}

// ticket is to be taken before a question is sent. A pause that no timer has
// noticed yet is noticed here.
func (f *Follower) ticket() head.QueryStamp {
	f.tick(f.Now())
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.QueryStamp()
}

func (f *Follower) readHead(ctx context.Context) error {
	ticket := f.ticket()
	rows, err := f.Table.Read(ctx, head.Key)
	var h head.Head
	if err == nil {
		h, err = head.Parse(rows[0])
	}
	f.Metrics.reads.WithLabelValues(result(err)).Inc()
	f.mu.Lock()
	before := f.table
	f.table = tableUp
	if err != nil {
		f.table = tableDown
	}
	changed := f.table != before
	f.mu.Unlock()
	if changed {
		f.Log.Info("config-table", zap.Bool("up", err == nil), zap.Error(err))
	}
	if err != nil {
		return err
	}
	f.tick(f.Now())
	f.learn(func(s head.Follower) (head.Follower, error) { return s.WithRead(ticket, h.Ref()) })
	return nil
}

// waitOr waits for d or for c and returns the cause if ctx ends before.
func waitOr(ctx context.Context, d time.Duration, c <-chan struct{}) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-c:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
