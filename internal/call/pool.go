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
	// DefaultCooldown is how long a server that could not be reached, lost a
	// call or refused one is picked only if there is no other.
	DefaultCooldown = 2 * time.Second
)

type (
	// Pool picks servers of plain services: of two drawn at random the one with
	// fewer calls in flight from this node. The zero value has no servers; it
	// is safe for concurrent use.
	Pool struct {
		Cooldown time.Duration

		mu      sync.Mutex
		members map[string][]*member // by service
	}

	// member is one server of a service.
	member struct {
		server   config.BackendServer
		leaving  bool
		inflight int
		cool     time.Time // not picked before, if there is another
	}
)

// Set puts the servers of a configuration in place, with those that are leaving,
// which get no new calls. What is known of servers that stay is kept.
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
	m := p.best(service, avoid)
	if m == nil {
		return config.BackendServer{}, nil, false
	}
	m.inflight++
	var once sync.Once
	return m.server, func(e *outcome.Error) { once.Do(func() { p.ended(m, e) }) }, true
}

// best returns the member to use: not avoided and not cooling if there is one,
// else not avoided, else any.
func (p *Pool) best(service string, avoid []string) *member {
	now := time.Now()
	var good, cooling, avoided []*member
	for _, m := range p.members[service] {
		switch {
		case m.leaving:
		case slices.Contains(avoid, m.server.Name):
			avoided = append(avoided, m)
		case now.Before(m.cool):
			cooling = append(cooling, m)
		default:
			good = append(good, m)
		}
	}
	for _, set := range [][]*member{good, cooling, avoided} {
		if len(set) > 0 {
			return lesser(set)
		}
	}
	return nil
}

// lesser returns the member with fewer calls in flight of two drawn at random.
func lesser(set []*member) *member {
	a, b := set[rand.IntN(len(set))], set[rand.IntN(len(set))]
	if b.inflight < a.inflight {
		return b
	}
	return a
}

// ended notes the end of a call.
func (p *Pool) ended(m *member, e *outcome.Error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.inflight--
	if e == nil {
		return
	}
	switch e.Reason {
	case outcome.BackendUnreachable, outcome.BackendLost, outcome.BackendRefused:
		m.cool = time.Now().Add(p.cooldown())
	}
}

// cooldown returns the setting or its default.
func (p *Pool) cooldown() time.Duration {
	if p.Cooldown == 0 {
		return DefaultCooldown
	}
	return p.Cooldown
}
