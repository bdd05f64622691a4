package balance

import (
	"time"

	"guavapaddle/core/fleet"
	"guavapaddle/core/throttle"
)

const (
	// Choices is how many servers are drawn for one pick.
	Choices = 3
	// promptRate is the prompt tokens that an engine reads in a millisecond
	// before any was measured; the users' sheets say 19 to 22.
	promptRate = 20.0
	// runningTokens is what a running stream costs others, as prompt tokens: it
	// adds some 0.04 ms to each step of about 8 ms while a prompt of a thousand
	// tokens takes 50 ms.
	runningTokens = 40
	// awayZone is the cost of another data centre: half a millisecond to 1.4 ms
	// each way, and the price of bytes between data centres.
	awayZone = 1.15
	// holdersLife is how long a list of holders is used after which a note may
	// have ended.
	holdersLife = 100 * time.Millisecond
	// partsMost bounds the prompt parts remembered for a server.
	partsMost = 1024
	// aloneShare is the part of an engine's named rate that nodes use which pick by
	// themselves: a scheduler may be using the whole rate at the same time.
	aloneShare = 0.5
)

type (
	// Part is a piece of a prompt that requests may share.
	Part struct {
		ID     string
		Tokens int
	}

	// Request is what a pick depends on.
	Request struct {
		Service string
		Model   string // empty for plain services
		Adapter string
		Tokens  int // of the prompt
		Parts   []Part
		Zone    string          // the node's data centre
		Exclude map[string]bool // ids of servers not to pick
	}

	// Choice is a server that was picked.
	Choice struct {
		Server fleet.Server
		// Wait is estimated until the server begins the request, or where there is none now
		// until one may get it, zero if that is unknown.
		Wait time.Duration
		Age  time.Duration // of what other nodes said of it
	}

	// Why tells why no server was picked.
	Why string
)

const (
	// Picked means that there is a choice.
	Picked Why = ""
	// NoServer means that the service has no server that isn't excluded.
	NoServer Why = "no-server"
	// NoModel means that no server holds the model.
	NoModel Why = "no-model"
	// Busy means that all servers that could run the request have no room now.
	Busy Why = "busy"
	// Limited means that all servers that could run the request have got as many as they
	// named as their limit.
	Limited Why = "limited"
	// Resting means that the servers that could run the request want none from this node now.
	Resting Why = "resting"
	// Leaving means that the server that was picked leaves.
	Leaving Why = "leaving"
	// NoAdapter means that servers hold the model but not the adapter.
	NoAdapter Why = "no-adapter"
)

// Pick picks a server for a request that no scheduler decides about. Where the server
// names a rate the request must be reserved.
func (p *Picture) Pick(now time.Time, r Request) (Choice, Why) {
	share := throttle.Share{Nodes: max(1, p.nodes), Part: 1}
	if r.Model != "" {
		share.Part = aloneShare
	}
	fit, wait, why := p.fit(now, r, func(s *server) time.Duration { return s.throttle.Opens(now, share) })
	if len(fit) == 0 {
		return Choice{Wait: wait}, why
	}
	s := p.cheapest(now, fit, r)
	return Choice{Server: s.Server, Wait: p.wait(now, s, r), Age: s.age(now)}, Picked
}

// PickRoom picks the cheapest of all servers where the request's prompt fits
// beside at most tokens prompt tokens that are unread, or alone, and where at
// most part of the slots are taken. It is for a picture that is exact in what
// all nodes sent.
func (p *Picture) PickRoom(now time.Time, r Request, tokens int, part float64) (Choice, Why) {
	fit, wait, why := p.fit(now, r, func(s *server) time.Duration { return s.throttle.Free(now) })
	if len(fit) == 0 {
		return Choice{Wait: wait}, why
	}
	var best *server
	least := 0.0
	p.rng.Shuffle(len(fit), func(i, j int) { fit[i], fit[j] = fit[j], fit[i] })
	for _, s := range fit {
		n := s.count(now)
		if n.Pending > 0 && n.Tokens+p.work(now, s, r) > tokens || float64(n.Pending+n.Running) >= part*float64(s.Slots) {
			continue
		}
		if c := p.cost(now, s, r); best == nil || c < least {
			best, least = s, c
		}
	}
	if best == nil {
		return Choice{}, Busy
	}
	return Choice{Server: best.Server, Wait: p.wait(now, best, r), Age: best.age(now)}, Picked
}

// Reserve counts a request to a server that was picked for it against the rate that the
// server names, so that no other is picked before the request is sent.
func (p *Picture) Reserve(now time.Time, id string) {
	if s := p.servers[id]; s != nil {
		s.throttle.Take(now)
	}
}

