package balance

import (
	"iter"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"guavapaddle/core/fleet"
	"guavapaddle/core/speed"
	"guavapaddle/core/throttle"
)

const (
	// remoteCountsTTL is how long a load report from other nodes is used.
	remoteCountsTTL = 1500 * time.Millisecond
	// serverReportTTL is how long a server's own count of its requests is used.
	serverReportTTL = 700 * time.Millisecond
	// residencyTTL is how long a residency update overrides a server's store entry. The entry is
	// rewritten within a heartbeat of 1.2 s and the delay of a report.
	residencyTTL = 3 * time.Second
	// maxRemoved bounds the servers that are remembered after they disappeared from the list.
	maxRemoved = 256
)

type (
	// Count is the number of requests that one or more nodes have at a server.
	Count struct {
		Pending int // requests still waiting for the first byte of their answer
		Running int
		Tokens  int // prompt tokens of the pending requests
		Granted int // running requests that the current granter counts itself
	}

	// Picker tracks the load of all backend servers and picks a server for each request.
	Picker struct {
		rng         *rand.Rand
		prefillTime map[string]float64 // by model: time to read a prompt, relative to defaultPrefillRate
		servers     map[string]*server
		byService   map[string][]*server          // sorted by ID
		byModel     map[model][]*server           // those of byService that may hold a model, by their entries or updates
		holders     map[model]map[string]*holders // cache, by model and adapter
		eligibleBuf []*server                     // reused by each pick
		nodes       int                           // number of nodes that pick on their own, 0 if unknown

		baselines    speed.Baselines
		speedGranter int64 // granter that got the last speed reports

		rateFraction float64 // fraction of the rates named by servers that is used

		// removed holds servers that disappeared from the list, oldest first. Their state is
		// restored if they reappear: the store may lose the entry of a server that is still alive.
		removed []*server
	}

	server struct {
		fleet.Server
		local           Count
		granted         map[int64]int // running requests of this node, by granter
		remote          Count
		remoteAt        time.Time
		report          Count
		reportAt        time.Time
		failures        int
		avoidUntil      time.Time
		slowness        float64       // factor for estimates of the time to the first byte, learned from recent answers
		baseLatency     time.Duration // learned time to the first byte, plain services only
		residency       map[resident]residencyUpdate
		segments        map[string]time.Time
		throttle        throttle.Throttle
		nextUnscheduled time.Time // when a brittle server may get the next request that no scheduler has granted
		backoff         time.Time // until when the server asked this node to send no requests
		speed           speedState
	}

	// resident identifies a model or adapter that a server may hold.
	resident struct{ model, adapter string }

	// holders is the servers of a service that hold an item, as of a time.
	holders struct {
		list   []*server
		at     time.Time
		reason Reason // why the list is empty
	}

	// model identifies a model of a service.
	model struct{ service, name string }

	// residencyUpdate overrides a server's store entry for one model or adapter.
	residencyUpdate struct {
		resident bool
		until    time.Time
	}
)

// New returns an empty picker that uses rng for its random choices.
func New(rng *rand.Rand) *Picker {
	return &Picker{rng: rng, prefillTime: map[string]float64{}, servers: map[string]*server{}, byService: map[string][]*server{},
		byModel: map[model][]*server{}, holders: map[model]map[string]*holders{}, rateFraction: 1}
}

// Update replaces the list of servers. State is kept for servers that stay or reappear; a server
// that has restarted under the same ID counts as new.
func (p *Picker) Update(list []fleet.Server) {
	servers := make(map[string]*server, len(list))
	byService := map[string][]*server{}
	for _, f := range list {
		s := p.servers[f.ID]
		if s == nil {
			s = p.takeRemoved(f.ID)
		}
		if s == nil || s.StartedAtMS != f.StartedAtMS {
			if s != nil {
				p.baselines.Forget(f.ID)
			}
			s = &server{slowness: 1, granted: map[int64]int{}, residency: map[resident]residencyUpdate{}, segments: map[string]time.Time{},
				throttle: throttle.New(p.rng.Float64())}
		}
		s.Server = f
		servers[f.ID] = s
		if !f.Leaving && !f.GrantOnly {
			byService[f.Service] = append(byService[f.Service], s)
		}
	}
	for _, g := range byService {
		sort.Slice(g, func(i, j int) bool { return g[i].ID < g[j].ID })
	}
	for id, s := range p.servers {
		if servers[id] == nil {
			p.removed = append(p.removed, s)
		}
	}
	if n := len(p.removed) - maxRemoved; n > 0 {
		p.removed = slices.Delete(p.removed, 0, n)
	}
	p.servers, p.byService = servers, byService
	p.indexModels()
	clear(p.holders)
}

