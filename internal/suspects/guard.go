package suspects

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/outcome"
	"guavapaddle/core/row"
	"guavapaddle/core/suspect"
)

const (
	// DefaultTimeout bounds one call to the table.
	DefaultTimeout = 400 * time.Millisecond
	// DefaultBroadcastTimeout bounds the wait for the other nodes.
	DefaultBroadcastTimeout = 200 * time.Millisecond
	// DefaultMaxTrial is the longest time that a trial occupies a server's trial
	// slot.
	DefaultMaxTrial = time.Minute

	maxPlanAttempts  = 4 // attempts to plan one trial, repeated after a lost race
	maxWriteAttempts = 8 // attempts to write a mark to the table
	// retryAfter is the retry delay of a suspect that is on trial or has at most one
	// open incident.
	retryAfter = 2 * time.Second
	// confirmedRetryAfter is the retry delay of a suspect with several open incidents.
	confirmedRetryAfter = 10 * time.Minute
	// sweepPeriod is the minimum time between removals of old rows. Rows are
	// removed only after a crash, since nothing else creates rows.
	sweepPeriod = time.Hour
)

type (
	// Table is the part of the table client that a Guard uses.
	Table interface {
		Transact(ctx context.Context, tx row.Tx) (row.Result, error)
		Read(ctx context.Context, keys ...string) ([]row.Row, error)
		Scan(ctx context.Context, prefix string) ([]row.Row, error)
	}

	// Guard decides whether marked requests run. Its exported fields are set
	// before its first use. It is safe for concurrent use.
	Guard struct {
		Table Table
		// Broadcast sends marks to the other nodes and returns when all live ones
		// have merged them or ctx ends. It may be nil.
		Broadcast        func(ctx context.Context, marks []suspect.Mark)
		Log              *zap.Logger // may be nil
		Metrics          *Metrics    // may be nil
		Timeout          time.Duration
		BroadcastTimeout time.Duration
		MaxTrial         time.Duration
		Lifetime         time.Duration // lifetime of a mark
		MaxMarks         int

		once sync.Once
		mu   sync.Mutex
		set  suspect.Set
		work sync.WaitGroup

		lastSweep time.Time // when this node last removed old rows
	}

	// Run is one send of a request that Begin allowed.
	Run struct {
		Fingerprint suspect.Fingerprint
		Server      string
		trial       suspect.Incident // zero for a request without a mark
	}

	// BusyError reports that another marked request runs on the server.
	BusyError struct{ Server string }
)

// Error names the server.
func (e *BusyError) Error() string { return fmt.Sprintf("suspects: %s runs another trial", e.Server) }

// IsBusy reports whether err is a *BusyError.
func IsBusy(err error) bool {
	_, ok := errors.AsType[*BusyError](err)
	return ok
}

// OnTrial reports whether the request runs on trial.
func (r Run) OnTrial() bool { return r.trial != suspect.Incident{} }

// Verdict returns the verdict on fp by the marks that this node knows.
func (g *Guard) Verdict(fp suspect.Fingerprint) suspect.Verdict {
	g.once.Do(g.init)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.Verdict(time.Now(), fp)
}

// Begin decides whether fp may be sent to server. The caller sets own if this
// node has had fp in flight before and reported its crash; only then fp may run
// on trial while the table is down. The table is read for marked requests only.
// The error is a *BusyError or an *outcome.Error.
func (g *Guard) Begin(ctx context.Context, fp suspect.Fingerprint, server string, own bool) (Run, error) {
	run := Run{Fingerprint: fp, Server: server}
	switch g.Verdict(fp) {
	case suspect.Refuse:
		return run, g.refuse(fp, "known")
	case suspect.Clear:
		return run, nil
	}
	run.trial = suspect.Incident{Server: server, Trial: rand.Text()}
	for range maxPlanAttempts {
		done, err := g.planTrial(ctx, &run, own)
		if done || err != nil {
			return run, err
		}
	}
	return run, g.refuse(fp, "raced")
}

// Succeeded records that the request of r ran to its end.
func (g *Guard) Succeeded(r Run) {
	g.mu.Lock()
	m, marked := g.set.RecordSuccess(time.Now(), r.Fingerprint)
	g.mu.Unlock()
	if marked {
		g.Metrics.count("cleared")
		g.writeLater(r, m)
	}
}

