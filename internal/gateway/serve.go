package gateway

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"guavapaddle/core/balance"
	"guavapaddle/core/fleet"
	"guavapaddle/internal/hub"
	"guavapaddle/io/http1"
	"guavapaddle/platform"
)

const (
	// sendsMost bounds the sends of one request, refused ones included.
	sendsMost = 4
	// asksMost bounds the places that are asked for at once: the holder of the lease may grant
	// them at servers of which this node knows more.
	asksMost = 4
	// dialsMost bounds the servers tried that could not be reached at all.
	dialsMost = 4
	// modelWait bounds the wait for a model that no server holds, beside the
	// time that its load takes.
	modelWait = 2500 * time.Millisecond
	// plainWait bounds the wait for a plain service without servers.
	plainWait = 300 * time.Millisecond
	// recheck is how often a waiting request asks for its model again.
	recheck = 300 * time.Millisecond
	// limitedBack is when a client may come back, at most, that was refused since all servers
	// have got as many requests as they named, or want rest from this node: it may reach a
	// node that may send one.
	limitedBack = time.Second
	// comeBack is when a refused client may come back where nothing tells more.
	comeBack = 400 * time.Millisecond
)

// asked says what came of asking the holder of the lease for a place.
type asked int

const (
	unreached asked = iota // the node has to pick by itself
	decided                // the request has a place, or was refused
	declined               // the place is at a server that this node knows better not to use
)

// fate says what is known of a request after a send.
type fate int

const (
	answered fate = iota // the client has its answer, or can't get one
	notSent              // no byte reached the server
	notRun               // the server says that it hasn't run
	unknown              // it may have run
	gone                 // the client has left
	late                 // the deadline has passed
)

// serve sends the request until it has an answer.
func (r *request) serve() {
	g := r.g
	r.exclude = map[string]bool{}
	r.header = http1.EndToEnd(r.x.Request.Header)
	r.last = r.meta.LastEvent
	// A request that is given up with a place in hand must not keep it.
	defer r.freePlace(balance.Abandoned)
	dials := 0
	var refusal Reason
	for {
		c, why := r.pick()
		if why != "" {
			r.giveUp(why, refusal)
			return
		}
		if why := r.spend(); why != "" {
			r.giveUp(why, refusal)
			return
		}
		if why := r.allowed(); why != "" {
			r.giveUp(why, refusal)
			return
		}
		if r.sends > 0 && !g.spend(r.service) {
			r.giveUp(Budget, refusal)
			return
		}
		f, reason := r.send(c)
		g.Metrics.try(reason)
		switch f {
		case answered:
			return
		case gone:
			r.outcome = outcome{reason: ClientLeft}
			r.x.Abort()
			return
		case late:
			r.giveUp(Deadline, reason)
			return
		case notSent:
			if dials++; dials >= dialsMost {
				r.giveUp(Unreachable, reason)
				return
			}
		case notRun:
			if r.sends >= sendsMost {
				r.giveUp(reason, reason)
				return
			}
		case unknown:
			r.runs++
			if !r.route.Repeatable() || r.runs >= r.route.MaxAttempts || r.sends >= sendsMost {
				r.giveUp(reason, reason)
				return
			}
		}
		refusal = reason
		if reason != Lacking {
			r.exclude[c.Server.ID] = true
		}
	}
}

// giveUp gives the final answer where there is no server's own.
func (r *request) giveUp(why, refusal Reason) {
	if r.begun || why == ClientLeft {
		r.outcome = outcome{reason: why, refusal: refusal}
		r.x.Abort()
		return
	}
	status, after := http.StatusServiceUnavailable, comeBack
	if r.after > 0 {
		after = r.after
	}
	switch {
	case r.runs > 0 && why == Deadline:
		status, after = http.StatusGatewayTimeout, 0
	case r.runs > 0:
		status, after = http.StatusBadGateway, 0
	case why == Unauthorized:
		status, after = http.StatusUnauthorized, 0
	case why == StaleConfig:
		after = staleRetry
	case why == Quota:
		status, after = http.StatusTooManyRequests, r.spread(r.after)
	}
	r.answer(status, why, after)
	r.outcome.refusal = refusal
}

