package gateway

import (
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"syscall"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/fleet"
	"guavapaddle/core/poison"
	"guavapaddle/internal/hub"
)

const (
	// confirmTime is how long a server has to show that it lives, after a connection to it has broken, before the break counts as its
	// crash, and lapseConfirmTime after its entry has gone: it may only be leaving, and still complete requests.
	confirmTime      = 300 * time.Millisecond
	lapseConfirmTime = time.Second
	// maxCrashRequests bounds the requests of one crash that a node reports.
	maxCrashRequests = 256
	// overloadTime is how long after it had to reject a request a brittle server may fail for it: it counts the rejections of a second.
	overloadTime = 2 * time.Second
	// maxRejected bounds the brittle servers whose last rejection a node remembers.
	maxRejected = 1024
	// ownBlockTime is how long after the last crash a node refuses copies of a request for crashes that only it has observed: until
	// the leader has decided, which knows of sound responses at other nodes. aloneTime is how long after the last reply to a report
	// it does so without a limit.
	ownBlockTime = 10 * time.Second
	aloneTime    = 3 * time.Second
)

// Signs of a server's crash, which the log and a counter name.
const (
	signBroken   crashSign = "broken"   // a connection with a request in flight broke
	signRefused  crashSign = "refused"  // a new connection was refused
	signReplaced crashSign = "replaced" // another incarnation uses the address
	signGone     crashSign = "gone"     // its entry went, or names a later start, though it hadn't announced that it leaves
	signReported crashSign = "reported" // another node noticed it
	// signReportedLate means that another node noticed it some time later.
	signReportedLate crashSign = "reported-late"
)

type (
	// crashSign is what made a node notice the crash of a server.
	crashSign string

	// crashes holds a node's observations of servers that crashed, and the blocks that follow from those of all nodes. Gateway.mu
	// guards it.
	crashes struct {
		sent     sentRequests
		pending  map[string]*pendingCrash // by server
		rejected map[string]time.Time     // when a brittle server last rejected a request
		known    map[string]fleet.Server  // servers in the list
		log      poison.Log
		sounds   poison.Sounds  // of parts of prompts
		copies   poison.Sounds  // of whole requests, which would displace the parts
		own      poison.Tracker // decides from the broken connections of this node alone
		received uint64         // number of the last crash in the leader's reply to its deputy
		suspects []poison.Part  // as the leader last sent them
		blocks   []poison.Block // likewise
		at       time.Time      // when the blocks were received
	}

	// pendingCrash is the sign of a crash that isn't confirmed yet.
	pendingCrash struct {
		service string
		sign    crashSign
		at      time.Time
		due     time.Time // when it counts as a crash, unless the server has responded
		alive   bool      // the server has responded since
	}
)

// isLate reports whether the crash may have been long before the sign.
func (s crashSign) isLate() bool {
	return s == signRefused || s == signReplaced || s == signGone || s == signReportedLate
}

// isReported reports whether another node noticed the crash.
func (s crashSign) isReported() bool { return s == signReported || s == signReportedLate }

// incarnation identifies the process of a server, which may have started again under the id that it had.
func incarnation(s fleet.Server) string {
	if s.StartedAtMS == 0 {
		return s.ID
	}
	return s.ID + "@" + strconv.FormatInt(s.StartedAtMS, 10)
}

// sharedParts returns the parts of the request that other requests may share: those of its prompt but for the last, and the one that
// stands for the request itself.
func (r *request) sharedParts() []poison.Part {
	var ids []string
	for _, p := range r.meta.Segments {
		ids = append(ids, p.ID)
	}
	return append(poison.SharedParts(ids), r.copyPart())
}

// copyPart returns the part that stands for the request itself.
func (r *request) copyPart() poison.Part { return poison.CopyOf(r.fingerprint) }

// findBlock returns the block in force that the request matches, and whether there is one.
func (r *request) findBlock() (poison.Block, bool) {
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	now, c := time.Now(), &g.crashes
	if b, ok := poison.FindMatch(c.blocks, r.service, r.parts); ok {
		return b.WithAge(b.Age + now.Sub(c.at)), true
	}
	b, ok := poison.FindMatch(c.own.Blocks(now), r.service, r.parts)
	return b, ok && (b.Age < ownBlockTime || now.Sub(c.at) > aloneTime)
}

// BlockReason returns the reason for which a block refuses requests.
func BlockReason(b poison.Block) Reason {
	if b.OfCopies() {
		return CrashSuspect
	}
	return PromptCrashes
}

// AddBlocks puts blocks in force that the lease passes on, until the next reply to a report: a node that reaches no leader may
// still read the lease.
func (g *Gateway) AddBlocks(list []poison.Block) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, now := &g.crashes, time.Now()
	for _, b := range list {
		if _, ok := poison.FindMatch(c.blocks, b.Service, b.Parts); !ok {
			c.blocks = append(slices.Clone(c.blocks), b.WithAge(b.Age-now.Sub(c.at)))
		}
	}
}