// NotRun records that the request of r provably did not run, or that its server
// survived it.
func (g *Guard) NotRun(r Run) {
	if !r.OnTrial() {
		return
	}
	g.mu.Lock()
	m := g.set.RecordNotRun(time.Now(), r.Fingerprint, r.trial)
	g.mu.Unlock()
	g.writeLater(r, m)
}

// Crashed records that the server that ran r crashed; bootID identifies the
// server's incarnation. It returns when the other nodes know or after
// BroadcastTimeout.
func (g *Guard) Crashed(ctx context.Context, r Run, bootID string) {
	crash := suspect.Incident{Server: r.Server, BootID: bootID}
	g.once.Do(g.init)
	g.mu.Lock()
	marks := g.set.RecordCrash(time.Now(), crash, []suspect.Fingerprint{r.Fingerprint})
	g.mu.Unlock()
	g.Metrics.count("crash")
	g.writeLater(r)
	g.broadcast(ctx, marks)
}

// ServerCrashed marks all requests that were in flight at a server that crashed.
// It returns when the other nodes know or after BroadcastTimeout.
func (g *Guard) ServerCrashed(ctx context.Context, crash suspect.Incident, inflight []suspect.Fingerprint) {
	g.once.Do(g.init)
	g.mu.Lock()
	marks := g.set.RecordCrash(time.Now(), crash, inflight)
	g.mu.Unlock()
	for _, m := range marks {
		g.Metrics.count("crash")
		g.writeLater(Run{Fingerprint: m.Fingerprint})
	}
	g.sweep()
	g.broadcast(ctx, marks)
}

// Merge merges marks of another node and returns how many changed.
func (g *Guard) Merge(marks []suspect.Mark) int {
	g.once.Do(g.init)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.Merge(time.Now(), marks)
}

// Marks returns the marks for other nodes, the most recently changed first.
func (g *Guard) Marks() []suspect.Mark {
	g.once.Do(g.init)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.Marks(time.Now())
}

// Wait waits until all background writes have ended.
func (g *Guard) Wait() { g.work.Wait() }

// planTrial plans the trial of run once and returns true if the request may be
// sent.
func (g *Guard) planTrial(ctx context.Context, run *Run, own bool) (bool, error) {
	rows, err := g.read(ctx, suspect.Key(run.Fingerprint), suspect.SlotKey(run.Server))
	if err != nil {
		return g.decideOffline(ctx, run, own)
	}
	now := time.Now()
	g.mu.Lock()
	p, err := g.set.Plan(now, run.Fingerprint, run.trial, now.Add(g.MaxTrial), rows[0], rows[1])
	g.mu.Unlock()
	switch {
	case err != nil:
		return false, outcome.Refuse(outcome.Internal, err.Error(), 0)
	case p.Verdict == suspect.Clear:
		run.trial = suspect.Incident{}
		return true, nil
	case p.Verdict == suspect.Refuse:
		g.writeLater(Run{Fingerprint: run.Fingerprint})
		return false, g.refuse(run.Fingerprint, "table")
	case p.Busy:
		g.Metrics.count("busy")
		return false, &BusyError{Server: run.Server}
	}
	committed, err := g.commit(ctx, p.Tx, *run)
	if err != nil {
		return g.decideOffline(ctx, run, own)
	}
	if committed {
		g.recordTrial(ctx, *run)
	}
	return committed, nil
}

// decideOffline decides without the table. Only the node whose own send was lost
// may send the request again, once.
func (g *Guard) decideOffline(ctx context.Context, run *Run, own bool) (bool, error) {
	if !own || g.Verdict(run.Fingerprint) != suspect.Isolate {
		return false, g.refuse(run.Fingerprint, "table-down")
	}
	g.Metrics.count("trial-offline")
	g.recordTrial(ctx, *run)
	return true, nil
}

// recordTrial records the trial and sends its mark to the other nodes.
func (g *Guard) recordTrial(ctx context.Context, run Run) {
	g.Metrics.count("trial")
	g.mu.Lock()
	m := g.set.RecordCharge(time.Now(), run.Fingerprint, run.trial)
	g.mu.Unlock()
	g.broadcast(ctx, []suspect.Mark{m})
}

// commit commits the charge of a trial and reports whether it took effect.
func (g *Guard) commit(ctx context.Context, tx row.Tx, run Run) (bool, error) {
	call, cancel := context.WithTimeout(ctx, g.Timeout)
	res, err := g.Table.Transact(call, tx)
	cancel()
	if err == nil {
		return res.Committed, nil
	}
	rows, err := g.read(ctx, suspect.Key(run.Fingerprint))
	if err != nil {
		return false, err
	}
	return suspect.IsCharged(run.Fingerprint, run.trial, rows[0])
}

