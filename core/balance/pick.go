package balance

import (
	"time"

	"guavapaddle/core/fleet"
	"guavapaddle/core/speed"
	"guavapaddle/core/throttle"
)

const (
	// SampleSize is the number of servers drawn at random for one pick.
	SampleSize = 3
	// defaultPrefillRate is the number of prompt tokens that an engine is assumed to read in a
	// millisecond until a model's rate has been measured. The users' data sheets give 19 to 22.
	defaultPrefillRate = 20.0
	// runningCostTokens is the cost that a running stream adds for other requests, in prompt
	// tokens: it adds about 0.04 ms to each step of about 8 ms, while a prompt of a thousand tokens
	// takes 50 ms.
	runningCostTokens = 40
	// minBaseLatency is the least time to the first byte that is assumed of a plain service.
	minBaseLatency = 5 * time.Millisecond
	// remoteZoneFactor scales the cost of a server in another data centre, which covers a latency
	// of 0.5 to 1.4 ms each way and the price of traffic between data centres.
	remoteZoneFactor = 1.15
	// holdersTTL is how long a cached list of holders is used. A residency update may have expired
	// by then.
	holdersTTL = 100 * time.Millisecond
	// maxSegments bounds the prompt segments remembered for each server.
	maxSegments = 1024
	// unscheduledRateFraction is the fraction of a server's named rate that is shared by nodes
	// which pick on their own, because a scheduler may be using the whole rate at the same time.
	unscheduledRateFraction = 0.5
)

type (
	// Segment is a part of a prompt that several requests may share.
	Segment struct {
		ID     string
		Tokens int
	}

	// Request describes the request to pick a server for.
	Request struct {
		Service  string
		Model    string // empty for plain services
		Adapter  string
		Tokens   int // number of prompt tokens
		Segments []Segment
		Zone     string          // data centre of this node
		Exclude  map[string]bool // IDs of servers that must not be picked
		Idle     map[string]bool // IDs of servers to which the node has an open idle connection
		Software string          // version that the server's software must have, empty for any
	}

	// Bounds limits what a scheduler grants at one server.
	Bounds struct {
		Tokens       int     // prompt tokens that may be pending, including those of the request
		SlotFraction float64 // fraction of the slots that may be taken
		// Reserved returns how many slots the request must leave free at a server. It may be nil.
		Reserved func(id string) float64
	}

	// Selection is the result of a pick.
	Selection struct {
		Server fleet.Server
		// Wait is the estimated time until the server starts the request. If no server was picked
		// it is the time until one may be available, or zero if that is unknown.
		Wait time.Duration
		Age  time.Duration // of the latest load report from other nodes; -1 if there is none
		// Speed is the estimate by which the server was picked, zero if it doesn't report its pace.
		Speed speed.Estimate
		// AtUsualSpeed is the ID of the server that would have been picked if all were of the usual speed, if that is
		// another one.
		AtUsualSpeed string
	}

	// Reason is the reason why no server was picked.
	Reason string
)

const (
	// Picked means that a server was picked.
	Picked Reason = ""
	// NoServer means that the service has no server other than the excluded ones.
	NoServer Reason = "no-server"
	// NoVersion means that the service has no server whose software has the requested version.
	NoVersion Reason = "no-version"
	// NoModel means that no server holds the model.
	NoModel Reason = "no-model"
	// Busy means that all servers that could run the request are at capacity.
	Busy Reason = "busy"
	// Limited means that all servers that could run the request have reached the rate limit that
	// they named.
	Limited Reason = "limited"
	// Backoff means that the servers that could run the request have asked this node to back off.
	Backoff Reason = "resting"
	// Leaving means that the picked server is leaving.
	Leaving Reason = "leaving"
	// NoAdapter means that some servers hold the model but none holds the adapter.
	NoAdapter Reason = "no-adapter"
)

// IDSet returns a list of server IDs as a set, nil if it is empty.
func IDSet(list []string) map[string]bool {
	if len(list) == 0 {
		return nil
	}
	set := make(map[string]bool, len(list))
	for _, id := range list {
		set[id] = true
	}
	return set
}

// Pick picks a server for a request that is not decided by a scheduler. If the server names a rate
// limit the request must be reserved with Reserve.
func (p *Picker) Pick(now time.Time, r Request) (Selection, Reason) {
	share := throttle.Share{Nodes: max(1, p.nodes), Fraction: unscheduledRateFraction}
	eligible, wait, reason := p.eligible(now, r,
		func(s *server) time.Duration { return s.throttle.LocalWait(now, share) },
		func(s *server) bool { return p.hasLocalRoom(now, s) })
	if len(eligible) == 0 {
		return Selection{Wait: wait}, reason
	}
	s := p.cheapestOfSample(now, withoutFull(now, eligible), r)
	return Selection{Server: s.Server, Wait: p.wait(now, s, r), Age: s.age(now)}, Picked
}

