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
	// DefaultMaxReads bounds the reads per second of all nodes together.
	DefaultMaxReads = 20.0
	// DefaultMaxPause is the longest gap between a node's ticks that doesn't make
	// it stale.
	DefaultMaxPause = time.Second
	// DefaultAssumeAfter is how long a stale node waits for a confirmation before
	// it assumes that the newest known version is current.
	DefaultAssumeAfter = 5 * time.Second
	// DefaultFetchTimeout bounds one fetch of a body.
	DefaultFetchTimeout = time.Second

	jitter           = 0.2 // fraction of the period
	ticksPerPause    = 5
	failRetryInitial = 200 * time.Millisecond
	failRetryMax     = 10 * time.Second
)

const (
	tableUnknown tableState = iota
	tableUp
	tableDown
)

type (
	// Follower keeps a node at the newest configuration. Its exported fields
	// must be set before Run.
	Follower struct {
		Table    Reader
		Store    Getter
		Peers    func() []Peer             // live peers, may be nil
		Nodes    func() int                // number of nodes, one if nil
		OnChange func(index *config.Index) // called in ascending order of versions; must not call Run

		Period       time.Duration    // DefaultPeriod if zero
		MaxReads     float64          // reads per second of all nodes, DefaultMaxReads if zero
		MaxPause     time.Duration    // DefaultMaxPause if zero
		AssumeAfter  time.Duration    // DefaultAssumeAfter if zero
		FetchTimeout time.Duration    // DefaultFetchTimeout if zero
		Now          func() time.Time // clock for the detection of pauses, time.Now if nil
		Log          *zap.Logger      // disabled if nil
		Metrics      *Metrics         // disabled if nil

		once      sync.Once
		wakeRead  chan struct{} // wakes readLoop
		wakeFetch chan struct{} // wakes fetchLoop
		wakeQuery chan struct{} // wakes queryLoop

		mu         sync.Mutex
		state      head.Follower
		body       []byte // canonical body of state.InForce
		packed     []byte // body in the form sent to peers
		index      *config.Index
		lastTick   time.Time
		staleSince time.Time // when the node became stale
		table      tableState
	}

	// tableState is the state of the table according to the last read of the head row.
	tableState int
)

// init sets the defaults.
func (f *Follower) init() {
	f.once.Do(func() {
		f.wakeRead, f.wakeFetch, f.wakeQuery = make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{}, 1)
		f.Period = orDefault(f.Period, DefaultPeriod)
		f.MaxPause = orDefault(f.MaxPause, DefaultMaxPause)
		f.AssumeAfter = orDefault(f.AssumeAfter, DefaultAssumeAfter)
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

// Run follows the head until ctx ends and returns the cause of that.
func (f *Follower) Run(ctx context.Context) error {
	f.init()
	now := f.Now()
	f.mu.Lock()
	f.lastTick, f.staleSince = now, now
	f.mu.Unlock()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.readLoop(ctx) })
	g.Go(func() error { return f.fetchLoop(ctx) })
	g.Go(func() error { return f.tickLoop(ctx) })
	g.Go(func() error { return f.queryLoop(ctx) })
	return g.Wait()
}

// AddHint records that a peer has reported a version to be in force. The report may
// be of any age.
func (f *Follower) AddHint(version uint64, hash string) {
	f.init()
	f.update(func(s head.Follower) (head.Follower, error) {
		return s.WithHint(head.Ref{Version: version, Hash: hash})
	})
}

// Head returns the version in force and whether the node is fresh, for the reply
// to a peer's ConfigHead.
func (f *Follower) Head() (ref head.Ref, fresh bool) {
	fresh = f.Fresh()
	return f.InForce(), fresh
}

// Fresh reports whether the node may admit requests by its configuration: see
// head.Follower.Fresh. It detects a pause of the process even before any timer
// fires.
func (f *Follower) Fresh() bool {
	f.init()
	return f.tick(f.Now())
}

// InForce returns the version in force, the zero Ref if there is none.
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

// TableUp reports whether the last read of the head row succeeded.
func (f *Follower) TableUp() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table == tableUp
}