// indexModels builds byModel. A search of all engines for the holders of each item took time that grew with
// the product of requests and engines.
func (p *Picker) indexModels() {
	p.byModel = map[model][]*server{}
	for service, list := range p.byService {
		for _, s := range list {
			for _, h := range s.Resident {
				p.addToModel(model{service, h.Model}, s)
			}
			for h := range s.residency {
				p.addToModel(model{service, h.model}, s)
			}
		}
	}
}

// addToModel adds a server to the servers that may hold a model, unless it was the last one added.
func (p *Picker) addToModel(m model, s *server) {
	if list := p.byModel[m]; len(list) == 0 || list[len(list)-1] != s {
		p.byModel[m] = append(list, s)
	}
}

// takeRemoved takes the server with an ID from the removed servers and returns it, or nil if there
// is none.
func (p *Picker) takeRemoved(id string) *server {
	i := slices.IndexFunc(p.removed, func(s *server) bool { return s.ID == id })
	if i < 0 {
		return nil
	}
	s := p.removed[i]
	p.removed = slices.Delete(p.removed, i, i+1)
	return s
}

// Server returns a server by its ID.
func (p *Picker) Server(id string) (fleet.Server, bool) {
	s := p.servers[id]
	if s == nil {
		return fleet.Server{}, false
	}
	return s.Server, true
}

// ResidentModels yields the models that a server may hold according to its store entry or to later
// residency updates. A model may be yielded twice.
func (p *Picker) ResidentModels(id string) iter.Seq[string] {
	return func(yield func(string) bool) {
		s := p.servers[id]
		if s == nil {
			return
		}
		for _, h := range s.Resident {
			if !yield(h.Model) {
				return
			}
		}
		for h := range s.residency {
			if h.adapter == "" && !yield(h.model) {
				return
			}
		}
	}
}

// Holds reports whether a server holds a model or adapter according to its store entry and later
// residency updates.
func (p *Picker) Holds(now time.Time, id, model, adapter string) bool {
	s := p.servers[id]
	return s != nil && s.holds(now, resident{model, ""}) && (adapter == "" || s.holds(now, resident{model, adapter}))
}

// count returns the larger of the nodes' combined count and the server's own count.
func (s *server) count(now time.Time) Count {
	n := s.local
	if now.Sub(s.remoteAt) < remoteCountsTTL {
		n.Pending += s.remote.Pending
		n.Running += s.remote.Running
		n.Tokens += s.remote.Tokens
	}
	if now.Sub(s.reportAt) < serverReportTTL {
		if s.report.Pending > n.Pending {
			n.Tokens += (s.report.Pending - n.Pending) * 1000 // the report has no token count
			n.Pending = s.report.Pending
		}
		n.Running = max(n.Running, s.report.Running)
	}
	return n
}

// age returns the age of the latest load report from other nodes, or -1 if there is none.
func (s *server) age(now time.Time) time.Duration {
	if s.remoteAt.IsZero() {
		return -1
	}
	return now.Sub(s.remoteAt)
}

// holds reports whether the server has a model or adapter according to its store entry and later
// residency updates.
func (s *server) holds(now time.Time, h resident) bool {
	if n, ok := s.residency[h]; ok && now.Before(n.until) {
		return n.resident
	}
	return s.Holds(h.model, h.adapter)
}

