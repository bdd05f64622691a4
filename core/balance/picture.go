package balance

import (
	"math/rand/v2"
	"sort"
	"time"

	"guavapaddle/core/fleet"
)

const (
	// Choices is how many servers are drawn for one pick.
	Choices = 3

	// promptRate is the prompt tokens that an engine reads in a millisecond
	// before any was measured; the users' sheets say 19 to 22.
	promptRate = 20.0
	// paceFirst is the time from a send to the first byte beside the reading of
	// the prompt: the way, and the first steps of the engine.
	paceFirst = 12 * time.Millisecond
	// paceTokens is how long a prompt must be for its time to tell the pace.
	paceTokens = 400
	// paceLeast and paceMost bound what is learned; models differ by a factor of
	// three to four.
	paceLeast, paceMost = 0.15, 3.0
	// paceSmoothing is the part of a new sample in a model's learned pace.
	paceSmoothing = 0.1
	// runningTokens is what a running stream costs others, as prompt tokens: it
	// adds some 0.04 ms to each step of about 8 ms while a prompt of a thousand
	// tokens takes 50 ms.
	runningTokens = 40
	// othersLife is how long a digest of other nodes counts.
	othersLife = 1500 * time.Millisecond
	// reportLife is how long a server's own count counts.
	reportLife = 700 * time.Millisecond
	// avoidFirst and avoidMost bound how long a failed server is avoided.
	avoidFirst = 400 * time.Millisecond
	avoidMost  = 5 * time.Second
	// smoothing is the part of a new sample in a server's learned slowness.
	smoothing = 0.2
	// slownessMost bounds the learned slowness, so that one bad sample doesn't
	// shut a server out.
	slownessMost = 12.0
	// awayZone is the cost of another data centre: half a millisecond to 1.4 ms
	// each way, and the price of bytes between data centres.
	awayZone = 1.15
	// noteLife is how long an overlay on a server's entry counts: the entry
	// follows within a heartbeat of 1.2 s and a report's lag.
	noteLife = 3 * time.Second
	// holdersLife is how long a list of holders is used after which a note may
	// have ended.
	holdersLife = 100 * time.Millisecond
	// partsMost bounds the prompt parts remembered for a server.
	partsMost = 1024
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
		Wait   time.Duration // estimated until it begins the request
		Age    time.Duration // of what other nodes said of it
	}

	// Why tells why no server was picked.
	Why string

	// Result tells how a request at a server ended.
	Result int

	// Ticket is a request that is at a server.
	Ticket struct {
		server *server
		model  string
		read   int  // prompt tokens that the server has to read
		alone  bool // nothing else was unread there
		tokens int  // read, in tokens of a model of pace one
		sent   time.Time
		wait   time.Duration
		first  bool
		done   bool
	}

	// Count is what one or more nodes have at a server.
	Count struct {
		Pending int // requests without a first byte of their answer
		Running int
		Tokens  int // prompt tokens of the pending ones
	}

	// Picture is what a node knows of all backend servers.
	Picture struct {
		rng     *rand.Rand
		pace    map[string]float64 // by model: time to read a prompt, relative to promptRate
		servers map[string]*server
		groups  map[string][]*server // by service, in order of ids
		holders map[wanted]*holders  // found of late
		fitting []*server            // reused by each pick
	}

	server struct {
		fleet.Server
		own      Count
		others   Count
		othersAt time.Time
		report   Count
		reportAt time.Time
		failures int
		avoid    time.Time
		slowness float64
		base     time.Duration // learned time to the first byte, plain services
		notes    map[held]note
		parts    map[string]time.Time
	}

	// held names a model, or an adapter of it.
	held struct{ model, adapter string }

	// holders is the servers of a service that hold an item, as of a time.
	holders struct {
		list []*server
		at   time.Time
		why  Why // there are none
	}

	// wanted is an item of a service.
	wanted struct {
		service string
		held
	}

	// note overlays the server's entry for one model or adapter.
	note struct {
		held  bool
		until time.Time
	}
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
	// NoAdapter means that servers hold the model but not the adapter.
	NoAdapter Why = "no-adapter"
)

const (
	// Good means that the server answered.
	Good Result = iota
	// Full means that the server said that it had no room.
	Full
	// Broken means that the server could not be reached or broke off.
	Broken
	// Dropped means that the client or the node gave the request up.
	Dropped
	// Failed means that the server answered with an error of its own.
	Failed
)

