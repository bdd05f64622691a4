package claims

import (
	"context"
	"crypto/rand"
	"math"
	"sync"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/claim"
	"guavapaddle/core/outcome"
	"guavapaddle/core/row"
)

const (
	// DefaultSpacing is the minimum time between the starts of two transactions.
	DefaultSpacing = 20 * time.Millisecond
	// DefaultTimeout bounds one transaction, and one read of its rows after a lost reply.
	DefaultTimeout = 400 * time.Millisecond
	// DefaultWait bounds the total wait of a claim before it is refused.
	DefaultWait = time.Second
	// DefaultProbeInterval is the time between reads that check whether a failed table
	// is available again. Claims are refused without a transaction until then.
	DefaultProbeInterval = 250 * time.Millisecond
	// DefaultMaxBatch is the maximum number of changes in one transaction.
	DefaultMaxBatch = 256
	// DefaultMaxBatchBytes bounds the total size of the stored answers in one
	// transaction.
	DefaultMaxBatchBytes = 1 << 20
	// DefaultInFlight is the maximum number of concurrent transactions.
	DefaultInFlight = 4
	// DefaultMaxQueue is the number of queued changes from which on claims are
	// refused.
	DefaultMaxQueue = 8192
	// DefaultFinishTimeout bounds how long Finish waits for the table. It waits so
	// that a retry right after the answer finds it stored.
	DefaultFinishTimeout = 150 * time.Millisecond
	// DefaultSweepPeriod is the mean time between removals of old claims.
	DefaultSweepPeriod = 15 * time.Second
)

const (
	// maxRounds bounds how often a claim starts over because the conflicting row
	// was released.
	maxRounds = 3
	// objectPrefix is the prefix of the object store's keys of stored bodies.
	objectPrefix = "claim-answer/"
	objectTries  = 3
)

type (
	// Table is the part of the table client that a Store uses.
	Table interface {
		Transact(ctx context.Context, tx row.Tx) (row.Result, error)
		Read(ctx context.Context, keys ...string) ([]row.Row, error)
		Scan(ctx context.Context, prefix string) ([]row.Row, error)
	}

	// Objects is the part of the object store's client that a Store uses.
	Objects interface {
		Put(ctx context.Context, key string, body []byte) error
		Get(ctx context.Context, key string) ([]byte, error)
	}

	// Call is a call that must run at most once.
	Call struct {
		Team      string
		Key       string // idempotency key, not empty
		BodyHash  string // see claim.BodyHash
		RequestID string
		Deadline  time.Time
	}

	// Grant is the result of a successful claim. Either Stored is set, or the
	// caller holds the claim Held and may send the call once.
	Grant struct {
		Held   claim.Held
		Stored *claim.Answer // including the body
	}

	// Store makes and ends claims. Its exported fields must be set before Run;
	// it is safe for concurrent use. Zero settings select the defaults.
	Store struct {
		Table       Table
		Objects     Objects
		Node        string
		Incarnation uint64
		Dead        claim.IsDead // may be nil
		Log         *zap.Logger  // may be nil
		Metrics     *Metrics     // may be nil

		Spacing       time.Duration
		Timeout       time.Duration
		Wait          time.Duration
		ProbeInterval time.Duration
		FinishTimeout time.Duration
		MaxBatch      int
		MaxBatchBytes int
		InFlight      int
		MaxQueue      int
		InlineBytes   int
		Retention     time.Duration
		SweepPeriod   time.Duration

		once  sync.Once
		wake  chan struct{}
		slots chan struct{}

		mu      sync.Mutex
		queue   []*op
		inserts map[string]*insertion // in progress, by row key
		pending int                   // changes that must take effect and have not done so yet
		idle    chan struct{}         // closed when pending is zero, nil if nobody waits
		down    bool                  // claims are refused until a read is answered
	}

	// insertion is an insert in progress. Other inserts of the same row at this
	// node wait for it.
	insertion struct {
		change claim.Change
		result opResult
		done   chan struct{} // closed when result is set
	}
)