// fit returns the servers that could run the request: those that aren't
// avoided, or else all of them. The named rates of servers leave room after the
// time that limited returns. Where all servers are left out, fit returns the least
// time after which a rate or a rest leaves one.
func (p *Picture) fit(now time.Time, r Request, limited func(*server) time.Duration) ([]*server, time.Duration, Why) {
	h := p.holding(now, r.Service, held{r.Model, r.Adapter})
	fit := p.fitting[:0]
	var avoided []*server
	least, out := time.Duration(0), h.why
	if len(h.list) > 0 && out == NoModel {
		out = NoServer // others lack the model, but one that holds it is left out
	}
	for _, s := range h.list {
		wait, rest := limited(s), s.rest.Sub(now)
		switch {
		case r.Exclude[s.ID]:
		case rest > 0:
			out, least = Resting, sooner(least, rest)
		case wait > 0:
			out, least = Limited, sooner(least, wait)
		case now.Before(s.avoid):
			avoided = append(avoided, s)
		default:
			fit = append(fit, s)
		}
	}
	p.fitting = fit
	if len(fit) == 0 {
		fit = avoided
	}
	if len(fit) == 0 {
		return nil, least, out
	}
	return fit, 0, Picked
}

// sooner returns the shorter of two times, where zero stands for none.
func sooner(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// Limits returns the rates that servers name which could run the request, by server.
func (p *Picture) Limits(now time.Time, r Request) map[string]float64 {
	out := map[string]float64{}
	for _, s := range p.holding(now, r.Service, held{r.Model, r.Adapter}).list {
		if s.throttle.Limit().Active && !r.Exclude[s.ID] {
			out[s.ID] = s.throttle.Rate()
		}
	}
	return out
}

// holding returns the servers that hold an item. It looks at all servers only
// when what they hold has changed or may have.
func (p *Picture) holding(now time.Time, service string, item held) *holders {
	of := model{service, item.model}
	if h := p.holders[of][item.adapter]; h != nil && now.Sub(h.at) < holdersLife {
		return h
	}
	h := &holders{at: now, why: NoServer}
	for _, s := range p.groups[service] {
		switch {
		case item.model != "" && !s.holds(now, held{item.model, ""}):
			h.why = worse(h.why, NoModel)
		case item.adapter != "" && !s.holds(now, item):
			h.why = worse(h.why, NoAdapter)
		default:
			h.list = append(h.list, s)
		}
	}
	if p.holders[of] == nil {
		p.holders[of] = map[string]*holders{}
	}
	p.holders[of][item.adapter] = h
	return h
}

// worse returns the reason that tells more: a server that lacks only the
// adapter is nearer than one that lacks the model.
func worse(a, b Why) Why {
	if a == NoAdapter {
		return a
	}
	return b
}

// cheapest draws Choices servers and returns the one with the least cost.
func (p *Picture) cheapest(now time.Time, fit []*server, r Request) *server {
	n := min(Choices, len(fit))
	for i := range n {
		j := i + p.rng.IntN(len(fit)-i)
		fit[i], fit[j] = fit[j], fit[i]
	}
	best, least := fit[0], 0.0
	for i, s := range fit[:n] {
		c := p.cost(now, s, r)
		if i == 0 || c < least {
			best, least = s, c
		}
	}
	return best
}

// cost returns what decides between servers, in milliseconds.
func (p *Picture) cost(now time.Time, s *server, r Request) float64 {
	c := float64(p.wait(now, s, r)) / float64(time.Millisecond)
	if s.Zone != r.Zone {
		c = c*awayZone + 1
	}
	return c
}

// wait estimates the time until the server begins the request.
func (p *Picture) wait(now time.Time, s *server, r Request) time.Duration {
	n := s.count(now)
	if r.Model == "" {
		perSlot := float64(n.Pending+n.Running) / float64(max(1, s.Slots))
		base := float64(max(s.base, 5*time.Millisecond))
		return time.Duration(base * (0.2 + perSlot) * s.slowness)
	}
	tokens := n.Tokens + n.Running*runningTokens + p.work(now, s, r)
	return time.Duration(float64(tokens) / promptRate * s.slowness * float64(time.Millisecond))
}

// work returns what the server has to read, in tokens of a model of pace one.
func (p *Picture) work(now time.Time, s *server, r Request) int {
	return int(float64(s.missing(now, r)) * p.Pace(r.Model))
}

// missing returns the prompt tokens that the server has to read: what follows
// the first part that it isn't known to keep.
func (s *server) missing(now time.Time, r Request) int {
	n := r.Tokens
	for _, p := range r.Parts {
		at, ok := s.parts[partKey(r, p)]
		if !ok || now.Sub(at) > time.Minute {
			break
		}
		n -= p.Tokens
	}
	return max(0, n)
}

// partKey tells parts of different models and adapters apart, whose memory
// isn't shared.
func partKey(r Request, p Part) string { return r.Model + "/" + r.Adapter + "/" + p.ID }
