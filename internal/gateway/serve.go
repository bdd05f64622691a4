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
	"guavapaddle/core/grant"
	"guavapaddle/internal/hub"
	"guavapaddle/io/http1"
	"guavapaddle/platform"
)

const (
	// maxSends bounds the sends of one request, including refused ones.
	maxSends = 4
	// maxSlotRequests bounds the slot requests in a row: the leader may grant a slot at a
	// server that this node already knows to be unusable.
	maxSlotRequests = 4
	// maxDials bounds the tries that failed before a byte reached a server.
	maxDials = 4
	// modelWait bounds the wait for a model that no server holds, in addition to
	// its load time.
	modelWait = 2500 * time.Millisecond
	// deferrableMargin is how long before its target latency a deferrable request must have started: its prompt waits
	// behind others at the engine.
	deferrableMargin = time.Second
	// plainWait bounds the wait for a server of a service without models.
	plainWait = 300 * time.Millisecond
	// recheckInterval is how often a waiting request queries the picker and requests its
	// adapter again.
	recheckInterval = 300 * time.Millisecond
	// maxGranterRetry bounds the interval at which a deferrable request asks for a slot again while no granter replies: a
	// leader that is late would be later with the requests of all that wait.
	maxGranterRetry = 2 * time.Second
	// maxLimitedRetryAfter bounds the Retry-After of requests that were refused since all
	// servers have reached their announced limits or asked this node to back off:
	// the retry may reach another node that may send one.
	maxLimitedRetryAfter = time.Second
	// exitMargin is the time that a response at the deadline takes to reach the client.
	exitMargin = 100 * time.Millisecond
	// defaultRetryAfter is the Retry-After of refusals without a better estimate.
	defaultRetryAfter = 400 * time.Millisecond
)

// slotResult is the result of a slot request to the leader.
type slotResult int

const (
	leaderUnreachable slotResult = iota // the leader is unreachable, the node picks a server itself
	decided                             // a slot was granted, or the request refused
	declined                            // the slot is at a server that this node knows to be unusable
)

// sendState is what is known about a request after a send.
type sendState int

const (
	answered       sendState = iota // the client has its response, or can't get one
	notSent                         // no byte was sent to the server
	notRun                          // the server reports that it hasn't run
	unknown                         // it may have run
	clientGone                      // the client has left
	deadlinePassed                  // the deadline has passed
)

// serve sends the request until it has a final response.
func (r *request) serve() {
	g := r.g
	r.excluded = map[string]bool{}
	r.header = http1.EndToEnd(r.x.Request.Header)
	r.lastEvent = r.meta.LastEvent
	// A request that fails while it holds a slot must not keep it.
	defer r.releaseSlot(balance.Abandoned)
	if failure := r.findSoftware(); failure != "" {
		r.fail(failure, "")
		return
	}
	dials := 0
	var lastTry Reason
	for {
		if r.outlastsNode() {
			r.fail(Stopping, lastTry)
			return
		}
		c, failure := r.pick()
		if failure != "" {
			r.fail(failure, lastTry)
			return
		}
		if failure := r.chargeLocally(); failure != "" {
			r.fail(failure, lastTry)
			return
		}
		if failure := r.recheckKey(); failure != "" {
			r.fail(failure, lastTry)
			return
		}
		if b, ok := r.findBlock(); ok && (!r.trial || r.sends > 0) { // it may have waited, or have crashed a server itself
			r.refuseBlocked(b, lastTry)
			return
		}
		if r.sends > 0 && !g.takeRetry(r.service) {
			r.fail(Budget, lastTry)
			return
		}
		state, reason := r.send(c)
		g.Metrics.countTry(reason)
		switch state {
		case answered:
			return
		case clientGone:
			r.outcome = outcome{reason: ClientLeft}
			r.x.Abort()
			return
		case deadlinePassed:
			r.fail(Deadline, reason)
			return
		case notSent:
			if dials++; dials >= maxDials && !r.awaitsModel() {
				r.fail(Unreachable, reason)
				return
			}
		case notRun:
			if r.sends >= maxSends {
				r.fail(reason, reason)
				return
			}
		case unknown:
			r.runs++
			if !r.route.Repeatable() || r.runs >= r.route.MaxAttempts || r.sends >= maxSends {
				r.fail(reason, reason)
				return
			}
		}
		lastTry = reason
		if reason != NotResident {
			r.excluded[c.Server.ID] = true
		}
	}
}

