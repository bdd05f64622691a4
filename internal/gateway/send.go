package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/balance"
	"guavapaddle/core/departure"
	"guavapaddle/core/fleet"
	"guavapaddle/core/poison"
	"guavapaddle/core/sse"
	"guavapaddle/core/throttle"
	"guavapaddle/io/http1"
	"guavapaddle/io/responsehead"
	"guavapaddle/platform"
)

const (
	// extraResponseWait bounds the wait for the request's own response after a response
	// to another request: a plain service takes about 60 ms, but a working server may be silent for a
	// second or so.
	extraResponseWait = 1500 * time.Millisecond
	// maxExtraResponses bounds the discarded responses to other requests.
	maxExtraResponses = 2
	// maxBodyBytes bounds a response that is buffered before it is forwarded.
	maxBodyBytes = 8 << 20
	// reusedConnection is logged in place of why a connection was opened.
	reusedConnection = "reused"
)

// try is one attempt to send a request to a server.
type try struct {
	*request
	selection     balance.Selection
	conn          *http1.Conn
	ticket        *balance.Ticket
	resp          *http.Response
	respMeta      platform.Response
	load          balance.LoadReport // of a server that reports its pace
	firstByte     time.Duration      // time until the response header
	sent          time.Time          // zero before
	began         time.Time          // when the first byte of a stream, or the header of a plain response, came; zero before
	sound         bool               // the response is known to be sound
	extraResponse bool               // a response to another request came first
	err           error              // of the connection
	record        *sentRequest       // of the send, nil before
	stopClose     func() bool        // cancels the close at a disconnect of the client, false if that came too late
}

// send sends the request to a server and forwards the response if it is final.
func (r *request) send(c balance.Selection) (sendState, Reason) {
	t := &try{request: r, selection: c}
	r.selection, r.framing, r.bodyEnd = c, "", ""
	r.connection, r.connIdle, r.connLocal = "", 0, ""
	start := time.Now()
	result, state, reason := t.run()
	t.releaseSlot(result)
	t.recordEnd(state, reason)
	r.g.mu.Lock()
	r.g.picker.RecordDone(time.Now(), t.ticket, result)
	if l := t.respMeta.Load; l != nil && l.Pace == 0 {
		r.g.picker.ServerReport(time.Now(), c.Server.ID, l.Running, l.Waiting)
	}
	r.g.mu.Unlock()
	if state != answered || r.outcome.reason != Served {
		r.g.Log.Info("try", zap.String("request-id", r.meta.ID), zap.String("server", c.Server.ID), zap.String("software", c.Server.Software), zap.Int("send", r.sends), zap.String("rule", r.rule),
			zap.String("reason", string(reason)), zap.Int("status", t.status()), zap.String("framing", string(t.framing)), zap.String("body", string(t.bodyEnd)), zap.Duration("estimate", c.Wait),
			zap.Duration("age", c.Age), zap.Bool("reused", t.connection == reusedConnection), zap.String("connection", t.connection), zap.Duration("idle", t.connIdle), zap.String("local", t.connLocal), zap.String("through", t.through), zap.Duration("took", time.Since(start)),
			zap.String("prompt", poison.Block{Parts: r.parts}.Name()), zap.Error(t.err))
	}
	return state, reason
}

func (t *try) status() int {
	if t.resp == nil {
		return 0
	}
	return t.resp.StatusCode
}