// balanceRequest returns what the pick depends on.
func (r *request) balanceRequest() balance.Request {
	b := balance.Request{Service: r.service, Zone: r.g.Zone, Exclude: r.exclude}
	if !r.engine() {
		return b
	}
	b.Model, b.Adapter, b.Tokens = r.meta.Model, r.meta.Adapter, r.meta.PromptTokens
	for _, p := range r.meta.Parts {
		b.Segments = append(b.Segments, balance.Segment{ID: p.ID, Tokens: p.Tokens})
	}
	return b
}

// item returns the model and adapter that the request asks for.
func (r *request) item() hub.Item {
	return hub.Item{Service: r.service, Model: r.meta.Model, Adapter: r.meta.Adapter}
}

// engine tells whether the request goes to a model engine.
func (r *request) engine() bool {
	s, ok := r.g.config.Load().Service(r.service)
	return ok && s.Engine != nil && r.meta.Model != ""
}

// pick picks a server; where none holds the model it waits for one.
func (r *request) pick() (balance.Selection, Reason) {
	g := r.g
	b := r.balanceRequest()
	w := r.item()
	if b.Model != "" && r.sends == 0 {
		g.ask(w, b.Tokens, 0)
	}
	if b.Model != "" {
		for range asksMost {
			c, why, a := r.ask(b, w)
			if a == decided {
				return c, why
			}
			if a == unreached {
				break
			}
		}
	}
	waiting := false
	defer func() {
		if waiting {
			g.ask(w, 0, -1)
		}
	}()
	until := time.Now().Add(r.waitMost(b.Model))
	for {
		g.mu.Lock()
		c, why := g.picture.Pick(time.Now(), b)
		if why == balance.Picked {
			g.picture.Reserve(time.Now(), c.Server.ID)
		}
		changed := g.changed
		g.mu.Unlock()
		if why == balance.Picked {
			r.rule = "picked"
			if r.sends == 0 {
				r.queued = time.Since(r.x.Received)
			}
			return c, ""
		}
		if time.Now().After(until) {
			return c, Reason(why)
		}
		if c.Wait > time.Until(until) || why == balance.Backoff {
			r.after = min(max(c.Wait, comeBack), limitedBack)
			return c, Reason(why)
		}
		if !waiting && b.Model != "" {
			waiting = true
			g.ask(w, 0, 1)
		}
		if why == balance.NoAdapter {
			r.want(w)
		}
		if !r.lacking(b) {
			continue
		}
		next := until
		if why == balance.Limited {
			next = time.Now().Add(c.Wait)
		}
		if reason := r.await(changed, next); reason != "" {
			return c, reason
		}
	}
}

// ask asks the holder of the lease for a place.
func (r *request) ask(b balance.Request, w hub.Item) (c balance.Selection, why Reason, a asked) {
	p := hub.Place{Item: w, Request: r.meta.ID, Tokens: b.Tokens, Parts: b.Segments, Zone: b.Zone, Lacks: r.lacks, Priority: r.urgency(),
		Waited: time.Since(r.x.Received),
		Target: time.Until(r.x.Received.Add(r.route.TargetLatency * targetPart / 100)), Expire: r.waitMost(b.Model)}
	p.Charge = r.due()
	p.Exclude = r.unusable()
	ctx, cancel := r.waiting()
	defer cancel()
	placed, grant, err := r.g.Place(ctx, p)
	if ctx.Err() != nil {
		if err == nil {
			grant.Done(balance.Abandoned)
		}
		if r.x.Context().Err() != nil {
			return c, ClientLeft, decided
		}
		return c, Stopping, decided
	}
	if err != nil {
		return c, "", unreached
	}
	if placed.Granted {
		r.paid(p.Charge)
	}
	if !placed.Granted {
		grant.Done(balance.Abandoned)
		r.after = placed.After
		if placed.Why == string(balance.NoServer) && len(p.Exclude) > len(r.exclude) {
			return c, Resting, decided
		}
		return c, Reason(placed.Why), decided
	}
	r.lacks = slices.DeleteFunc(r.lacks, func(id string) bool { return id == placed.Server })
	r.g.mu.Lock()
	s, known := r.g.picture.Server(placed.Server)
	r.g.picture.SetResidency(time.Now(), placed.Server, w.Model, w.Adapter, true)
	_, withheld := r.g.picture.Withheld(time.Now(), placed.Server)
	r.g.mu.Unlock()
	if !known || withheld {
		grant.Done(balance.Abandoned) // this node knows more than the holder
		r.exclude[placed.Server] = true
		return c, "", declined
	}
	if r.sends == 0 {
		r.queued = time.Since(r.x.Received)
	}
	r.place, r.granter = grant, placed.Granter
	r.rule = "granted"
	return balance.Selection{Server: s, Wait: placed.Wait}, "", decided
}