// Claim claims c for this node. Every error is an *outcome.Error: either a refusal
// as not run if the claim could not be written, after which the caller may retry
// with the same key, or the outcome of an earlier call with the same key.
func (s *Store) Claim(_ context.Context, c Call) (Grant, error) {
	s.once.Do(s.init)
	own := claim.Claim{
		Team: c.Team, BodyHash: c.BodyHash, Attempt: rand.Text(),
		Node: s.Node, Incarnation: s.Incarnation, RequestID: c.RequestID,
		AtMS: time.Now().UnixMilli(), DeadlineMS: c.Deadline.UnixMilli(),
	}
	limit := time.Now().Add(s.Wait)
	key := claim.Key(c.Team, c.Key)
	change := claim.Insert(key, own, 0)
	for range maxRounds {
		e := s.insertOnce(change, limit)
		if e.err != nil {
			return Grant{}, e.err
		}
		if e.writeOutcome == claim.Committed {
			s.Metrics.claim("claimed")
			return Grant{Held: change.Held(e.row.Revision)}, nil
		}
		v, err := claim.Evaluate(e.row, own, time.Now(), s.Dead)
		if err != nil {
			return Grant{}, outcome.Refuse(outcome.Internal, err.Error(), 0)
		}
		switch v.Decision {
		case claim.Stored:
			return s.stored(v.Answer)
		case claim.Denied:
			s.Metrics.claim(string(v.Err.Reason))
			return Grant{}, v.Err
		}
		// The attempt id is renewed: the row may already contain the old one as
		// released, and a change must never be mistaken for an older one.
		own.Attempt = rand.Text()
		change = claim.Insert(key, own, v.Revision)
	}
	return Grant{}, outcome.Unconfirmed(outcome.InProgress, "many callers claim this key at once")
}

// Finish stores the answer to a call that the holder of h sent. It waits for the
// table for at most FinishTimeout, and not at all while the table is down. The write
// is retried until it takes effect.
func (s *Store) Finish(h claim.Held, a claim.Answer) {
	s.once.Do(s.init)
	s.addPending()
	o := &op{durable: true, done: make(chan opResult, 1)}
	go func() {
		o.change = h.Finish(s.storeBody(h, a))
		s.submit(o)
	}()
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if !down {
		o.await(s.FinishTimeout)
	}
}

// MarkUnknown records that the call was sent and its answer was lost for reason r.
// It returns at once.
func (s *Store) MarkUnknown(h claim.Held, r outcome.Reason) {
	s.once.Do(s.init)
	s.addPending()
	s.submit(&op{change: h.MarkUnknown(r), durable: true})
}

// Release makes the call available for another claim. It may only be called if the
// call provably did not run and will not be sent. It waits for the table for at most
// Timeout, so that a retry finds the row released.
func (s *Store) Release(h claim.Held) {
	s.once.Do(s.init)
	s.addPending()
	o := &op{change: h.Release(), durable: true, done: make(chan opResult, 1)}
	s.submit(o)
	o.await(s.Timeout)
}

// Flush waits until all answers and releases have taken effect, or ctx ends. It
// returns the number of those that have not.
func (s *Store) Flush(ctx context.Context) int {
	s.once.Do(s.init)
	for {
		s.mu.Lock()
		n := s.pending
		if n > 0 && s.idle == nil {
			s.idle = make(chan struct{})
		}
		idle := s.idle
		s.mu.Unlock()
		if n == 0 {
			return 0
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return n
		}
	}
}

// insertOnce writes at most one insert of a row at a time. Inserts of the same row
// that arrive meanwhile wait for it, and lose against the row that it left.
func (s *Store) insertOnce(c claim.Change, limit time.Time) opResult {
	s.mu.Lock()
	if earlier := s.inserts[c.Key]; earlier != nil {
		s.mu.Unlock()
		<-earlier.done // it ends by its own limit, which is the earlier one
		e := earlier.result
		if e.writeOutcome == claim.Committed {
			e = opResult{writeOutcome: claim.Lost, row: row.Row{Key: c.Key, Value: earlier.change.Value(), Revision: e.row.Revision}}
		}
		return e
	}
	i := &insertion{change: c, done: make(chan struct{})}
	s.inserts[c.Key] = i
	s.mu.Unlock()
	i.result = s.insert(c, limit)
	s.mu.Lock()
	delete(s.inserts, c.Key)
	s.mu.Unlock()
	close(i.done)
	return i.result
}