// run performs the try. It returns the result for the server's load tracking, the state
// of the request, and the reason.
func (t *try) run() (balance.Result, sendState, Reason) {
	if t.x.Departed() {
		return balance.Abandoned, clientGone, ClientLeft
	}
	if state, reason, ok := t.connect(); !ok {
		if t.g.PathSuspect != nil && t.g.PathSuspect() {
			return balance.Abandoned, state, reason
		}
		return balance.ConnFailed, state, reason
	}
	t.stopClose = context.AfterFunc(t.x.Context(), t.conn.Close)
	defer t.stopClose()
	if !t.conn.Reused && t.x.Departed() { // opening the connection took time
		t.conn.Close()
		return balance.Abandoned, clientGone, ClientLeft
	}
	if cause, ok := t.withheld(); ok {
		t.conn.Close()
		return balance.Abandoned, notSent, cause
	}
	t.sent = time.Now()
	t.g.mu.Lock()
	t.ticket = t.g.picker.RecordSent(t.sent, t.selection.Server.ID, t.balanceRequest())
	t.ticket.SetGranter(t.granter)
	t.recordSent()
	t.g.mu.Unlock()
	wrote, err := t.conn.Send(t.outgoing(t.selection.Server), t.deadline.Add(responseMargin))
	if err != nil {
		t.conn.Close()
		if !wrote {
			t.err = err
			return balance.ConnFailed, notSent, Reset
		}
		t.sends++
		t.mayHaveRun = true
		return t.classifyConnError(err)
	}
	t.sends++
	if err := t.receive(); err != nil {
		t.mayHaveRun = true
		t.conn.Close()
		return t.classifyConnError(err)
	}
	t.mayHaveRun = t.mayHaveRun || !t.respMeta.NotRun
	now := time.Now()
	t.firstByte = now.Sub(t.sent)
	t.recordLimit(t.sent)
	t.recordServerState()
	t.checkLoad()
	t.g.mu.Lock()
	t.recordLoad(now)
	t.g.picker.FirstByte(now, t.ticket)
	if t.respMeta.Stamped {
		t.g.recordAlive(incarnation(t.selection.Server), t.sent)
	}
	t.g.mu.Unlock()
	if t.load.Pace > 0 && t.slot != nil {
		t.slot.SetLoad(t.load)
	}
	if !t.respMeta.NotRun && t.slot != nil {
		t.slot.PrefillDone()
	}
	result, state, reason := t.classifyResponse()
	if state == answered && reason == Served {
		t.recordSound()
		if t.usesEngine() {
			t.g.recordStream(t.item(), t.meta.PromptTokens, time.Since(t.sent))
		}
	}
	return result, state, reason
}

// recordLimit records the rate limit and the brittleness that the server announced with its response.
func (t *try) recordLimit(sent time.Time) {
	l := throttle.NoLimit(sent)
	if t.respMeta.RateLimit != nil {
		l = throttle.NewLimit(time.Now(), *t.respMeta.RateLimit)
	}
	if t.respMeta.MaxRejections != nil {
		l = l.WithBrittleness(*t.respMeta.MaxRejections)
	}
	t.g.mu.Lock()
	changed := t.g.picker.LearnLimit(t.selection.Server.ID, l)
	t.g.mu.Unlock()
	if t.slot != nil && (l.Active || changed) {
		t.slot.SetRate(t.respMeta.RateLimit)
	}
	if changed {
		t.g.Log.Info("server-limit", zap.String("request-id", t.meta.ID), zap.String("server", t.selection.Server.ID),
			zap.Bool("named", l.Active), zap.Float64("rate", l.Rate), zap.Bool("brittle", l.Brittle), zap.Int("max-rejections", l.MaxRejections), zap.String("rule", t.rule))
	}
}

// recordServerState records whether the server announced with its response that it is
// leaving or asked this node to back off.
func (t *try) recordServerState() {
	s := t.selection.Server
	if t.respMeta.Leaving && t.g.OnLeaving != nil && t.g.OnLeaving(departure.IncarnationOf(s)) {
		t.g.Log.Info("server-departs", zap.String("request-id", t.meta.ID), zap.String("server", s.ID), zap.String("rule", t.rule))
	}
	if t.respMeta.Backoff > 0 {
		t.g.mu.Lock()
		t.g.picker.BackOff(s.ID, time.Now().Add(t.respMeta.Backoff))
		t.g.mu.Unlock()
		t.g.Log.Info("server-rests", zap.String("request-id", t.meta.ID), zap.String("server", s.ID), zap.Duration("rest", t.respMeta.Backoff),
			zap.String("rule", t.rule))
	}
}

// withheld reports whether the server must not get requests any more, and the reason. It
// is checked again before the send since opening the connection may have taken long.
func (t *try) withheld() (Reason, bool) {
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	reason, ok := t.g.picker.Withheld(time.Now(), t.selection.Server.ID)
	return Reason(reason), ok
}

