package call

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"guavapaddle/core/config"
	"guavapaddle/core/outcome"
)

const (
	// DefaultCooldown is how long a server that was unreachable, lost a call or
	// refused one is picked only if there is no other.
	DefaultCooldown = 2 * time.Second
)

type (
	// Pool picks servers of plain services. Of two servers drawn at random it
	// picks the one with fewer calls in flight from this node. The zero value
	// has no servers. Pool is safe for concurrent use.
	Pool struct {
		Cooldown time.Duration

		mu      sync.Mutex
		members map[string][]*member // by service
	}

	// member is one server of a service.
	member struct {
		server    config.BackendServer
		leaving   bool
		inflight  int
		coolUntil time.Time // end of the cooldown; until then other servers are preferred
	}
)

// Set replaces the servers by those of a configuration. Leaving servers get no
// new calls. The state of servers that remain at the same address is kept.
func (p *Pool) Set(servers []config.BackendServer, leaving func(name string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := map[string]*member{}
	for _, all := range p.members {
		for _, m := range all {
			known[m.server.Name] = m
		}
	}
	p.members = map[string][]*member{}
	for _, s := range servers {
		if s.Type != config.Service {
			continue
		}
		m := known[s.Name]
		if m == nil || m.server.Address != s.Address {
			m = &member{}
		}
		m.server, m.leaving = s, leaving(s.Name)
		p.members[s.Service] = append(p.members[s.Service], m)
	}
}

// Pick implements Servers.
func (p *Pool) Pick(service string, avoid []string) (config.BackendServer, func(*outcome.Error), bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.selectMember(service, avoid)
	if m == nil {
		return config.BackendServer{}, nil, false
	}
	m.inflight++
	var once sync.Once
	return m.server, func(e *outcome.Error) { once.Do(func() { p.callEnded(m, e) }) }, true
}

// selectMember returns a member that is neither avoided nor in cooldown if there
// is one, else one that is not avoided, else any. Leaving members are never
// returned.
func (p *Pool) selectMember(service string, avoid []string) *member {
	now := time.Now()
	var available, cooling, avoided []*member
	for _, m := range p.members[service] {
		switch {
		case m.leaving:
		case slices.Contains(avoid, m.server.Name):
			avoided = append(avoided, m)
		case now.Before(m.coolUntil):
			cooling = append(cooling, m)
		default:
			available = append(available, m)
		}
	}
	for _, set := range [][]*member{available, cooling, avoided} {
		if len(set) > 0 {
			return lessLoaded(set)
		}
	}
	return nil
}

// lessLoaded draws two members at random and returns the one with fewer calls in
// flight.
func lessLoaded(set []*member) *member {
	a, b := set[rand.IntN(len(set))], set[rand.IntN(len(set))]
	if b.inflight < a.inflight {
		return b
	}
	return a
}

// callEnded records the end of a call and starts the cooldown of a server that
// failed.
func (p *Pool) callEnded(m *member, e *outcome.Error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.inflight--
	if e == nil {
		return
	}
	switch e.Reason {
	case outcome.BackendUnreachable, outcome.BackendLost, outcome.BackendRefused:
		m.coolUntil = time.Now().Add(p.cooldown())
	}
}

// cooldown returns the configured cooldown or its default.
func (p *Pool) cooldown() time.Duration {
	if p.Cooldown == 0 {
		return DefaultCooldown
	}
	return p.Cooldown
}