// New returns an empty picture that draws from rng.
func New(rng *rand.Rand) *Picture {
	return &Picture{rng: rng, pace: map[string]float64{}, servers: map[string]*server{}, groups: map[string][]*server{},
		holders: map[wanted]*holders{}}
}

// Update replaces the list of servers and keeps what is known of those that
// stay.
func (p *Picture) Update(list []fleet.Server) {
	servers := make(map[string]*server, len(list))
	groups := map[string][]*server{}
	for _, f := range list {
		s := p.servers[f.ID]
		if s == nil {
			s = &server{slowness: 1, notes: map[held]note{}, parts: map[string]time.Time{}}
		}
		s.Server = f
		servers[f.ID] = s
		if !f.Leaving {
			groups[f.Service] = append(groups[f.Service], s)
		}
	}
	for _, g := range groups {
		sort.Slice(g, func(i, j int) bool { return g[i].ID < g[j].ID })
	}
	p.servers, p.groups = servers, groups
	clear(p.holders)
}

// Server returns a server by its id.
func (p *Picture) Server(id string) (fleet.Server, bool) {
	s := p.servers[id]
	if s == nil {
		return fleet.Server{}, false
	}
	return s.Server, true
}

// Holds tells whether a server holds a model or adapter, by its entry and by
// what was noted since.
func (p *Picture) Holds(now time.Time, id, model, adapter string) bool {
	s := p.servers[id]
	return s != nil && s.holds(now, held{model, ""}) && (adapter == "" || s.holds(now, held{model, adapter}))
}

// Pick picks a server for a request.
func (p *Picture) Pick(now time.Time, r Request) (Choice, Why) {
	fit, why := p.fit(now, r)
	if len(fit) == 0 {
		return Choice{}, why
	}
	s := p.cheapest(now, fit, r)
	return Choice{Server: s.Server, Wait: p.wait(now, s, r), Age: s.age(now)}, Picked
}

