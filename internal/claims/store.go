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
	// DefaultSpacing is the least time between the starts of two transactions.
	DefaultSpacing = 20 * time.Millisecond
	// DefaultTimeout bounds one transaction and one reading back.
	DefaultTimeout = 400 * time.Millisecond
	// DefaultWait bounds how long a claim waits in all before it is refused.
	DefaultWait = time.Second
	// DefaultPause is the time between reads that find out whether a table
	// that failed is back. Claims are refused without a try until then.
	DefaultPause = 250 * time.Millisecond
	// DefaultMaxBatch is the most changes in one transaction.
	DefaultMaxBatch = 256
	// DefaultMaxBatchBytes bounds the stored answers in one transaction.
	DefaultMaxBatchBytes = 1 << 20
	// DefaultInFlight is the most transactions at the same time.
	DefaultInFlight = 4
	// DefaultMaxQueue is the most changes that wait.
	DefaultMaxQueue = 8192
	// DefaultAnswerWait bounds how long Finish waits for the table, so that a
	// repeat right after the answer finds it stored.
	DefaultAnswerWait = 150 * time.Millisecond
	// DefaultSweepPeriod is the time between removals of old claims.
	DefaultSweepPeriod = 15 * time.Second
)

const (
	// maxRounds bounds how often a claim starts over because the row that
	// stood in its way was released.
	maxRounds = 3
	// objectPrefix begins the key of every stored body.
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

	// Call is a call that is to run at most once.
	Call struct {
		Team      string
		Key       string // idempotency key, not empty
		BodyHash  string // see claim.BodyHash
		RequestID string
		Deadline  time.Time
	}

	// Grant is the answer to a claim that did not fail. Either Stored is set,
	// or the caller holds Held and may send the call once.
	Grant struct {
		Held   claim.Held
		Stored *claim.Answer // whole, with its body
	}

	// Store makes and ends claims. Its exported fields are set before Run; it
	// is safe for concurrent use. Zero settings mean the defaults.
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
		Pause         time.Duration
		AnswerWait    time.Duration
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
		inserts map[string]*insertion // by row key
		pending int                   // changes that must take effect and have not yet
		idle    chan struct{}         // closed when pending is zero, nil if nobody waits
		down    bool                  // claims are refused until a read is answered
	}

	// insertion is an insert of this node that others of the same row wait for.
	insertion struct {
		change claim.Change
		end    ended
		done   chan struct{} // closed when end is set
	}
)

// Claim claims c for this node. Every error is an *outcome.Error: refused as
// not run if the claim could not be written, whose caller may come back with
// the same key, or what an asker is told of an earlier call with the same key.
func (s *Store) Claim(_ context.Context, c Call) (Grant, error) {
	s.once.Do(s.init)
	mine := claim.Claim{
		Team: c.Team, BodyHash: c.BodyHash, Attempt: rand.Text(),
		Node: s.Node, Incarnation: s.Incarnation, RequestID: c.RequestID,
		AtMS: time.Now().UnixMilli(), DeadlineMS: c.Deadline.UnixMilli(),
	}
	limit := time.Now().Add(s.Wait)
	key := claim.Key(c.Team, c.Key)
	change := claim.Insert(key, mine, 0)
	for range maxRounds {
		e := s.insertOnce(change, limit)
		if e.err != nil {
			return Grant{}, e.err
		}
		if e.fate == claim.Committed {
			s.Metrics.claim("claimed")
			return Grant{Held: change.Held(e.row.Revision)}, nil
		}
		v, err := claim.Evaluate(e.row, mine, time.Now(), s.Dead)
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
		// A fresh attempt id: the old one may already stand in the row as
		// released, and a change must never be mistaken for an older one.
		mine.Attempt = rand.Text()
		change = claim.Insert(key, mine, v.Revision)
	}
	return Grant{}, outcome.Unconfirmed(outcome.InProgress, "many callers claim this key at once")
}

// Finish stores the answer of a call that h's holder sent. It waits for the
// table for at most AnswerWait, and not at all while the table is down; the
// answer is written until it takes effect.
func (s *Store) Finish(h claim.Held, a claim.Answer) {
	s.once.Do(s.init)
	s.begin()
	o := &op{durable: true, done: make(chan ended, 1)}
	go func() {
		o.change = h.Finish(s.outsource(h, a))
		s.submit(o)
	}()
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if !down {
		o.await(s.AnswerWait)
	}
}