// insert writes an insert and returns its result: refused as not run if the table
// isn't available until limit.
func (s *Store) insert(c claim.Change, limit time.Time) opResult {
	now := time.Now()
	s.mu.Lock()
	refuse := s.down || len(s.queue) >= s.MaxQueue
	s.mu.Unlock()
	if refuse {
		return s.tableDown("paused")
	}
	o := &op{change: c, done: make(chan opResult, 1)}
	s.submit(o)
	t := time.NewTimer(limit.Sub(now))
	defer t.Stop()
	select {
	case e := <-o.done:
		return e
	case <-t.C:
	}
	if !s.abandon(o) {
		return <-o.done // it ended concurrently
	}
	return s.tableDown("timeout")
}

// tableDown returns the result of a claim that could not be written.
func (s *Store) tableDown(result string) opResult {
	s.Metrics.claim(result)
	return opResult{err: outcome.Refuse(outcome.TableDown,
		"this try did not run; of earlier tries with the same key nothing is known", time.Second)}
}

// stored returns a grant with the stored answer, including its body.
func (s *Store) stored(a *claim.Answer) (Grant, error) {
	s.Metrics.claim("stored")
	if a.Lost {
		return Grant{}, outcome.Fail(outcome.AnswerLost, "the call ran; its answer was too large to be stored at that time")
	}
	if a.Object == "" {
		return Grant{Stored: a}, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.Wait)
	defer cancel()
	body, err := s.Objects.Get(ctx, a.Object)
	if err != nil {
		e := outcome.Fail(outcome.AnswerLost, "the call ran; its stored answer can't be read now")
		e.RetryAfter = time.Second
		return Grant{}, e
	}
	whole := *a
	whole.Body = body
	return Grant{Stored: &whole}, nil
}

// storeBody moves a large body to the object store. If that fails, the answer is marked
// as lost.
func (s *Store) storeBody(h claim.Held, a claim.Answer) claim.Answer {
	if len(a.Body) <= s.InlineBytes {
		return a
	}
	body := a.Body
	a.Body = nil
	key := objectPrefix + h.Claim.Attempt
	for try := range objectTries {
		ctx, cancel := context.WithTimeout(context.Background(), s.Wait)
		err := s.Objects.Put(ctx, key, body)
		cancel()
		if err == nil {
			a.Object = key
			return a
		}
		s.Log.Warn("stored answer not written", zap.String("request-id", h.Claim.RequestID), zap.Error(err))
		time.Sleep(s.ProbeInterval << try)
	}
	a.Lost = true
	return a
}

// init sets the defaults.
func (s *Store) init() {
	setDefault(&s.Spacing, DefaultSpacing)
	setDefault(&s.Timeout, DefaultTimeout)
	setDefault(&s.Wait, DefaultWait)
	setDefault(&s.ProbeInterval, DefaultProbeInterval)
	setDefault(&s.FinishTimeout, DefaultFinishTimeout)
	setDefault(&s.MaxBatch, DefaultMaxBatch)
	setDefault(&s.MaxBatchBytes, DefaultMaxBatchBytes)
	setDefault(&s.InFlight, DefaultInFlight)
	setDefault(&s.MaxQueue, DefaultMaxQueue)
	setDefault(&s.InlineBytes, claim.DefaultInlineBytes)
	setDefault(&s.Retention, claim.DefaultRetention)
	setDefault(&s.SweepPeriod, DefaultSweepPeriod)
	if s.Log == nil {
		s.Log = zap.NewNop()
	}
	s.inserts = map[string]*insertion{}
	s.wake = make(chan struct{}, 1)
	s.slots = make(chan struct{}, s.InFlight)
}

// setDefault sets *v to d if it is zero.
func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// backoff returns the delay before a change that must take effect is written again.
func (s *Store) backoff(tries int) time.Duration {
	const maxDelay = 5 * time.Second
	return min(maxDelay, time.Duration(float64(s.ProbeInterval)*math.Pow(2, float64(min(tries, 16)))))
}
