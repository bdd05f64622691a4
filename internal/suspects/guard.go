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
	// DefaultSpreadWait bounds the wait for the other nodes.
	DefaultSpreadWait = 200 * time.Millisecond
	// DefaultTrial is the longest that a trial holds a server's slot.
	DefaultTrial = time.Minute

	maxRounds  = 4 // plans of one trial that lost a race
	maxTries   = 8 // writes of a mark that the table did not take
	retryAfter = 2 * time.Second
	refuseFor  = 10 * time.Minute
	// sweepPeriod is the least time between removals of old rows, which take
	// place after a crash: nothing else makes rows.
	sweepPeriod = time.Hour
)

type (
	// Table is the part of the table client that a Guard uses.
	Table interface {
		Transact(ctx context.Context, tx row.Tx) (row.Result, error)
		Read(ctx context.Context, keys ...string) ([]row.Row, error)
		Scan(ctx context.Context, prefix string) ([]row.Row, error)
	}

	// Guard decides which marked requests run. Its exported fields are set
	// before its first use; it is safe for concurrent use.
	Guard struct {
		Table Table
		// Spread tells the other nodes of marks and returns when all live ones
		// have taken them over or ctx ends. It may be nil.
		Spread     func(ctx context.Context, marks []suspect.Mark)
		Log        *zap.Logger // may be nil
		Metrics    *Metrics    // may be nil
		Timeout    time.Duration
		SpreadWait time.Duration
		Trial      time.Duration
		Lifetime   time.Duration // of a mark
		MaxMarks   int

		once sync.Once
		mu   sync.Mutex
		set  suspect.Set
		work sync.WaitGroup

		swept time.Time // when this node last removed old rows
	}

	// Run is one send of a request that Begin allowed.
	Run struct {
		Fingerprint suspect.Fingerprint
		Server      string
		trial       suspect.Incident // zero for a request without a mark
	}

	// BusyError means that another marked request runs on the server.
	BusyError struct{ Server string }
)

// Error names the server.
func (e *BusyError) Error() string { return fmt.Sprintf("suspects: %s runs another trial", e.Server) }

// IsBusy tells whether err is a *BusyError.
func IsBusy(err error) bool {
	_, ok := errors.AsType[*BusyError](err)
	return ok
}

// OnTrial tells whether the request runs on trial.
func (r Run) OnTrial() bool { return r.trial != suspect.Incident{} }

// Verdict tells what this node knows of fp.
func (g *Guard) Verdict(fp suspect.Fingerprint) suspect.Verdict {
	g.once.Do(g.init)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.Verdict(time.Now(), fp)
}

// Begin is asked before fp is sent to server. own says that this node has had
// fp in flight before and told of its crash: only then it may run on trial while
// the table is down. The table is read for marked requests only. The error is a
// *BusyError or an *outcome.Error.
func (g *Guard) Begin(ctx context.Context, fp suspect.Fingerprint, server string, own bool) (Run, error) {
	run := Run{Fingerprint: fp, Server: server}
	switch g.Verdict(fp) {
	case suspect.Refuse:
		return run, g.refuse(fp, "known")
	case suspect.Clear:
		return run, nil
	}
	run.trial = suspect.Incident{Server: server, Trial: rand.Text()}
	for range maxRounds {
		done, err := g.try(ctx, &run, own)
		if done || err != nil {
			return run, err
		}
	}
	return run, g.refuse(fp, "raced")
}

// Succeeded notes that the request of r ran to its end.
func (g *Guard) Succeeded(r Run) {
	g.mu.Lock()
	m, marked := g.set.RecordSuccess(time.Now(), r.Fingerprint)
	g.mu.Unlock()
	if marked {
		g.Metrics.count("cleared")
		g.later(r, m)
	}
}

// NotRun notes that the request of r provably did not run, or that its server
// outlived it.
func (g *Guard) NotRun(r Run) {
	if !r.OnTrial() {
		return
	}
	g.mu.Lock()
	m := g.set.RecordNotRun(time.Now(), r.Fingerprint, r.trial)
	g.mu.Unlock()
	g.later(r, m)
}

// Crashed notes that the server that ran r crashed, in the run of boot id. It
// returns when the other nodes know or after SpreadWait.
func (g *Guard) Crashed(ctx context.Context, r Run, bootID string) {
	crash := suspect.Incident{Server: r.Server, BootID: bootID}
	g.once.Do(g.init)
	g.mu.Lock()
	marks := g.set.RecordCrash(time.Now(), crash, []suspect.Fingerprint{r.Fingerprint})
	g.mu.Unlock()
	g.Metrics.count("crash")
	g.later(r)
	g.spread(ctx, marks)
}

// ServerCrashed marks all that was in flight at a server that crashed. It
// returns when the other nodes know or after SpreadWait.
func (g *Guard) ServerCrashed(ctx context.Context, crash suspect.Incident, inflight []suspect.Fingerprint) {
	g.once.Do(g.init)
	g.mu.Lock()
	marks := g.set.RecordCrash(time.Now(), crash, inflight)
	g.mu.Unlock()
	for _, m := range marks {
		g.Metrics.count("crash")
		g.later(Run{Fingerprint: m.Fingerprint})
	}
	g.sweep()
	g.spread(ctx, marks)
}

// Merge takes over marks of another node and returns how many changed.
func (g *Guard) Merge(marks []suspect.Mark) int {
	g.once.Do(g.init)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.Merge(time.Now(), marks)
}