// SetResidency overrides a server's store entry: the server holds, or lacks, a model or adapter.
func (p *Picker) SetResidency(now time.Time, id, name, adapter string, has bool) {
	s := p.servers[id]
	if s == nil {
		return
	}
	s.residency[resident{name, adapter}] = residencyUpdate{resident: has, until: now.Add(residencyTTL)}
	m := model{s.Service, name}
	delete(p.holders, m)
	if has && !s.Leaving && !s.GrantOnly && !slices.Contains(p.byModel[m], s) {
		p.byModel[m] = append(p.byModel[m], s)
	}
}

// ServerReport records a server's own count of its requests.
func (p *Picker) ServerReport(now time.Time, id string, running, waiting int) {
	if s := p.servers[id]; s != nil {
		s.report = Count{Pending: waiting, Running: running}
		s.reportAt = now
	}
}

// LearnLimit records the rate limit that a server named or withdrew. It reports whether the limit
// changed.
func (p *Picker) LearnLimit(id string, l throttle.Limit) bool {
	l.Rate *= p.rateFraction
	s := p.servers[id]
	if s == nil {
		return false
	}
	wasBrittle := s.isBrittle()
	changed := s.throttle.Learn(l)
	if !wasBrittle {
		p.delayUnscheduled(l.At, s)
	}
	return changed
}

// Limit returns the latest limit of a server, and false if the server isn't known.
func (p *Picker) Limit(id string) (throttle.Limit, bool) {
	s := p.servers[id]
	if s == nil {
		return throttle.Limit{}, false
	}
	return s.throttle.Limit(), true
}

// BackOff records that a server asked this node to send no requests until a given time.
func (p *Picker) BackOff(id string, until time.Time) {
	if s := p.servers[id]; s != nil && until.After(s.backoff) {
		s.backoff = until
	}
}

// InBackoff returns the servers of a service that have asked this node to back off.
func (p *Picker) InBackoff(now time.Time, service string) []string {
	var out []string
	for _, s := range p.byService[service] {
		if now.Before(s.backoff) {
			out = append(out, s.ID)
		}
	}
	return out
}

// Withheld reports whether a server that was picked must not get the request any more, and why: it
// has started to leave, or asked for backoff.
func (p *Picker) Withheld(now time.Time, id string) (Reason, bool) {
	s := p.servers[id]
	switch {
	case s == nil:
		return Picked, false
	case s.Leaving:
		return Leaving, true
	case now.Before(s.backoff):
		return Backoff, true
	default:
		return Picked, false
	}
}

// KnownLimits returns the limits of servers that name a rate or are brittle now, or that withdrew such a
// limit after the time since.
func (p *Picker) KnownLimits(since time.Time) map[string]throttle.Limit {
	out := map[string]throttle.Limit{}
	for id, s := range p.servers {
		if l := s.throttle.Limit(); l.Active || l.Brittle || l.At.After(since) {
			out[id] = l
		}
	}
	return out
}

// SetRateFraction sets the fraction, above zero, that is used of each rate named from now on. The
// default is 1.
func (p *Picker) SetRateFraction(fraction float64) { p.rateFraction = fraction }

// SetNodes sets how many nodes pick servers on their own and share the rates named by servers.
func (p *Picker) SetNodes(nodes int) { p.nodes = nodes }

// LocalCounts returns the counts of this node for each server where it has requests, with the
// number of running requests that the given granter counts itself.
func (p *Picker) LocalCounts(granter int64) map[string]Count {
	out := map[string]Count{}
	for id, s := range p.servers {
		if s.local != (Count{}) {
			c := s.local
			c.Granted = s.granted[granter]
			out[id] = c
		}
	}
	return out
}

// InUse returns the addresses of up to limit servers at which this node has requests.
func (p *Picker) InUse(limit int) []string {
	var out []string
	for _, s := range p.servers {
		if len(out) == limit {
			break
		}
		if s.local.Pending+s.local.Running > 0 {
			out = append(out, s.Address)
		}
	}
	return out
}

// SetRemoteCounts records the combined counts of the other nodes at each server.
func (p *Picker) SetRemoteCounts(now time.Time, counts map[string]Count) {
	for id, s := range p.servers {
		s.remote = counts[id]
		s.remoteAt = now
	}
}
