package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/balance"
	"guavapaddle/core/departure"
	"guavapaddle/core/fleet"
	"guavapaddle/core/throttle"
	"guavapaddle/io/http1"
	"guavapaddle/platform"
)

const (
	// unsafeIdle is how long a connection may have been idle for a request that
	// must not run twice: the older it is, the likelier the server closes it as
	// the request arrives, and its fate is unknown.
	unsafeIdle = 1500 * time.Millisecond
	// extraWait bounds the wait for the own answer behind another request's: a
	// plain service takes some 60 ms.
	extraWait = 500 * time.Millisecond
	// extraMost bounds the answers to other requests that are dropped.
	extraMost = 2
	// wholeMost bounds an answer that is read whole before it is passed on.
	wholeMost = 8 << 20
)

// try is one send of a request.
type try struct {
	*request
	choice balance.Selection
	conn   *http1.Conn
	ticket *balance.Ticket
	resp   *http.Response
	answer platform.Answer
	first  time.Duration // until the head of the answer
	extra  bool          // an answer to another request came before
	unbind func() bool   // lets the connection outlive the client, false if that is too late
}

// send sends the request to a server and passes its answer on if it is one.
func (r *request) send(c balance.Selection) (fate, Reason) {
	t := &try{request: r, choice: c}
	r.choice = c
	began := time.Now()
	result, f, reason := t.run()
	t.freePlace(result)
	r.g.mu.Lock()
	r.g.picture.RecordDone(time.Now(), t.ticket, result)
	if t.answer.Load != nil {
		r.g.picture.ServerReport(time.Now(), c.Server.ID, t.answer.Load.Running, t.answer.Load.Waiting)
	}
	r.g.mu.Unlock()
	if f != answered || r.outcome.reason != Served {
		r.g.Log.Info("try", zap.String("request-id", r.meta.ID), zap.String("server", c.Server.ID), zap.Int("send", r.sends), zap.String("rule", r.rule),
			zap.String("reason", string(reason)), zap.Int("status", t.status()), zap.Duration("estimate", c.Wait),
			zap.Duration("age", c.Age), zap.Duration("took", time.Since(began)))
	}
	return f, reason
}

func (t *try) status() int {
	if t.resp == nil {
		return 0
	}
	return t.resp.StatusCode
}

// run makes the try and returns what it tells of the server, of the request,
// and why.
func (t *try) run() (balance.Result, fate, Reason) {
	if f, reason, ok := t.connect(); !ok {
		return balance.ConnFailed, f, reason
	}
	t.unbind = context.AfterFunc(t.x.Context(), t.conn.Close)
	defer t.unbind()
	if why, ok := t.withheld(); ok {
		t.conn.Close()
		return balance.Abandoned, notSent, why
	}
	t.g.mu.Lock()
	t.ticket = t.g.picture.RecordSent(time.Now(), t.choice.Server.ID, t.balanceRequest())
	t.ticket.SetGranter(t.granter)
	t.g.mu.Unlock()
	sent := time.Now()
	wrote, err := t.conn.Send(t.outgoing(t.choice.Server), t.deadline.Add(answerMargin))
	if err != nil {
		t.conn.Close()
		if !wrote {
			return balance.ConnFailed, notSent, Reset
		}
		t.sends++
		t.ran = true
		return t.broken(err)
	}
	t.sends++
	if err := t.receive(); err != nil {
		t.ran = true
		t.conn.Close()
		return t.broken(err)
	}
	t.ran = t.ran || !t.answer.NotRun
	t.first = time.Since(sent)
	t.learnLimit(sent)
	t.learnNeeds()
	t.g.mu.Lock()
	t.g.picture.FirstByte(time.Now(), t.ticket)
	t.g.mu.Unlock()
	if !t.answer.NotRun && t.place != nil {
		t.place.Begun()
	}
	result, f, reason := t.judge()
	if f == answered && reason == Served && t.engine() {
		t.g.ran(t.item(), t.meta.PromptTokens, time.Since(sent))
	}
	return result, f, reason
}