// unusable returns the servers that the request can't go to: it was tried there, or they
// want rest from this node.
func (r *request) unusable() []string {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	out := slices.Collect(maps.Keys(r.exclude))
	for _, id := range r.g.picture.InBackoff(time.Now(), r.service) {
		if !r.exclude[id] {
			out = append(out, id)
		}
	}
	return out
}

// waiting returns a context that ends when the client leaves or the node stops.
func (r *request) waiting() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(r.x.Context())
	go func() {
		select {
		case <-r.g.stopped:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// targetPart is the part of a route's target, in percent, in which a request
// should be sent; the rest is for its prompt to be read.
const targetPart = 60

// want asks the holder of the lease for an adapter.
func (r *request) want(w hub.Item) {
	ctx, cancel := context.WithTimeout(r.x.Context(), recheck)
	defer cancel()
	o := r.g.Want(ctx, hub.Want{Item: w, Lacks: r.lacks, Exclude: r.unusable()})
	if !o.Found {
		return
	}
	r.lacks = slices.DeleteFunc(r.lacks, func(id string) bool { return id == o.Server })
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	r.g.picture.SetResidency(time.Now(), o.Server, w.Model, w.Adapter, true)
}

// lacking tells whether there is still no server to pick.
func (r *request) lacking(b balance.Request) bool {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	_, why := r.g.picture.Pick(time.Now(), b)
	return why != balance.Picked
}

// await waits until the picture changes or the request ends.
func (r *request) await(changed <-chan struct{}, until time.Time) Reason {
	t := time.NewTimer(min(recheck, time.Until(until)+time.Millisecond))
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-r.x.Context().Done():
		return ClientLeft
	case <-r.g.stopped:
		return Stopping
	}
	return ""
}

// waitMost returns how long the request may wait for a server that can run it.
func (r *request) waitMost(model string) time.Duration {
	left := time.Until(r.deadline) - time.Second
	if model == "" {
		return min(plainWait, left)
	}
	s, ok := r.g.config.Load().Service(r.service)
	if !ok || s.Engine == nil {
		return 0
	}
	m, ok := s.Engine.Models[model]
	if !ok {
		return 0
	}
	return min(m.LoadTime+modelWait, left, r.patienceFirst())
}

// patienceFirst returns how long the client waits for the first event: two
// seconds, four times the target or eight times the pause, whichever is
// longest, less time for the prompt to be read.
func (r *request) patienceFirst() time.Duration {
	most := max(2*time.Second, 4*r.route.TargetLatency, 8*r.route.MaxEventGap)
	return time.Until(r.x.Received.Add(most)) - 300*time.Millisecond
}

// fingerprint tells requests apart whose copies come again: by host, path and
// body, and the prompt where the body is empty.
func fingerprint(x *http1.Exchange) uint64 {
	d := xxhash.New()
	for _, s := range []string{x.Request.Method, x.Request.Host, x.Request.RequestURI} {
		_, _ = d.WriteString(s) // never fails
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(x.Body)
	return d.Sum64()
}

// outgoing returns the request as it goes to a server.
func (r *request) outgoing(s fleet.Server) http1.Outgoing {
	h := r.header.Clone()
	priority := -1
	if r.route.Kind == fleet.Stream {
		priority = r.urgency()
	}
	platform.Forward(h, s.ID, time.Until(r.deadline), priority)
	if r.g.config.Load().KeysRequired() {
		platform.Identify(h, r.team.Name)
	}
	if r.last != "" && r.route.Resumable {
		platform.Resume(h, r.last)
	}
	return http1.Outgoing{Method: r.x.Request.Method, Target: r.x.Request.RequestURI, Host: r.x.Request.Host,
		Header: h, Body: r.x.Body}
}