// broadcast sends marks to the other nodes and waits at most BroadcastTimeout.
func (g *Guard) broadcast(ctx context.Context, marks []suspect.Mark) {
	if g.Broadcast == nil || len(marks) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.BroadcastTimeout)
	defer cancel()
	g.Broadcast(ctx, marks)
}

// writeLater sends marks to the other nodes and writes the mark of r's request
// to the table, in the background.
func (g *Guard) writeLater(r Run, marks ...suspect.Mark) {
	g.work.Go(func() {
		g.broadcast(context.Background(), marks)
		for attempt := range maxWriteAttempts {
			if g.writeMark(r) {
				return
			}
			time.Sleep(g.Timeout << min(attempt, 5))
		}
		g.Log.Warn("mark not written", zap.String("fingerprint", string(r.Fingerprint)))
		g.Metrics.count("unwritten")
	})
}

// writeMark writes the mark of r's request to its row, frees the slot of its
// trial, and reports whether it succeeded.
func (g *Guard) writeMark(r Run) bool {
	ctx := context.Background()
	keys := []string{suspect.Key(r.Fingerprint)}
	if r.OnTrial() {
		keys = append(keys, suspect.SlotKey(r.Server))
	}
	rows, err := g.read(ctx, keys...)
	if err != nil {
		return false
	}
	g.mu.Lock()
	tx, err := g.set.Update(time.Now(), r.Fingerprint, rows[0])
	g.mu.Unlock()
	if err != nil {
		g.Log.Error("cannot decode mark row", zap.Error(err))
		return true
	}
	if r.OnTrial() {
		tx = suspect.FreeSlot(tx, r.trial, rows[1])
	}
	if len(tx.Writes) == 0 {
		return true
	}
	call, cancel := context.WithTimeout(ctx, g.Timeout)
	defer cancel()
	res, err := g.Table.Transact(call, tx)
	return err == nil && res.Committed
}

// sweep removes old rows in the background, at most once per sweepPeriod. Rows
// that remain after a failure are removed by the next sweep.
func (g *Guard) sweep() {
	g.mu.Lock()
	due := time.Since(g.lastSweep) >= sweepPeriod
	if due {
		g.lastSweep = time.Now()
	}
	g.mu.Unlock()
	if !due {
		return
	}
	g.work.Go(func() {
		for _, prefix := range []string{suspect.Prefix, suspect.SlotPrefix} {
			ctx, cancel := context.WithTimeout(context.Background(), g.MaxTrial)
			rows, err := g.Table.Scan(ctx, prefix)
			if tx, found := suspect.Sweep(time.Now(), rows); err == nil && found {
				_, err = g.Table.Transact(ctx, tx)
			}
			cancel()
			if err != nil {
				g.Log.Warn("old marks not removed", zap.Error(err))
			}
		}
	})
}

// read reads rows within the timeout.
func (g *Guard) read(ctx context.Context, keys ...string) ([]row.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, g.Timeout)
	defer cancel()
	return g.Table.Read(ctx, keys...)
}

// refuse returns the refusal of a suspect. The retry delay is short while a
// trial runs.
func (g *Guard) refuse(fp suspect.Fingerprint, reason string) error {
	g.Metrics.count("refused-" + reason)
	g.mu.Lock()
	m := g.set.Mark(time.Now(), fp)
	g.mu.Unlock()
	after := retryAfter
	if !m.OnTrial() && m.OpenIncidents() > 1 {
		after = confirmedRetryAfter
	}
	return outcome.Refuse(outcome.CrashSuspect, "the request was in flight at servers that crashed", after)
}

// init sets defaults.
func (g *Guard) init() {
	if g.Timeout == 0 {
		g.Timeout = DefaultTimeout
	}
	if g.BroadcastTimeout == 0 {
		g.BroadcastTimeout = DefaultBroadcastTimeout
	}
	if g.MaxTrial == 0 {
		g.MaxTrial = DefaultMaxTrial
	}
	if g.Log == nil {
		g.Log = zap.NewNop()
	}
	g.set.Lifetime, g.set.MaxMarks = g.Lifetime, g.MaxMarks
}