// Marks returns the marks for other nodes, those that changed last first.
func (g *Guard) Marks() []suspect.Mark {
	g.once.Do(g.init)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.Marks(time.Now())
}

// Wait waits until what is written in the background has ended.
func (g *Guard) Wait() { g.work.Wait() }

// try plans the trial of run once. It returns true if the request may be sent.
func (g *Guard) try(ctx context.Context, run *Run, own bool) (bool, error) {
	rows, err := g.read(ctx, suspect.Key(run.Fingerprint), suspect.SlotKey(run.Server))
	if err != nil {
		return g.offline(ctx, run, own)
	}
	now := time.Now()
	g.mu.Lock()
	p, err := g.set.Plan(now, run.Fingerprint, run.trial, now.Add(g.Trial), rows[0], rows[1])
	g.mu.Unlock()
	switch {
	case err != nil:
		return false, outcome.Refuse(outcome.Internal, err.Error(), 0)
	case p.Verdict == suspect.Clear:
		run.trial = suspect.Incident{}
		return true, nil
	case p.Verdict == suspect.Refuse:
		g.later(Run{Fingerprint: run.Fingerprint})
		return false, g.refuse(run.Fingerprint, "table")
	case p.Busy:
		g.Metrics.count("busy")
		return false, &BusyError{Server: run.Server}
	}
	took, err := g.commit(ctx, p.Tx, *run)
	if err != nil {
		return g.offline(ctx, run, own)
	}
	if took {
		g.charge(ctx, *run)
	}
	return took, nil
}

// offline decides without the table: only the node whose own send was lost may
// send again, once.
func (g *Guard) offline(ctx context.Context, run *Run, own bool) (bool, error) {
	if !own || g.Verdict(run.Fingerprint) != suspect.Isolate {
		return false, g.refuse(run.Fingerprint, "table-down")
	}
	g.Metrics.count("trial-offline")
	g.charge(ctx, *run)
	return true, nil
}

// charge notes the trial and tells the other nodes.
func (g *Guard) charge(ctx context.Context, run Run) {
	g.Metrics.count("trial")
	g.mu.Lock()
	m := g.set.Charged(time.Now(), run.Fingerprint, run.trial)
	g.mu.Unlock()
	g.spread(ctx, []suspect.Mark{m})
}

// commit commits the charge of a trial and tells whether it took effect.
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

// spread tells the other nodes.
func (g *Guard) spread(ctx context.Context, marks []suspect.Mark) {
	if g.Spread == nil || len(marks) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.SpreadWait)
	defer cancel()
	g.Spread(ctx, marks)
}

// later tells the other nodes of marks and writes what is known of r's request
// into the table, in the background.
func (g *Guard) later(r Run, marks ...suspect.Mark) {
	g.work.Go(func() {
		g.spread(context.Background(), marks)
		for try := range maxTries {
			if g.record(r) {
				return
			}
			time.Sleep(g.Timeout << min(try, 5))
		}
		g.Log.Warn("mark not written", zap.String("fingerprint", string(r.Fingerprint)))
		g.Metrics.count("unwritten")
	})
}

// record writes what is known of r's request into its row, frees the slot of
// its trial, and tells whether it did.
func (g *Guard) record(r Run) bool {
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
		g.Log.Error("mark row not understood", zap.Error(err))
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

// sweep removes old rows in the background, if this node has not done so for a
// while. What is left after a failure goes the next time.
func (g *Guard) sweep() {
	g.mu.Lock()
	due := time.Since(g.swept) >= sweepPeriod
	if due {
		g.swept = time.Now()
	}
	g.mu.Unlock()
	if !due {
		return
	}
	g.work.Go(func() {
		for _, prefix := range []string{suspect.Prefix, suspect.SlotPrefix} {
			ctx, cancel := context.WithTimeout(context.Background(), g.Trial)
			rows, err := g.Table.Scan(ctx, prefix)
			if tx, some := suspect.Sweep(time.Now(), rows); err == nil && some {
				_, err = g.Table.Transact(ctx, tx)
			}
			cancel()
			if err != nil {
				g.Log.Warn("old marks not removed", zap.Error(err))
			}
		}
	})
}

// read reads rows within the time-out.
func (g *Guard) read(ctx context.Context, keys ...string) ([]row.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, g.Timeout)
	defer cancel()
	return g.Table.Read(ctx, keys...)
}

// refuse returns the refusal of a suspect. While a trial runs its caller may
// come back soon.
func (g *Guard) refuse(fp suspect.Fingerprint, why string) error {
	g.Metrics.count("refused-" + why)
	g.mu.Lock()
	m := g.set.Mark(time.Now(), fp)
	g.mu.Unlock()
	after := retryAfter
	if !m.OnTrial() && m.OpenIncidents() > 1 {
		after = refuseFor
	}
	return outcome.Refuse(outcome.CrashSuspect, "the request was in flight at servers that crashed", after)
}

// init puts the defaults in place.
func (g *Guard) init() {
	if g.Timeout == 0 {
		g.Timeout = DefaultTimeout
	}
	if g.SpreadWait == 0 {
		g.SpreadWait = DefaultSpreadWait
	}
	if g.Trial == 0 {
		g.Trial = DefaultTrial
	}
	if g.Log == nil {
		g.Log = zap.NewNop()
	}
	g.set.Lifetime, g.set.MaxMarks = g.Lifetime, g.MaxMarks
}