// MarkUnknown records that the call was sent and its answer lost for reason r. It
// returns at once.
func (s *Store) MarkUnknown(h claim.Held, r outcome.Reason) {
	s.once.Do(s.init)
	s.begin()
	s.submit(&op{change: h.MarkUnknown(r), durable: true})
}

// Release lets the call be claimed again. It may only be called if the call
// provably did not run and will not be sent. It waits for the table for at most
// the time-out of a transaction, so that a repeat finds the row free.
func (s *Store) Release(h claim.Held) {
	s.once.Do(s.init)
	s.begin()
	o := &op{change: h.Release(), durable: true, done: make(chan ended, 1)}
	s.submit(o)
	o.await(s.Timeout)
}

// Flush waits until all answers and releases have taken effect, or ctx ends. It
// returns how many have not.
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

// insertOnce lets one insert of a row go to the table at a time. Those that come
// meanwhile are told of the row that it left.
func (s *Store) insertOnce(c claim.Change, limit time.Time) ended {
	s.mu.Lock()
	if first := s.inserts[c.Key]; first != nil {
		s.mu.Unlock()
		<-first.done // ends by its own limit, which is the earlier one
		e := first.end
		if e.fate == claim.Committed {
			e = ended{fate: claim.Lost, row: row.Row{Key: c.Key, Value: first.change.Value(), Revision: e.row.Revision}}
		}
		return e
	}
	i := &insertion{change: c, done: make(chan struct{})}
	s.inserts[c.Key] = i
	s.mu.Unlock()
	i.end = s.insert(c, limit)
	s.mu.Lock()
	delete(s.inserts, c.Key)
	s.mu.Unlock()
	close(i.done)
	return i.end
}

// insert commits an insert and returns its end, refused as not run when the
// table can't be had until limit.
func (s *Store) insert(c claim.Change, limit time.Time) ended {
	now := time.Now()
	s.mu.Lock()
	refuse := s.down || len(s.queue) >= s.MaxQueue
	s.mu.Unlock()
	if refuse {
		return s.tableDown("paused")
	}
	o := &op{change: c, done: make(chan ended, 1)}
	s.submit(o)
	t := time.NewTimer(limit.Sub(now))
	defer t.Stop()
	select {
	case e := <-o.done:
		return e
	case <-t.C:
	}
	if !s.abandon(o) {
		return <-o.done // it ended at the same moment
	}
	return s.tableDown("timeout")
}

// tableDown returns the end of a claim that could not be written.
func (s *Store) tableDown(result string) ended {
	s.Metrics.claim(result)
	return ended{err: outcome.Refuse(outcome.TableDown,
		"this try did not run; of earlier tries with the same key nothing is known", time.Second)}
}

// stored returns the grant of a stored answer with its body.
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

// outsource moves a large body to the object store.
func (s *Store) outsource(h claim.Held, a claim.Answer) claim.Answer {
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
		time.Sleep(s.Pause << try)
	}
	a.Lost = true
	return a
}

// init puts the defaults in place.
func (s *Store) init() {
	def(&s.Spacing, DefaultSpacing)
	def(&s.Timeout, DefaultTimeout)
	def(&s.Wait, DefaultWait)
	def(&s.Pause, DefaultPause)
	def(&s.AnswerWait, DefaultAnswerWait)
	def(&s.MaxBatch, DefaultMaxBatch)
	def(&s.MaxBatchBytes, DefaultMaxBatchBytes)
	def(&s.InFlight, DefaultInFlight)
	def(&s.MaxQueue, DefaultMaxQueue)
	def(&s.InlineBytes, claim.DefaultInlineBytes)
	def(&s.Retention, claim.DefaultRetention)
	def(&s.SweepPeriod, DefaultSweepPeriod)
	if s.Log == nil {
		s.Log = zap.NewNop()
	}
	s.inserts = map[string]*insertion{}
	s.wake = make(chan struct{}, 1)
	s.slots = make(chan struct{}, s.InFlight)
}

// def sets *v to d if it is zero.
func def[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// backoff returns the wait before a change that must take effect goes again.
func (s *Store) backoff(tries int) time.Duration {
	const most = 5 * time.Second
	return min(most, time.Duration(float64(s.Pause)*math.Pow(2, float64(min(tries, 16)))))
}