// refuseBlocked refuses the request, since a block matches it.
func (r *request) refuseBlocked(b poison.Block, lastTry Reason) {
	r.g.Log.Info("prompt-refused", zap.String("request-id", r.meta.ID), zap.String("parts", b.Name()), zap.String("service", b.Service),
		zap.Int("crashes", b.Crashes), zap.Duration("age", b.Age), zap.Int("runs", r.runs))
	r.fail(BlockReason(b), lastTry)
}

// recordSent records that the request was sent to the server, which it may crash; g.mu is held.
func (t *try) recordSent() {
	t.record = &sentRequest{service: t.service, parts: t.parts, sent: t.sent}
	t.g.crashes.sent.add(incarnation(t.selection.Server), t.record)
}

// recordEnd records how the try ended. If the server didn't complete a response, the request may still crash it, or has.
func (t *try) recordEnd(state sendState, reason Reason) {
	if t.record == nil {
		return
	}
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	if state == clientGone || state == deadlinePassed || reason == ConnLost {
		t.record.ended = time.Now()
		return
	}
	t.g.crashes.sent.remove(incarnation(t.selection.Server), t.record)
}

// recordBreak records that the connection to the server broke with an error while the request was in flight.
func (t *try) recordBreak(err error) {
	if !t.mayBeCrash(err) {
		return
	}
	t.g.Metrics.crashes.Inc()
	brittle := t.g.isBrittle(t.service)
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	now, server := time.Now(), incarnation(t.selection.Server)
	t.g.suspectCrash(now, t.selection.Server, signBroken)
	if !brittle && t.record.mayCrash(now, 0) {
		t.g.crashes.own.Add(now, poison.Crash{ID: rand.Uint64(), Server: server, Service: t.service,
			Requests: []poison.Request{{Parts: []poison.Part{t.copyPart()}, Before: now.Sub(t.sent)}}})
	}
}

// recordRefusal records that a connection to the server was refused.
func (t *try) recordRefusal(err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) || !t.mayBeCrash(err) {
		return
	}
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	t.g.suspectCrash(time.Now(), t.selection.Server, signRefused)
}

// recordReplaced records that another incarnation of the server uses its address.
func (t *try) recordReplaced() {
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	t.g.suspectCrash(time.Now(), t.selection.Server, signReplaced)
}

// suspectCrash records a sign of a server's crash; g.mu is held. A late sign matters only if requests were in flight before.
func (g *Gateway) suspectCrash(at time.Time, s fleet.Server, sign crashSign) {
	g.suspectCrashOf(at, incarnation(s), s.Service, sign)
}

// suspectCrashOf is like suspectCrash with the incarnation of a server that may be in no list; g.mu is held.
func (g *Gateway) suspectCrashOf(at time.Time, server, service string, sign crashSign) {
	c, now := &g.crashes, time.Now()
	if at.Sub(c.rejected[server]) < overloadTime || sign.isLate() && sign != signGone && len(c.sent.byServer[server]) == 0 {
		return
	}
	if c.pending == nil {
		c.pending = map[string]*pendingCrash{}
	}
	if c.pending[server] != nil {
		return
	}
	due := now.Add(confirmTime)
	if sign == signGone {
		due = now.Add(lapseConfirmTime)
	}
	c.pending[server] = &pendingCrash{service: service, sign: sign, at: at, due: due}
}

// ServerGone records that the entry of a server has gone. A server that hadn't announced that it leaves has crashed.
func (g *Gateway) ServerGone(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s, ok := g.crashes.known[id]; ok && !s.Leaving {
		g.suspectCrash(time.Now(), s, signGone)
	}
}

// recordServers records which servers the list has. One that has started again has crashed; g.mu is held.
func (g *Gateway) recordServers(list []fleet.Server) {
	c, now := &g.crashes, time.Now()
	known := make(map[string]fleet.Server, len(list))
	for _, s := range list {
		known[s.ID] = s
	}
	for id, s := range c.known {
		next, ok := known[id]
		if ok && !s.Leaving && !s.GrantOnly && !next.GrantOnly && next.StartedAtMS != s.StartedAtMS {
			g.suspectCrash(now, s, signGone)
		}
	}
	c.known = known
}

// mayBeCrash reports whether a connection may have broken because the server crashed: not if the server was silent, or sent bytes that are no response, if this
// node closed the connection, or if its path to all servers may be lost.
func (t *try) mayBeCrash(err error) bool {
	if isTimeout(err) || errors.Is(err, net.ErrClosed) || isTooLong(err) || isMalformed(err) {
		return false
	}
	return t.through != "" || t.g.PathSuspect == nil || !t.g.PathSuspect()
}

// recordRejection records that the server rejected the request for lack of room. A brittle one may fail for that.
func (t *try) recordRejection() {
	if !t.g.isBrittle(t.service) {
		return
	}
	c := &t.g.crashes
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	if c.rejected == nil || len(c.rejected) >= maxRejected {
		c.rejected = map[string]time.Time{}
	}
	c.rejected[incarnation(t.selection.Server)] = time.Now()
}

