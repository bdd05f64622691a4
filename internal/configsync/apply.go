package configsync

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"guavapaddle/core/config"
	"guavapaddle/core/config/head"
	"guavapaddle/core/row"
	"guavapaddle/io/object"
	"guavapaddle/io/table"
)

const (
	applyRetryInitial = 100 * time.Millisecond
	applyRetryMax     = 2 * time.Second
	// readBackTimeout bounds reads after the transaction, when the context given
	// to Apply may have ended.
	readBackTimeout = 2 * time.Second
)

type (
	// Applier applies documents. Its exported fields are set before Apply.
	Applier struct {
		Table    Table
		Store    Store
		Operator string        // recorded in the head row as the author
		NewID    func() string // generates unique apply ids; random if nil
		Base     uint64        // version that the head must have, any if zero
	}

	// Applied is a document that was accepted.
	Applied struct {
		Head      head.Head
		Unchanged bool      // the document was already in force, nothing was written
		Newest    head.Head // the head accepted after Head, zero if Head is the newest
	}

	// attempt is the state of one call of Apply.
	attempt struct {
		*Applier
		doc *config.Document
		id  string
	}
)

// Apply stores doc and makes it the newest document, retrying until ctx ends. doc
// must be valid; if it can't replace the document in force the error is a
// *config.InvalidError. For other errors see the package comment.
func (a *Applier) Apply(ctx context.Context, doc *config.Document) (Applied, error) {
	id := rand.Text()
	if a.NewID != nil {
		id = a.NewID()
	}
	return (&attempt{Applier: a, doc: doc, id: id}).run(ctx)
}

func (a *attempt) run(ctx context.Context) (Applied, error) {
	body := a.doc.Canonical()
	hash := config.HashBytes(body)
	read, err := a.readHead(ctx)
	if err != nil {
		return Applied{}, &UnavailableError{Step: "read the head row", Err: err}
	}
	current, err := head.Parse(read)
	if err != nil {
		return Applied{}, &UnavailableError{Step: "read the head row", Err: err}
	}
	if a.Base != 0 && current.Version != a.Base {
		return Applied{}, a.conflict(ctx, current, head.Head{})
	}
	if current.Hash == hash {
		return Applied{Head: current, Unchanged: true}, nil
	}
	if err := a.checkChange(ctx, current); err != nil {
		return Applied{}, err
	}
	packed := pack(body)
	put := func() (struct{}, error) { return struct{}{}, a.Store.Put(ctx, BodyKey(hash), packed) }
	if _, err := retry(ctx, put); err != nil {
		return Applied{}, &UnavailableError{Step: "store the body", Err: err}
	}
	p, err := head.Propose(read, hash, a.id, a.Operator, time.Now().UnixMilli())
	if err != nil {
		return Applied{}, &UnavailableError{Step: "read the head row", Err: err}
	}
	return a.commit(ctx, p)
}

// checkChange validates doc against the document that it replaces. The error is a
// *config.InvalidError or an *UnavailableError. If the old body is lost for good
// the check is skipped, so that the loss doesn't block all later documents.
func (a *attempt) checkChange(ctx context.Context, current head.Head) error {
	if current.Version == 0 {
		return nil
	}
	var lost error
	old, err := retry(ctx, func() (*config.Document, error) {
		old, err := Fetch(ctx, a.Store, current.Hash)
		if isLost(err) {
			lost, err = err, nil
		}
		return old, err
	})
	switch {
	case lost != nil:
		return nil
	case err != nil:
		return &UnavailableError{Step: "read the document in force", Err: err}
	}
	if problems := config.ValidateChange(old, a.doc); len(problems) > 0 {
		return &config.InvalidError{Problems: problems}
	}
	return nil
}

// isLost reports whether err means that the store replied and has no such body
// or a corrupt one.
func isLost(err error) bool {
	if err == nil {
		return false
	}
	if e, ok := errors.AsType[*object.Error](err); ok {
		return e.Kind == object.NotFound
	}
	_, wrongHash := errors.AsType[*HashError](err)
	_, unreadable := errors.AsType[*BodyError](err)
	_, invalid := errors.AsType[*config.InvalidError](err)
	return wrongHash || unreadable || invalid
}