// PickWithin picks the cheapest of all servers with room for the request, or one with an idle connection whose cost is close to the
// lowest. A server has room if at
// most b.Tokens prompt tokens would be pending there including this request, or if no request is
// pending there, and if less than the fraction b.SlotFraction of its slots, less those reserved, is
// taken. It requires exact counts of the requests of all nodes.
func (p *Picker) PickWithin(now time.Time, r Request, b Bounds) (Selection, Reason) {
	eligible, wait, reason := p.eligible(now, r,
		func(s *server) time.Duration { return s.throttle.GlobalWait(now) },
		func(*server) bool { return true })
	if len(eligible) == 0 {
		return Selection{Wait: wait}, reason
	}
	var best, usual choice
	p.rng.Shuffle(len(eligible), func(i, j int) { eligible[i], eligible[j] = eligible[j], eligible[i] })
	for _, s := range eligible {
		n, tokens := s.count(now), p.normalizedTokens(now, s, r)
		factor := s.factor(now, n)
		if !p.hasRoom(s, n, tokens, s.scaleBounds(b, factor)) {
			continue
		}
		wait, idle := s.waitAtUsualSpeed(r, n, tokens), r.Idle[s.ID]
		best.offer(s, s.cost(wait*factor, r), idle)
		if s.speed.known {
			factor = 1
		}
		usual.offer(s, s.cost(wait*factor, r), idle)
	}
	s := best.server()
	if s == nil {
		return Selection{}, Busy
	}
	selection := Selection{Server: s.Server, Wait: p.wait(now, s, r), Age: s.age(now)}
	if s.speed.known {
		selection.Speed = s.speed.Estimate(now, s.fill(s.count(now)))
	}
	if u := usual.server(); u != s {
		selection.AtUsualSpeed = u.ID
	}
	return selection, Picked
}

// hasRoom reports whether a server with the given requests has room within bounds for one more, whose prompt has a number of tokens to
// read.
func (p *Picker) hasRoom(s *server, n Count, tokens int, b Bounds) bool {
	if n.Pending > 0 && n.Tokens+tokens > b.Tokens {
		return false
	}
	slots := b.SlotFraction * p.usableSlots(s)
	if b.Reserved != nil {
		slots -= b.Reserved(s.ID)
	}
	return float64(n.Pending+n.Running) < slots
}

// Reserve counts a request against the rate limit of the server that was picked for it, so that the
// server isn't picked for another request before this one is sent.
func (p *Picker) Reserve(now time.Time, id string) {
	if s := p.servers[id]; s != nil {
		s.throttle.Record(now)
	}
}

// eligible returns the servers that could run the request: those that aren't avoided, or all of
// them if every one is avoided. The callback rateWait returns the time until a server's rate limit
// admits a request; hasRoom reports whether this node may send one to a brittle server. If no server is eligible, it returns
// the shortest time until a rate limit or a backoff ends.
func (p *Picker) eligible(now time.Time, r Request, rateWait func(*server) time.Duration, hasRoom func(*server) bool) ([]*server, time.Duration, Reason) {
	h := p.withSoftware(now, p.findHolders(now, r.Service, resident{r.Model, r.Adapter}), r)
	eligible := p.eligibleBuf[:0]
	var avoided []*server
	minWait, unavailable := time.Duration(0), h.reason
	if len(h.list) > 0 && unavailable == NoModel {
		unavailable = NoServer // some servers hold the model, but all of these are excluded
	}
	for _, s := range h.list {
		wait, backoff := rateWait(s), s.backoff.Sub(now)
		switch {
		case r.Exclude[s.ID]:
		case backoff > 0:
			unavailable, minWait = Backoff, shorterNonZero(minWait, backoff)
		case wait > 0:
			unavailable, minWait = Limited, shorterNonZero(minWait, wait)
		case s.isBrittle() && (now.Before(s.avoidUntil) || !hasRoom(s)):
			unavailable = Busy
		case now.Before(s.avoidUntil):
			avoided = append(avoided, s)
		default:
			eligible = append(eligible, s)
		}
	}
	p.eligibleBuf = eligible
	if len(eligible) == 0 {
		eligible = avoided
	}
	if len(eligible) == 0 {
		return nil, minWait, unavailable
	}
	return eligible, 0, Picked
}