// learnLimit takes in what the answer to a request says of the rate that its server takes.
func (t *try) learnLimit(sent time.Time) {
	l := throttle.NoLimit(sent)
	if t.answer.Rate != nil {
		l = throttle.NewLimit(time.Now(), *t.answer.Rate)
	}
	t.g.mu.Lock()
	changed := t.g.picture.LearnLimit(t.choice.Server.ID, l)
	t.g.mu.Unlock()
	if t.place != nil && (l.Active || changed) {
		t.place.NamedRate(t.answer.Rate)
	}
	if changed {
		t.g.Log.Info("server-limit", zap.String("request-id", t.meta.ID), zap.String("server", t.choice.Server.ID),
			zap.Bool("named", l.Active), zap.Float64("rate", l.Rate), zap.String("rule", t.rule))
	}
}

// learnNeeds takes in whether the answer says that its server leaves or wants rest.
func (t *try) learnNeeds() {
	s := t.choice.Server
	if t.answer.Leaving && t.g.OnDeparture != nil && t.g.OnDeparture(departure.IncarnationOf(s)) {
		t.g.Log.Info("server-departs", zap.String("request-id", t.meta.ID), zap.String("server", s.ID), zap.String("rule", t.rule))
	}
	if t.answer.Rest > 0 {
		t.g.mu.Lock()
		t.g.picture.BackOff(s.ID, time.Now().Add(t.answer.Rest))
		t.g.mu.Unlock()
		t.g.Log.Info("server-rests", zap.String("request-id", t.meta.ID), zap.String("server", s.ID), zap.Duration("rest", t.answer.Rest),
			zap.String("rule", t.rule))
	}
}

// withheld tells whether the server must get no request any more, and why: the connection
// may have taken long to open.
func (t *try) withheld() (Reason, bool) {
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	why, ok := t.g.picture.Withheld(time.Now(), t.choice.Server.ID)
	return Reason(why), ok
}