// recordAlive records that a server responded to a request that was sent at a time; g.mu is held.
func (g *Gateway) recordAlive(server string, sent time.Time) {
	if p := g.crashes.pending[server]; p != nil && (p.sign == signGone || sent.After(p.at)) {
		p.alive = true
	}
}

// recordProgress records that a part of a stream was received. One that has lasted for long enough is sound.
func (t *try) recordProgress(now time.Time) {
	if t.began.IsZero() {
		t.recordBegin(now)
	}
	if !t.sound && now.Sub(t.began) >= poison.BeginTime {
		t.recordSound()
	}
}

// recordBegin records that the response began.
func (t *try) recordBegin(now time.Time) {
	t.began = now
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	t.record.began = now
}

// recordSound records that the server lived on after it had begun the response.
func (t *try) recordSound() {
	if t.began.IsZero() || t.sound {
		return
	}
	t.sound = true
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	c := &t.g.crashes
	c.sent.remove(incarnation(t.selection.Server), t.record)
	c.sounds.Add(t.service, poison.AnyRequest, t.began)
	for _, p := range t.parts {
		if p.IsCopy() {
			c.copies.Add(t.service, p, t.began)
			c.own.AddSound(time.Now(), poison.Sound{Service: t.service, Part: p, Age: time.Since(t.began)})
		} else {
			c.sounds.Add(t.service, p, t.began)
		}
	}
}

// confirmCrashes records the crashes of servers that have not responded since a sign of it, all of them if the node stops; g.mu is held.
func (g *Gateway) confirmCrashes(now time.Time, stopping bool) {
	c := &g.crashes
	for server, p := range c.pending {
		if now.Before(p.due) && !stopping {
			continue
		}
		delete(c.pending, server)
		var list []poison.Request
		if !p.alive {
			list = c.sent.take(server, p.at, p.sign.isLate())
		}
		if p.sign.isReported() && len(list) == 0 {
			continue
		}
		g.Metrics.serverCrashes.WithLabelValues(string(p.sign), strconv.FormatBool(p.alive)).Inc()
		g.Log.Info("server-crash", zap.String("server", server), zap.String("sign", string(p.sign)), zap.Int("requests", len(list)),
			zap.Bool("alive", p.alive), zap.Duration("age", now.Sub(p.at)))
		if p.alive {
			continue
		}
		x := poison.Crash{ID: rand.Uint64(), Server: server, Service: p.service, Age: now.Sub(p.at), Late: p.sign.isLate(), Requests: list}
		c.log.Add(now, x)
	}
	c.sent.prune(now)
}

// addCrashReport adds the crashes and sound responses that the leader may lack, and the blocks, to a report; g.mu is held.
func (g *Gateway) addCrashReport(now time.Time, r *hub.Report) {
	c := &g.crashes
	g.confirmCrashes(now, false)
	r.Crashes, r.KnownCrashes = c.log.Unsent(now), c.received
	asked := map[poison.Part]bool{}
	for _, p := range c.suspects {
		asked[p] = true
	}
	asked[poison.AnyRequest] = len(c.suspects)+len(r.Crashes) > 0
	for _, x := range r.Crashes {
		r.Sounds = append(r.Sounds, poison.NoResponse(x.Service))
		for _, q := range x.Requests {
			for _, p := range q.Parts {
				asked[p] = true
			}
		}
	}
	r.Sounds = slices.Concat(r.Sounds, c.sounds.Unsent(now, asked), c.copies.Unsent(now, asked))
	for _, b := range c.blocks {
		r.Blocks = append(r.Blocks, b.WithAge(b.Age+now.Sub(c.at)))
	}
}

// HasUnreportedCrash reports whether this node has noticed a crash that the leader may lack. A node that stops doesn't wait whether the
// server responds again.
func (g *Gateway) HasUnreportedCrash() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.confirmCrashes(now, true)
	return g.crashes.log.HasUnsent(now)
}

// applyCrashReply applies what a reply to a report holds about crashes; g.mu is held.
func (g *Gateway) applyCrashReply(now time.Time, reply hub.ReportReply) {
	c := &g.crashes
	c.log.Acknowledge(reply.Heard.Hub)
	c.sounds.Acknowledge(reply.Heard.Hub)
	c.copies.Acknowledge(reply.Heard.Hub)
	c.suspects, c.blocks, c.at = reply.Suspects, reply.Blocks, now
	c.received = reply.KnownCrashes
	for _, x := range reply.Crashes {
		c.log.AddFrom(now, x, reply.Heard.Hub)
	}
	for _, x := range reply.Crashed {
		list := c.sent.byServer[x.Server]
		if len(list) == 0 {
			continue
		}
		sign := signReported
		if x.Late {
			sign = signReportedLate
		}
		g.suspectCrashOf(now.Add(-x.Age), x.Server, list[0].service, sign)
	}
}