// PackedBody returns the packed body in force if it has the given hash, for the reply
// to a peer's FetchConfig.
func (f *Follower) PackedBody(hash string) ([]byte, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.packed, f.packed != nil && f.state.InForce().Hash == hash
}

// Body returns the canonical body in force if it has the given hash, for
// operators' commands.
func (f *Follower) Body(hash string) ([]byte, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.body, f.body != nil && f.state.InForce().Hash == hash
}

// update changes the state, and wakes fetchLoop if there is a new version to fetch.
func (f *Follower) update(change func(head.Follower) (head.Follower, error)) {
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
		wake(f.wakeFetch)
	}
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// tickLoop detects pauses of the process and staleness longer than AssumeAfter.
func (f *Follower) tickLoop(ctx context.Context) error {
	for {
		if err := wait(ctx, f.MaxPause/ticksPerPause); err != nil {
			return err
		}
		f.tick(f.Now())
	}
}

// tick records that the process is running at now, and reports whether the node is fresh then. A longer gap since the last tick
// than MaxPause makes the node stale; replies that this brings about count from the next call on.
func (f *Follower) tick(now time.Time) (fresh bool) {
	f.mu.Lock()
	gap := f.gap(now)
	paused := !f.lastTick.IsZero() && gap > f.MaxPause
	if paused {
		f.state = f.state.WithPause()
		f.staleSince = now
	}
	if !f.lastTick.IsZero() {
		f.lastTick = now
	}
	assume := f.mayAssume(now)
	if assume {
		f.state = f.state.WithAssumed(f.state.QueryStamp())
	}
	version := f.state.Target().Version
	fresh = f.state.Fresh()
	f.mu.Unlock()
	if paused {
		f.Metrics.pauses.Inc()
		f.Log.Warn("config-stale", zap.Duration("pause", gap))
		wake(f.wakeRead)
		wake(f.wakeQuery)
	}
	if assume {
		f.recordAssumed(version)
	}
	return fresh
}

func (f *Follower) recordAssumed(version uint64) {
	f.Metrics.assumed.Inc()
	f.Log.Warn("config-trusted", zap.Uint64("version", version))
}

// gap returns the time since the last tick by the monotonic or the wall clock,
// whichever is longer: some pauses of a VM stop the monotonic clock.
func (f *Follower) gap(now time.Time) time.Duration {
	return max(now.Sub(f.lastTick), now.Round(0).Sub(f.lastTick.Round(0)))
}

// mayAssume reports whether the newest known version is to be assumed current:
// the table can't be read and no fresh peer has replied for AssumeAfter.
func (f *Follower) mayAssume(now time.Time) bool {
	_, behind := f.state.Missing()
	return !f.state.Fresh() && f.table == tableDown && !behind &&
		f.state.InForce().Version > 0 && now.Sub(f.staleSince) >= f.AssumeAfter
}

// readLoop reads the head row periodically, at once after a pause of the process,
// and with exponential backoff while the table can't be read.
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
		if err := waitOr(ctx, next, f.wakeRead); err != nil {
			return err
		}
	}
}

func failBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = failRetryInitial
	b.MaxInterval = failRetryMax
	return b
}

// period returns the time until the next read, with jitter.
func (f *Follower) period() time.Duration {
	p := f.Period
	if f.Nodes != nil {
		p = max(p, time.Duration(float64(f.Nodes())/f.MaxReads*float64(time.Second)))
	}
	return time.Duration(float64(p) * (1 - jitter + 2*jitter*rand.Float64()))
}

// queryStamp returns the stamp for a query that is about to be sent. It also detects
// a pause that no timer has detected yet.
func (f *Follower) queryStamp() head.QueryStamp {
	f.tick(f.Now())
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.QueryStamp()
}

func (f *Follower) readHead(ctx context.Context) error {
	queryStamp := f.queryStamp()
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
	f.update(func(s head.Follower) (head.Follower, error) { return s.WithRead(queryStamp, h.Ref()) })
	return nil
}

// waitOr waits for d or for c, and returns the cause if ctx ends first.
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