// outlastsNode reports whether the node stops and the request, which has not run, may have no response when it exits. At its deadline it has one.
func (r *request) outlastsNode() bool {
	select {
	case <-r.g.stopped:
		return !r.mayHaveRun && r.deadline.Add(exitMargin).After(r.g.exit)
	default:
		return false
	}
}

// fail ends the request for the given cause when no server gave a final response; lastTry is
// the reason of the last try, if any.
func (r *request) fail(cause, lastTry Reason) {
	if r.responseBegun || cause == ClientLeft {
		r.outcome = outcome{reason: cause, lastTry: lastTry}
		r.x.Abort()
		return
	}
	status, retryAfter := http.StatusServiceUnavailable, defaultRetryAfter
	if r.retryAfter > 0 {
		retryAfter = r.retryAfter
	}
	switch {
	case r.runs > 0 && cause == Deadline:
		status, retryAfter = http.StatusGatewayTimeout, 0
	case r.runs > 0:
		status, retryAfter = http.StatusBadGateway, 0
	case cause == Unauthorized:
		status, retryAfter = http.StatusUnauthorized, 0
	case cause == PromptCrashes, cause == CrashSuspect:
		retryAfter = 0 // it would crash servers then too
	case cause == StaleConfig:
		retryAfter = staleConfigRetryAfter
	case cause == Quota:
		status, retryAfter = http.StatusTooManyRequests, r.jitterRetryAfter(r.retryAfter)
	}
	r.respond(status, cause, retryAfter)
	r.outcome.lastTry = lastTry
}

// balanceRequest returns the properties of the request that the picker uses.
func (r *request) balanceRequest() balance.Request {
	b := balance.Request{Service: r.service, Zone: r.g.Zone, Exclude: r.excluded, Software: r.software}
	if !r.usesEngine() {
		return b
	}
	b.Model, b.Adapter, b.Tokens = r.meta.Model, r.meta.Adapter, r.meta.PromptTokens
	for _, p := range r.meta.Segments {
		b.Segments = append(b.Segments, balance.Segment{ID: p.ID, Tokens: p.Tokens})
	}
	return b
}

// isBrittle reports whether the servers of a service announce that they fail if they have to reject too many requests.
func (g *Gateway) isBrittle(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.picker.IsBrittle(time.Now(), service)
}

// needsSlot reports whether the leader grants the request its slot: at engines, and at plain services that need it.
func (r *request) needsSlot() bool {
	if r.usesEngine() {
		return true
	}
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	return r.g.picker.NeedsGrants(time.Now(), r.service)
}

// needsTrial reports whether a block refuses the request, and the leader may let it through to find out whether it still crashes servers.
func (r *request) needsTrial() bool {
	b, ok := r.findBlock()
	return ok && b.AllowsTrial(r.service)
}

// item returns the model and adapter that the request needs.
func (r *request) item() hub.Item {
	return hub.Item{Service: r.service, Model: r.meta.Model, Adapter: r.meta.Adapter}
}

// usesEngine reports whether the request goes to a model engine.
func (r *request) usesEngine() bool {
	s, ok := r.g.config.Load().Service(r.service)
	return ok && s.Engine != nil && r.meta.Model != ""
}

