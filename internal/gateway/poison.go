package gateway

import (
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/poison"
	"guavapaddle/internal/hub"
)

const (
	// confirmTime is how long a server has to show that it lives, after a connection to it has broken, before the break counts as its
	// crash.
	confirmTime = 300 * time.Millisecond
	// maxCrashRequests bounds the requests of one crash that a node reports.
	maxCrashRequests = 256
	// overloadTime is how long after it had to reject a request a brittle server may fail for it: it counts the rejections of a second.
	overloadTime = 2 * time.Second
	// maxRejected bounds the brittle servers whose last rejection a node remembers.
	maxRejected = 1024
)

type (
	// crashes holds a node's observations of servers that crashed, and the blocks that follow from those of all nodes. Gateway.mu
	// guards it.
	crashes struct {
		pending  map[string]*pendingCrash // by server
		rejected map[string]time.Time     // when a brittle server last rejected a request
		log      poison.Log
		sounds   poison.Sounds
		suspects []poison.Part  // as the leader last sent them
		blocks   []poison.Block // likewise
		at       time.Time      // when the blocks were received
	}

	// pendingCrash is a broken connection that may be a crash.
	pendingCrash struct {
		service  string
		at       time.Time
		requests []poison.Request
		alive    bool // the server has responded since
	}
)

// sharedParts returns the parts of the request's prompt that other requests may share.
func (r *request) sharedParts() []poison.Part {
	var ids []string
	for _, p := range r.meta.Segments {
		ids = append(ids, p.ID)
	}
	return poison.SharedParts(ids)
}

// findBlock returns the block in force that the request matches, and whether there is one.
func (r *request) findBlock() (poison.Block, bool) {
	if len(r.parts) == 0 {
		return poison.Block{}, false
	}
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	b, ok := poison.FindMatch(g.crashes.blocks, r.parts)
	return b.WithAge(b.Age + time.Since(g.crashes.at)), ok
}

// AddBlocks puts blocks in force that the lease passes on, until the next reply to a report: a node that reaches no leader may
// still read the lease.
func (g *Gateway) AddBlocks(list []poison.Block) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, now := &g.crashes, time.Now()
	for _, b := range list {
		if _, ok := poison.FindMatch(c.blocks, b.Parts); !ok {
			c.blocks = append(slices.Clone(c.blocks), b.WithAge(b.Age-now.Sub(c.at)))
		}
	}
}

// refuseBlocked refuses the request, since a block matches its prompt.
func (r *request) refuseBlocked(b poison.Block, lastTry Reason) {
	r.g.Log.Info("prompt-refused", zap.String("request-id", r.meta.ID), zap.String("parts", b.Name()), zap.String("service", b.Service),
		zap.Int("crashes", b.Crashes), zap.Duration("age", b.Age), zap.Int("runs", r.runs))
	r.fail(PromptCrashes, lastTry)
}

// recordBreak records that the connection to the server broke with an error while the request was in flight.
func (t *try) recordBreak(err error) {
	now, c := time.Now(), &t.g.crashes
	mayBeCause := t.began.IsZero() || now.Sub(t.began) < poison.BeginTime
	if len(t.parts) == 0 || !mayBeCause || !t.mayBeCrash(err) {
		return
	}
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	id := t.selection.Server.ID
	if now.Sub(c.rejected[id]) < overloadTime {
		return
	}
	if c.pending == nil {
		c.pending = map[string]*pendingCrash{}
	}
	p := c.pending[id]
	if p == nil {
		p = &pendingCrash{service: t.service, at: now}
		c.pending[id] = p
	}
	if len(p.requests) < maxCrashRequests {
		p.requests = append(p.requests, poison.Request{Parts: t.parts, Before: p.at.Sub(t.sent)})
	}
}

// mayBeCrash reports whether a connection may have broken because the server crashed: not if the server was silent, if this
// node closed the connection, or if its path to all servers may be lost.
func (t *try) mayBeCrash(err error) bool {
	if isTimeout(err) || errors.Is(err, net.ErrClosed) {
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
	c.rejected[t.selection.Server.ID] = time.Now()
}

// recordAlive records that a server responded to a request that was sent at a time; g.mu is held.
func (g *Gateway) recordAlive(server string, sent time.Time) {
	if p := g.crashes.pending[server]; p != nil && sent.After(p.at) {
		p.alive = true
	}
}

// recordProgress records that a part of a stream was received. One that has lasted for long enough is sound.
func (t *try) recordProgress(now time.Time) {
	if t.began.IsZero() {
		t.began = now
	}
	if !t.sound && now.Sub(t.began) >= poison.BeginTime {
		t.recordSound()
	}
}

// recordSound records that the server lived on after it had begun the response.
func (t *try) recordSound() {
	if len(t.parts) == 0 || t.began.IsZero() || t.sound {
		return
	}
	t.sound = true
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	for _, p := range t.parts {
		t.g.crashes.sounds.Add(t.service, p, t.began)
	}
}

// addCrashReport adds the crashes and sound responses that the leader may lack, and the blocks, to a report; g.mu is held.
func (g *Gateway) addCrashReport(now time.Time, r *hub.Report) {
	c := &g.crashes
	for server, p := range c.pending {
		if now.Sub(p.at) < confirmTime {
			continue
		}
		delete(c.pending, server)
		if !p.alive {
			c.log.Add(now, poison.Crash{ID: rand.Uint64(), Server: server, Service: p.service, Age: now.Sub(p.at), Requests: p.requests})
		}
		g.Log.Info("server-crash", zap.String("server", server), zap.Int("requests", len(p.requests)), zap.Bool("alive", p.alive), zap.Duration("age", now.Sub(p.at)))
	}
	r.Crashes = c.log.Unsent(now)
	asked := map[poison.Part]bool{}
	for _, p := range c.suspects {
		asked[p] = true
	}
	for _, x := range r.Crashes {
		for _, q := range x.Requests {
			for _, p := range q.Parts {
				asked[p] = true
			}
		}
	}
	r.Sounds = c.sounds.Unsent(now, asked)
	for _, b := range c.blocks {
		r.Blocks = append(r.Blocks, b.WithAge(b.Age+now.Sub(c.at)))
	}
}

// applyCrashReply applies the suspects and blocks in a reply to a report; g.mu is held.
func (g *Gateway) applyCrashReply(now time.Time, reply hub.ReportReply) {
	c := &g.crashes
	c.log.Acknowledge(reply.Heard.Hub)
	c.sounds.Acknowledge(reply.Heard.Hub)
	c.suspects, c.blocks, c.at = reply.Suspects, reply.Blocks, now
}