// receive reads the response header. If the request must not run again, a late response
// to another request that arrives first is read to its end and discarded, as the
// request's own response follows it. On repeatable routes the request is retried at
// once instead.
func (t *try) receive() error {
	for range 1 + maxExtraResponses {
		resp, err := t.conn.Receive() //nolint:bodyclose // the body is read or its connection closed
		if err != nil {
			return err
		}
		t.countRead()
		t.resp, t.framing = resp, framingOf(resp)
		t.respMeta = platform.ParseResponse(resp.StatusCode, resp.Header)
		if !t.isForeign() || t.route.Repeatable() {
			if t.extraResponse {
				t.conn.SetReadDeadline(t.deadline.Add(responseMargin))
			}
			return nil
		}
		t.extraResponse = true
		if t.route.Kind == fleet.Unsafe { // a stream's first event may take longer
			t.conn.SetReadDeadline(earlier(t.deadline, time.Now().Add(extraResponseWait)))
		}
		if err := http1.DiscardBody(resp, maxBodyBytes); err != nil {
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

// isForeign reports whether the response carries the id of another request.
func (t *try) isForeign() bool {
	return t.respMeta.RequestID != "" && t.respMeta.RequestID != t.meta.ID
}

// releaseSlot reports the result of the send to the leader.
func (r *request) releaseSlot(result balance.Result) {
	if r.slot != nil {
		r.slot.Done(result)
		r.slot, r.granter = nil, 0
	}
}

// connect takes an idle connection from the pool or opens a new one.
func (t *try) connect() (sendState, Reason, bool) {
	ctx, cancel := context.WithDeadline(t.x.Context(), t.deadline)
	defer cancel()
	c, err := t.g.Pool.Get(ctx, t.selection.Server.Address, t.connectionNeed())
	t.err = err
	t.g.Metrics.countConnection(c, t.route.Kind, err)
	if err == nil {
		t.conn, t.through = c, c.Through()
		t.recordConnection(c)
		return answered, "", true
	}
	switch {
	case t.x.Context().Err() != nil:
		return clientGone, ClientLeft, false
	case !time.Now().Before(t.deadline):
		return deadlinePassed, Deadline, false
	}
	t.recordRefusal(err)
	if isTimeout(err) { // open connections may outlive a refused one
		t.g.Pool.Drop(t.selection.Server.Address)
	}
	return notSent, Unreachable, false
}

// recordConnection records for the log how the last send got its connection, which may carry another request by the time the line is written.
func (r *request) recordConnection(c *http1.Conn) {
	r.connection, r.connIdle, r.connLocal = string(c.Opening), c.Idle, c.Local()
	if c.Reused {
		r.connection = reusedConnection
	}
}

// isTimeout reports whether an error is a timeout of a connection.
func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// classifyConnError classifies a connection that broke, or delivered nothing until the
// deadline, after bytes of the request were written.
func (t *try) classifyConnError(err error) (balance.Result, sendState, Reason) {
	t.err = err
	switch {
	case t.x.Context().Err() != nil:
		return balance.Abandoned, clientGone, ClientLeft
	case isTimeout(err) && !time.Now().Before(t.deadline):
		t.runs++
		return balance.ConnFailed, deadlinePassed, Deadline
	}
	t.connBroke = true
	t.g.Pool.Drop(t.selection.Server.Address)
	t.recordBreak(err)
	switch {
	case isTooLong(err):
		return balance.ConnFailed, unknown, TooLong
	case isMalformed(err):
		return balance.ConnFailed, unknown, Malformed
	}
	return balance.ConnFailed, unknown, ConnLost
}

// isTooLong reports whether a response exceeded one of the bounds on its head, its body or one of its events.
func isTooLong(err error) bool {
	var event *EventTooLongError
	return errors.Is(err, http1.ErrHeadTooLong) || errors.Is(err, http1.ErrBodyTooLong) || errors.As(err, &event)
}

// isMalformed reports whether the head of a response was malformed.
func isMalformed(err error) bool {
	var malformed *responsehead.MalformedError
	return errors.As(err, &malformed)
}

// classifyResponse classifies a response by its header, and forwards it if it is final.
func (t *try) classifyResponse() (balance.Result, sendState, Reason) {
	status := t.resp.StatusCode
	if t.isForeign() {
		t.connBroke = true
		t.conn.Close()
		return balance.ConnFailed, unknown, ForeignResponse
	}
	if t.respMeta.NotRun {
		t.discardBody()
		if status == http.StatusMisdirectedRequest {
			return balance.Succeeded, notRun, t.handleMisdirected()
		}
		t.recordRejection()
		return balance.Full, notRun, Full
	}
	if !t.respMeta.Stamped || t.resp.Header.Get("Content-Encoding") != "" {
		t.conn.Close()
		return balance.Failed, unknown, Unstamped
	}
	if promisesNotRun(status) && !t.route.Repeatable() {
		t.discardBody() // its client would take the status as a promise that the request has not run
		return balance.Failed, unknown, ServerError
	}
	if status >= http.StatusInternalServerError && t.route.Repeatable() && t.mayRetry() {
		t.discardBody()
		return balance.Failed, unknown, ServerError
	}
	if t.route.Kind == fleet.Stream && status == http.StatusOK {
		return t.relay()
	}
	return t.forwardWhole()
}

// promisesNotRun reports whether a client takes a status as a promise that its request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// mayRetry reports whether another try is left after an error response of the server.
func (t *try) mayRetry() bool {
	return t.runs+1 < t.route.MaxAttempts && t.sends < maxSends
}

// handleMisdirected records what a server that refused the request doesn't hold.
func (t *try) handleMisdirected() Reason {
	id := t.selection.Server.ID
	if t.respMeta.Instance != "" && t.respMeta.Instance != id || !t.usesEngine() {
		t.g.Pool.Drop(t.selection.Server.Address)
		t.recordReplaced()
		return Misdirected
	}
	t.notResident = append(t.notResident, id)
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	t.g.picker.SetResidency(time.Now(), id, t.meta.Model, t.meta.Adapter, false)
	return NotResident
}

// discardBody reads a response that isn't forwarded to its end and keeps the connection.
func (t *try) discardBody() {
	if err := http1.DiscardBody(t.resp, maxBodyBytes); err != nil {
		t.conn.Close()
		return
	}
	t.keepConn()
}

// keepConn returns the connection to the pool. From then on a disconnect of the client
// must not close it, as another request may be using it.
func (t *try) keepConn() {
	left := !t.stopClose()
	t.conn.CheckBodySent()
	if t.extraResponse || left {
		t.conn.Close()
		return
	}
	if err := t.g.Pool.Put(t.conn, t.resp, t.g.maxIdlePerServer(t.service)); err != nil {
		t.g.Log.Warn("connection-closed", zap.String("server", t.selection.Server.ID), zap.Error(err))
	}
}

// forwardWhole reads a response to its end and forwards it.
func (t *try) forwardWhole() (balance.Result, sendState, Reason) {
	t.recordBegin(time.Now())
	body, release, err := t.g.Buffers.ReadBody(t.resp, maxBodyBytes)
	defer release()
	switch {
	case err != nil:
		t.recordBodyEnd(bodyBroken)
	case !sse.IsWhole(t.resp.Header.Get("Content-Type"), body):
		t.recordBodyEnd(bodyInEvent)
		err = io.ErrUnexpectedEOF
	default:
		t.recordBodyEnd(bodyWhole)
	}
	if err != nil {
		t.conn.Close()
		return t.classifyConnError(err)
	}
	t.keepConn()
	t.outcome = outcome{status: t.resp.StatusCode, reason: Served, firstByte: t.firstByte}
	t.responseBegun = true
	if err := t.x.Respond(t.resp.StatusCode, http1.EndToEnd(t.resp.Header), body); err != nil {
		t.outcome = outcome{reason: ClientLeft, err: err}
	}
	if t.resp.StatusCode >= http.StatusInternalServerError {
		return balance.Failed, answered, ServerError
	}
	return balance.Succeeded, answered, Served
}