// pick selects a server; if none holds the model it waits for one.
func (r *request) pick() (balance.Selection, Reason) {
	g := r.g
	b := r.balanceRequest()
	item := r.item()
	wanted := item
	wanted.Software = r.software
	if b.Model != "" && r.sends == 0 {
		g.addDemand(item, b.Tokens, 0)
	}
	if r.needsSlot() || r.needsTrial() {
		retryDelay := recheckInterval
		for n := 0; n < maxSlotRequests; {
			c, reason, result := r.requestSlot(b, wanted)
			if result == decided && reason == NoServer && r.awaitsModel() {
				if ended := r.awaitHolders(); ended != "" {
					return c, ended
				}
				continue
			}
			if result == decided {
				return c, reason
			}
			if result == declined {
				n++
				continue
			}
			if !r.canDefer() {
				break
			}
			if ended := r.awaitChange(nil, retryDelay, time.Now().Add(retryDelay)); ended != "" {
				return c, ended
			}
			retryDelay = min(2*retryDelay, maxGranterRetry)
		}
	}
	waiting := false
	defer func() {
		if waiting {
			g.addDemand(wanted, 0, -1)
		}
	}()
	waitUntil := time.Now().Add(r.maxWait(b.Model))
	for {
		b.Idle = balance.IDSet(r.idleServers())
		g.mu.Lock()
		c, reason := g.picker.Pick(time.Now(), b)
		if reason == balance.Picked {
			g.picker.Reserve(time.Now(), c.Server.ID)
		}
		changed := g.changed
		g.mu.Unlock()
		if reason == balance.Picked {
			r.rule = "picked"
			if r.sends == 0 {
				r.queued = time.Since(r.x.Received)
			}
			return c, ""
		}
		if time.Now().After(waitUntil) || reason == balance.NoVersion {
			return c, Reason(reason)
		}
		if c.Wait > time.Until(waitUntil) || reason == balance.Backoff {
			r.retryAfter = min(max(c.Wait, defaultRetryAfter), maxLimitedRetryAfter)
			return c, Reason(reason)
		}
		if !waiting && b.Model != "" {
			waiting = true
			g.addDemand(wanted, 0, 1)
		}
		if reason == balance.NoServer && r.awaitsModel() {
			if ended := r.awaitHolders(); ended != "" {
				return c, ended
			}
			continue
		}
		if reason == balance.NoAdapter {
			r.requestAdapter(wanted)
		}
		if !r.noneAvailable(b) {
			continue
		}
		next := waitUntil
		if reason == balance.Limited {
			next = time.Now().Add(c.Wait)
		}
		if ended := r.awaitChange(changed, recheckInterval, next); ended != "" {
			return c, ended
		}
	}
}

// requestSlot requests a slot from the leader.
func (r *request) requestSlot(b balance.Request, item hub.Item) (c balance.Selection, reason Reason, result slotResult) {
	req := hub.SlotRequest{Item: item, Request: r.meta.ID, Tokens: b.Tokens, Parts: b.Segments, Zone: b.Zone, Lacks: r.notResident, Priority: r.urgency(),
		Waited: time.Since(r.x.Received),
		Target: time.Until(r.targetStart()), Expire: r.maxWait(b.Model)}
	req.Copy, req.Class, req.Team = r.copyPart(), r.class(), r.team.Name
	req.Patience = platform.LongestRetryAfter(time.Until(r.deadline))
	req.Charge = r.pendingCharge()
	req.Exclude, req.Idle = r.unusable(), r.idleServers()
	ctx, cancel := r.waitContext()
	defer cancel()
	reply, grant, err := r.g.AcquireSlot(ctx, req)
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
		return c, "", leaderUnreachable
	}
	if reply.Granted {
		r.trial = reply.Trial
		r.recordCharge(req.Charge)
	}
	if !reply.Granted {
		grant.Done(balance.Abandoned)
		r.retryAfter = reply.After
		if reply.Why == string(balance.NoServer) && len(req.Exclude) > len(r.excluded) {
			return c, Backoff, decided
		}
		return c, Reason(reply.Why), decided
	}
	r.notResident = slices.DeleteFunc(r.notResident, func(id string) bool { return id == reply.Server })
	r.g.mu.Lock()
	s, known := r.g.picker.Server(reply.Server)
	if item.Model != "" {
		r.g.picker.SetResidency(time.Now(), reply.Server, item.Model, item.Adapter, true)
	}
	_, withheld := r.g.picker.Withheld(time.Now(), reply.Server)
	r.g.mu.Unlock()
	if !known || withheld || r.software != "" && s.Software != r.software {
		grant.Done(balance.Abandoned) // this node's data is newer than the leader's
		r.excluded[reply.Server] = true
		return c, "", declined
	}
	if r.sends == 0 {
		r.queued = time.Since(r.x.Received)
	}
	r.slot, r.granter = grant, reply.Granter
	r.rule = "granted"
	return balance.Selection{Server: s, Wait: reply.Wait}, "", decided
}

// class returns how the request competes with the others of its service.
func (r *request) class() grant.Class {
	switch {
	case !r.usesEngine() || !r.g.config.Load().HasDeferrable(r.service):
		return grant.Ordinary
	case r.route.IsDeferrable(r.g.DeferrableTarget):
		return grant.Deferrable
	default:
		return grant.Urgent
	}
}

// canDefer reports whether the request can wait until the leader, or its successor, is reachable again. If all deferrable
// requests that waited at a leader picked servers by themselves when it is lost, they would fill these at once.
func (r *request) canDefer() bool {
	return r.class() == grant.Deferrable && time.Until(r.targetStart()) > recheckInterval
}