// commit sends the proposal until its outcome is known. Resending it is safe, as
// its conditions hold at most once.
func (a *attempt) commit(ctx context.Context, p head.Proposal) (Applied, error) {
	sent := false // an earlier transaction may have taken effect
	retryDelay := newBackoff()
	for {
		result, err := a.Table.Transact(ctx, p.Tx)
		if err == nil && result.Committed {
			return Applied{Head: p.Head}, nil
		}
		if winner, ok := acceptedInstead(result, p.Head.Version); err == nil && !sent && ok {
			return Applied{}, a.conflict(ctx, winner, p.Head)
		}
		if table.KindOf(err) == table.Invalid {
			return Applied{}, &UnavailableError{Step: "advance the head row", Err: err}
		}
		sent = sent || table.KindOf(err) == table.Uncertain
		if err == nil || sent {
			applied, j, known := a.readBack(ctx, p.Head)
			if known {
				return applied, a.verdictError(ctx, j, p.Head)
			}
		}
		if cause := wait(ctx, retryDelay.NextBackOff()); cause != nil {
			return Applied{}, transactError(sent || err == nil, p.Head, firstError(err, cause))
		}
	}
}

// acceptedInstead returns the head that was accepted in place of the given
// version, from the conflicting rows.
func acceptedInstead(r row.Result, version uint64) (head.Head, bool) {
	for _, key := range []string{head.HistoryKey(version), head.Key} {
		for _, c := range r.Conflicts {
			if h, err := head.Parse(c); c.Key == key && err == nil && h.Version >= version {
				return h, true
			}
		}
	}
	return head.Head{}, false
}

// readBack reads the outcome of the proposal own; known is false if it can't be
// determined yet.
func (a *attempt) readBack(ctx context.Context, own head.Head) (applied Applied, j head.Judgement, known bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readBackTimeout)
	defer cancel()
	rows, err := a.Table.Read(ctx, head.Key, head.HistoryKey(own.Version))
	if err != nil {
		return Applied{}, j, false
	}
	if j, err = head.Judge(own, rows[0], rows[1]); err != nil {
		return Applied{}, j, false
	}
	switch j.Verdict {
	case head.Won:
		return Applied{Head: own}, j, true
	case head.Superseded:
		return Applied{Head: own, Newest: j.Winner}, j, true
	case head.Lost, head.Forgotten:
		return Applied{}, j, true
	default:
		return Applied{}, j, false
	}
}

func (a *attempt) verdictError(ctx context.Context, j head.Judgement, own head.Head) error {
	switch j.Verdict {
	case head.Lost:
		return a.conflict(ctx, j.Winner, own)
	case head.Forgotten:
		return &UnknownError{Own: own, Err: errForgotten}
	default:
		return nil
	}
}

// conflict returns a *ConflictError. It contains the differences if the winner's
// body can be read.
func (a *attempt) conflict(ctx context.Context, winner, own head.Head) error {
	e := &ConflictError{Winner: winner, Own: own}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readBackTimeout)
	defer cancel()
	if theirs, err := Fetch(ctx, a.Store, winner.Hash); err == nil {
		e.Changes = config.Diff(theirs, a.doc)
	}
	return e
}

func (a *attempt) readHead(ctx context.Context) (row.Row, error) {
	return retry(ctx, func() (row.Row, error) {
		rows, err := a.Table.Read(ctx, head.Key)
		if err != nil {
			return row.Row{}, err
		}
		return rows[0], nil
	})
}

// Fetch reads the body with the hash from the store, verifies and parses it.
func Fetch(ctx context.Context, s Getter, hash string) (*config.Document, error) {
	packed, err := s.Get(ctx, BodyKey(hash))
	if err != nil {
		return nil, err
	}
	body, err := unpack(packed, hash)
	if err != nil {
		return nil, err
	}
	return config.Parse(body)
}

func transactError(sent bool, own head.Head, err error) error {
	if sent {
		return &UnknownError{Own: own, Err: err}
	}
	return &UnavailableError{Step: "advance the head row", Err: err}
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = applyRetryInitial
	b.MaxInterval = applyRetryMax
	return b
}

// retry repeats op until it succeeds or ctx ends. The error is the last error of
// op from before the end of ctx, if there is one.
func retry[T any](ctx context.Context, op func() (T, error)) (T, error) {
	var last error
	v, err := backoff.Retry(ctx, func() (T, error) {
		v, err := op()
		if err != nil && (last == nil || ctx.Err() == nil) {
			last = err
		}
		return v, err
	}, backoff.WithBackOff(newBackoff()), backoff.WithMaxElapsedTime(0))
	if err != nil && last != nil {
		return v, last
	}
	return v, err
}

// wait waits for d. It returns the cause if ctx ends first.
func wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