// shorterNonZero returns the shorter of two durations, where zero means unset.
func shorterNonZero(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// Limits returns the named rates of the servers that could run the request, by server ID.
func (p *Picker) Limits(now time.Time, r Request) map[string]float64 {
	limits := map[string]float64{}
	for _, s := range p.findHolders(now, r.Service, resident{r.Model, r.Adapter}).list {
		if s.throttle.Limit().Active && !r.Exclude[s.ID] {
			limits[s.ID] = s.throttle.Rate()
		}
	}
	return limits
}

// findHolders returns the servers that hold an item. The result is cached until residency changes
// or may have changed.
func (p *Picker) findHolders(now time.Time, service string, item resident) *holders {
	key := model{service, item.model}
	if h := p.holders[key][item.adapter]; h != nil && now.Sub(h.at) < holdersTTL {
		return h
	}
	h := &holders{at: now, reason: NoServer}
	list := p.byService[service]
	if item.model != "" {
		if len(list) > len(p.byModel[key]) {
			h.reason = NoModel
		}
		list = p.byModel[key]
	}
	for _, s := range list {
		switch {
		case item.model != "" && !s.holds(now, resident{item.model, ""}):
			h.reason = moreSpecific(h.reason, NoModel)
		case item.adapter != "" && !s.holds(now, item):
			h.reason = moreSpecific(h.reason, NoAdapter)
		default:
			h.list = append(h.list, s)
		}
	}
	if p.holders[key] == nil {
		p.holders[key] = map[string]*holders{}
	}
	p.holders[key][item.adapter] = h
	return h
}

// moreSpecific returns the more specific reason: a server that lacks only the adapter is closer to
// serving the request than one that lacks the model.
func moreSpecific(a, b Reason) Reason {
	if a == NoAdapter {
		return a
	}
	return b
}

// cheapestOfSample draws SampleSize servers at random and returns the one with the lowest cost, or one with an idle connection whose
// cost is close to it.
func (p *Picker) cheapestOfSample(now time.Time, eligible []*server, r Request) *server {
	n := min(SampleSize, len(eligible))
	for i := range n {
		j := i + p.rng.IntN(len(eligible)-i)
		eligible[i], eligible[j] = eligible[j], eligible[i]
	}
	var c choice
	for _, s := range eligible[:n] {
		c.offer(s, s.cost(float64(p.wait(now, s, r))/float64(time.Millisecond), r), r.Idle[s.ID])
	}
	return c.server()
}

// cost returns the value by which servers are compared, in milliseconds, for an estimated wait in milliseconds.
func (s *server) cost(wait float64, r Request) float64 {
	if s.Zone != r.Zone {
		return wait*remoteZoneFactor + 1
	}
	return wait
}

// wait estimates the time until the server starts the request.
func (p *Picker) wait(now time.Time, s *server, r Request) time.Duration {
	n, tokens := s.count(now), 0
	if r.Model != "" {
		tokens = p.normalizedTokens(now, s, r)
	}
	return time.Duration(s.waitAtUsualSpeed(r, n, tokens) * s.factor(now, n) * float64(time.Millisecond))
}

// waitAtUsualSpeed estimates the time in milliseconds until the server with the given requests starts the request, whose
// prompt has a number of tokens to read, if it is of the usual speed.
func (s *server) waitAtUsualSpeed(r Request, n Count, tokens int) float64 {
	if r.Model == "" {
		perSlot := float64(n.Pending+n.Running) / float64(max(1, s.Slots))
		return float64(max(s.baseLatency, minBaseLatency)) / float64(time.Millisecond) * (0.2 + perSlot)
	}
	return float64(n.Tokens+n.Running*runningCostTokens+tokens) / defaultPrefillRate
}

// normalizedTokens returns the prompt tokens that the server has to read, scaled to a model with a
// relative prefill time of one.
func (p *Picker) normalizedTokens(now time.Time, s *server, r Request) int {
	return int(float64(s.uncachedTokens(now, r)) * p.RelativePrefillTime(r.Model))
}

// uncachedTokens returns the prompt tokens that the server has to read: everything after the
// leading segments that it is known to have cached.
func (s *server) uncachedTokens(now time.Time, r Request) int {
	n := r.Tokens
	for _, segment := range r.Segments {
		at, ok := s.segments[segmentKey(r, segment)]
		if !ok || now.Sub(at) > time.Minute {
			break
		}
		n -= segment.Tokens
	}
	return max(0, n)
}

// segmentKey distinguishes segments of different models and adapters, whose caches aren't shared.
func segmentKey(r Request, s Segment) string { return r.Model + "/" + r.Adapter + "/" + s.ID }

// Holders returns the IDs of the servers that hold a model and aren't avoided after a failure.
func (p *Picker) Holders(now time.Time, service, name string) []string {
	var out []string
	for _, s := range p.findHolders(now, service, resident{name, ""}).list {
		if !now.Before(s.avoidUntil) {
			out = append(out, s.ID)
		}
	}
	return out
}