// targetStart returns when the request should have been sent.
func (r *request) targetStart() time.Time {
	percent := time.Duration(targetPercent)
	if r.class() == grant.Deferrable {
		percent = dueTargetPercent
	}
	return r.x.Received.Add(r.route.TargetLatency * percent / 100)
}

// unusable returns the servers that the request can't go to: those already tried, and
// those that asked this node to back off.
func (r *request) unusable() []string {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	out := slices.Collect(maps.Keys(r.excluded))
	for _, id := range r.g.picker.InBackoff(time.Now(), r.service) {
		if !r.excluded[id] {
			out = append(out, id)
		}
	}
	return out
}

// waitContext returns a context that ends when the client leaves or the node stops.
func (r *request) waitContext() (context.Context, context.CancelFunc) {
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

// targetPercent is the percentage of a route's target latency within which a request
// should be sent; the rest is for the prefill of its prompt.
const targetPercent = 60

// dueTargetPercent is the percentage of its route's target latency after which a deferrable request no longer lets urgent
// ones go first. The rest is for those that become due together.
const dueTargetPercent = 75

// requestAdapter sends a load request for an adapter to the leader.
func (r *request) requestAdapter(item hub.Item) {
	ctx, cancel := context.WithTimeout(r.x.Context(), recheckInterval)
	defer cancel()
	reply := r.g.RequestLoad(ctx, hub.LoadRequest{Item: item, Lacks: r.notResident, Exclude: r.unusable()})
	if !reply.Found {
		return
	}
	r.notResident = slices.DeleteFunc(r.notResident, func(id string) bool { return id == reply.Server })
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	r.g.picker.SetResidency(time.Now(), reply.Server, item.Model, item.Adapter, true)
}

// noneAvailable reports whether there is still no server to pick.
func (r *request) noneAvailable(b balance.Request) bool {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	_, reason := r.g.picker.Pick(time.Now(), b)
	return reason != balance.Picked
}

// awaitChange waits until the picker's data changes, an interval or until is
// over, or the request ends, in which case it returns the reason.
func (r *request) awaitChange(changed <-chan struct{}, interval time.Duration, until time.Time) Reason {
	t := time.NewTimer(min(interval, time.Until(until)+time.Millisecond))
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

// maxWait returns how long the request may wait for a server that can run it.
func (r *request) maxWait(model string) time.Duration {
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
	if r.awaitsModel() {
		return min(left, r.nextEventWait())
	}
	if r.class() == grant.Deferrable {
		return min(left, time.Until(r.x.Received.Add(r.route.TargetLatency-deferrableMargin)))
	}
	return min(m.LoadTime+modelWait, left, r.nextEventWait())
}

// nextEventWait returns how long the client still waits for the next event: until 2 s,
// four times the target latency or eight times the maximum event gap after the request
// was received, or the last event forwarded, whichever is longest, less 300 ms for the prefill of the prompt.
func (r *request) nextEventWait() time.Duration {
	limit := max(2*time.Second, 4*r.route.TargetLatency, 8*r.route.MaxEventGap)
	since := r.x.Received
	if r.responseBegun {
		since = r.forwardedAt
	}
	return time.Until(since.Add(limit)) - 300*time.Millisecond
}

// fingerprint identifies copies of a request by a hash of its method, host, path with
// query, and body.
func fingerprint(x *http1.Exchange) uint64 {
	d := xxhash.New()
	for _, s := range []string{x.Request.Method, x.Request.Host, x.Request.RequestURI} {
		_, _ = d.WriteString(s) // never returns an error
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(x.Body)
	return d.Sum64()
}

// outgoing returns the request as it is sent to a server.
func (r *request) outgoing(s fleet.Server) http1.ClientRequest {
	h := r.header.Clone()
	priority := -1
	if r.route.Kind == fleet.Stream {
		priority = r.urgency()
	}
	platform.SetForwardHeaders(h, s.ID, time.Until(r.deadline), priority)
	if r.g.config.Load().KeysRequired() {
		platform.SetTeam(h, r.team.Name)
	}
	if r.lastEvent != "" && r.route.Resumable {
		platform.SetLastEvent(h, r.lastEvent)
	}
	return http1.ClientRequest{Method: r.x.Request.Method, Target: r.x.Request.RequestURI, Host: r.x.Request.Host,
		Header: h, Body: r.x.Body}
}