// PickRoom picks the cheapest of all servers where the request's prompt fits
// beside at most tokens prompt tokens that are unread, or alone, and where at
// most part of the slots are taken. It is for a picture that is exact in what
// all nodes sent.
func (p *Picture) PickRoom(now time.Time, r Request, tokens int, part float64) (Choice, Why) {
	fit, why := p.fit(now, r)
	if len(fit) == 0 {
		return Choice{}, why
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

// fit returns the servers that could run the request: those that aren't
// avoided, or else all of them.
func (p *Picture) fit(now time.Time, r Request) ([]*server, Why) {
	h := p.holding(now, wanted{r.Service, held{r.Model, r.Adapter}})
	fit := p.fitting[:0]
	var avoided []*server
	for _, s := range h.list {
		switch {
		case r.Exclude[s.ID]:
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
	return fit, h.why
}

// holding returns the servers that hold an item. It looks at all servers only
// when what they hold has changed or may have.
func (p *Picture) holding(now time.Time, w wanted) *holders {
	if h := p.holders[w]; h != nil && now.Sub(h.at) < holdersLife {
		return h
	}
	h := &holders{at: now, why: NoServer}
	for _, s := range p.groups[w.service] {
		switch {
		case w.model != "" && !s.holds(now, held{w.model, ""}):
			h.why = worse(h.why, NoModel)
		case w.adapter != "" && !s.holds(now, w.held):
			h.why = worse(h.why, NoAdapter)
		default:
			h.list = append(h.list, s)
		}
	}
	p.holders[w] = h
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

// Pace returns how long a model's prompts take to be read, relative to
// promptRate; 1 before it was learned.
func (p *Picture) Pace(model string) float64 {
	if v, ok := p.pace[model]; ok {
		return v
	}
	return 1
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

// count returns the larger of what the nodes and the server itself tell.
func (s *server) count(now time.Time) Count {
	n := s.own
	if now.Sub(s.othersAt) < othersLife {
		n.Pending += s.others.Pending
		n.Running += s.others.Running
		n.Tokens += s.others.Tokens
	}
	if now.Sub(s.reportAt) < reportLife {
		if s.report.Pending > n.Pending {
			n.Tokens += (s.report.Pending - n.Pending) * 1000
			n.Pending = s.report.Pending
		}
		n.Running = max(n.Running, s.report.Running)
	}
	return n
}

// age returns the age of what other nodes said.
func (s *server) age(now time.Time) time.Duration {
	if s.othersAt.IsZero() {
		return -1
	}
	return now.Sub(s.othersAt)
}

// holds tells whether the server has a model or adapter, by its entry and by
// what was noted since.
func (s *server) holds(now time.Time, h held) bool {
	if n, ok := s.notes[h]; ok && now.Before(n.until) {
		return n.held
	}
	return s.Holds(h.model, h.adapter)
}

// Note overlays a server's entry: it holds, or lacks, a model or adapter.
func (p *Picture) Note(now time.Time, id, model, adapter string, has bool) {
	if s := p.servers[id]; s != nil {
		s.notes[held{model, adapter}] = note{held: has, until: now.Add(noteLife)}
		clear(p.holders)
	}
}

// Sent notes that a request goes to a server. It returns nil if the server is
// gone, which the other methods take.
func (p *Picture) Sent(now time.Time, id string, r Request) *Ticket {
	s := p.servers[id]
	if s == nil {
		return nil
	}
	t := &Ticket{server: s, model: r.Model, read: s.missing(now, r), alone: s.count(now).Pending == 0,
		tokens: p.work(now, s, r), sent: now, wait: p.wait(now, s, r)}
	s.own.Pending++
	s.own.Tokens += t.tokens
	if len(s.parts) > partsMost {
		clear(s.parts)
	}
	for _, part := range r.Parts {
		s.parts[partKey(r, part)] = now
	}
	return t
}

// First notes the first byte of an answer.
func (p *Picture) First(now time.Time, t *Ticket) {
	if t == nil || t.first || t.done {
		return
	}
	t.first = true
	t.server.own.Pending--
	t.server.own.Tokens -= t.tokens
	t.server.own.Running++
	t.server.learn(now.Sub(t.sent), t)
	p.learn(now.Sub(t.sent), t)
}

// learn takes the pace of a model from a prompt that was read alone.
func (p *Picture) learn(took time.Duration, t *Ticket) {
	if t.model == "" || !t.alone || t.read < paceTokens {
		return
	}
	one := float64(t.read) / promptRate * float64(time.Millisecond)
	sample := min(max(float64(took-paceFirst)/one, paceLeast), paceMost)
	p.pace[t.model] = p.Pace(t.model) + paceSmoothing*(sample-p.Pace(t.model))
}

// learn compares the time to the first byte with the estimate.
func (s *server) learn(took time.Duration, t *Ticket) {
	if t.tokens == 0 && t.wait < 50*time.Millisecond {
		if s.base == 0 {
			s.base = took
		}
		s.base += time.Duration(smoothing * float64(took-s.base))
	}
	ratio := float64(took) / float64(max(t.wait, 40*time.Millisecond))
	ratio = min(max(ratio, 0.5), slownessMost)
	s.slowness += smoothing * (ratio*s.slowness - s.slowness)
	s.slowness = min(max(s.slowness, 0.5), slownessMost)
}

// Done notes the end of a request at a server.
func (p *Picture) Done(now time.Time, t *Ticket, r Result) {
	if t == nil || t.done {
		return
	}
	t.done = true
	s := t.server
	if t.first {
		s.own.Running--
	} else {
		s.own.Pending--
		s.own.Tokens -= t.tokens
	}
	switch r {
	case Good:
		s.failures = 0
		s.avoid = time.Time{}
	case Broken, Failed:
		s.failures++
		if r == Broken || s.failures > 1 {
			s.avoid = now.Add(min(avoidFirst<<min(s.failures-1, 8), avoidMost))
		}
	case Full:
		s.avoid = now.Add(avoidFirst / 8)
	}
}

// Report notes a server's own count of its requests.
func (p *Picture) Report(now time.Time, id string, running, waiting int) {
	if s := p.servers[id]; s != nil {
		s.report = Count{Pending: waiting, Running: running}
		s.reportAt = now
	}
}

// Own returns what this node has at each server where it has anything.
func (p *Picture) Own() map[string]Count {
	out := map[string]Count{}
	for id, s := range p.servers {
		if s.own != (Count{}) {
			out[id] = s.own
		}
	}
	return out
}

// Others notes what the other nodes have at the servers together.
func (p *Picture) Others(now time.Time, counts map[string]Count) {
	for id, s := range p.servers {
		s.others = counts[id]
		s.othersAt = now
	}
}