// receive reads the head of the answer. Where the request must not run again,
// an answer to another request that comes first, late, is read to its end and
// dropped: its own comes behind it. Else it is sent again at once.
func (t *try) receive() error {
	for range 1 + extraMost {
		resp, err := t.conn.Receive() //nolint:bodyclose // the connection is kept or closed, and the body with it
		if err != nil {
			return err
		}
		t.resp = resp
		t.answer = platform.ParseAnswer(resp.StatusCode, resp.Header)
		if !t.foreign() || t.route.Repeatable() {
			if t.extra {
				t.conn.ReadBy(t.deadline.Add(answerMargin))
			}
			return nil
		}
		t.extra = true
		if t.route.Kind == fleet.Unsafe { // a stream's first event may take longer
			t.conn.ReadBy(earlier(t.deadline, time.Now().Add(extraWait)))
		}
		if _, err := http1.ReadBody(resp, wholeMost); err != nil {
			return err
		}
	}
	return nil
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// foreign tells whether the answer names another request.
func (t *try) foreign() bool { return t.answer.RequestID != "" && t.answer.RequestID != t.meta.ID }

// freePlace tells the holder of the lease how the send ended.
func (r *request) freePlace(result balance.Result) {
	if r.place != nil {
		r.place.Done(result)
		r.place, r.granter = nil, 0
	}
}

// connect opens a connection or takes one that is open.
func (t *try) connect() (fate, Reason, bool) {
	maxIdle := time.Hour
	if !t.route.Repeatable() {
		maxIdle = unsafeIdle
	}
	ctx, cancel := context.WithDeadline(t.x.Context(), t.deadline)
	defer cancel()
	c, err := t.g.Pool.Get(ctx, t.choice.Server.Address, maxIdle, t.runs > 0)
	if err == nil {
		t.conn = c
		return answered, "", true
	}
	switch {
	case t.x.Context().Err() != nil:
		return gone, ClientLeft, false
	case !time.Now().Before(t.deadline):
		return late, Deadline, false
	}
	t.g.Pool.Drop(t.choice.Server.Address)
	return notSent, Unreachable, false
}

// broken judges a connection that broke, or fell silent until the deadline,
// after bytes of the request were written.
func (t *try) broken(err error) (balance.Result, fate, Reason) {
	var n net.Error
	switch {
	case t.x.Context().Err() != nil:
		return balance.Abandoned, gone, ClientLeft
	case errors.As(err, &n) && n.Timeout() && !time.Now().Before(t.deadline):
		t.runs++
		return balance.ConnFailed, late, Deadline
	}
	t.g.Pool.Drop(t.choice.Server.Address)
	t.g.mark(t.print, t.choice.Server.ID)
	return balance.ConnFailed, unknown, Cut
}

// judge decides what the head of an answer means.
func (t *try) judge() (balance.Result, fate, Reason) {
	status := t.resp.StatusCode
	if t.foreign() {
		t.conn.Close()
		return balance.ConnFailed, unknown, WrongAnswer
	}
	if t.answer.NotRun {
		t.recycle()
		if status == http.StatusMisdirectedRequest {
			return balance.Succeeded, notRun, t.misdirected()
		}
		return balance.Full, notRun, Full
	}
	if !t.answer.Stamped || t.resp.Header.Get("Content-Encoding") != "" {
		t.conn.Close()
		return balance.Failed, unknown, Unsigned
	}
	if status >= http.StatusInternalServerError && t.route.Repeatable() && t.mayRepeat() {
		t.recycle()
		return balance.Failed, unknown, ServerError
	}
	if t.route.Kind == fleet.Stream && status == http.StatusOK {
		return t.relay()
	}
	return t.whole()
}

// mayRepeat tells whether a failure of the server's own leaves another try.
func (t *try) mayRepeat() bool {
	return t.runs+1 < t.route.MaxAttempts && t.sends < sendsMost
}

// misdirected notes what a server that refused doesn't hold.
func (t *try) misdirected() Reason {
	id := t.choice.Server.ID
	if t.answer.Instance != "" && t.answer.Instance != id || !t.engine() {
		t.g.Pool.Drop(t.choice.Server.Address)
		return Misdirected
	}
	t.lacks = append(t.lacks, id)
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	t.g.picture.SetResidency(time.Now(), id, t.meta.Model, t.meta.Adapter, false)
	return Lacking
}

// recycle reads an answer that isn't passed on to its end and keeps the
// connection.
func (t *try) recycle() {
	if _, err := http1.ReadBody(t.resp, wholeMost); err != nil {
		t.conn.Close()
		return
	}
	t.keep()
}

// keep gives the connection back to the pool. From then on the client's leaving must not
// close it: another request may be on it.
func (t *try) keep() {
	left := !t.unbind()
	t.conn.Settle()
	if t.extra || left {
		t.conn.Close()
		return
	}
	if err := t.g.Pool.Put(t.conn, t.resp); err != nil {
		t.g.Log.Warn("connection-closed", zap.String("server", t.choice.Server.ID), zap.Error(err))
	}
}

// whole reads an answer to its end and passes it on.
func (t *try) whole() (balance.Result, fate, Reason) {
	body, err := http1.ReadBody(t.resp, wholeMost)
	if err != nil {
		t.conn.Close()
		return t.broken(err)
	}
	t.keep()
	t.outcome = outcome{status: t.resp.StatusCode, reason: Served, first: t.first}
	t.begun = true
	if err := t.x.Respond(t.resp.StatusCode, http1.EndToEnd(t.resp.Header), body); err != nil {
		t.outcome = outcome{reason: ClientLeft, err: err}
	}
	if t.resp.StatusCode >= http.StatusInternalServerError {
		return balance.Failed, answered, ServerError
	}
	return balance.Succeeded, answered, Served
}
