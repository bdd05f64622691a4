// Package services picks backend servers of plain services and speaks to them.
//
// # Method
//
// Of the servers that take new work the one with the fewest requests of this
// node in flight is picked, at random among equals. A server that could not be
// reached or lost a call is passed over for Rest, unless no other is left. A
// server that refuses because it leaves gets no new work until the VM list or
// a later answer says otherwise.
//
// # Usage
//
//	p := &services.Picker{Index: index, Leaving: views.Leaving}
//	s, done, found := p.Pick("bookings", nil)
//	answer, err := backend.Send(ctx, s, request)
//	done(err == nil)
package services

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"guavapaddle/core/config"
	"guavapaddle/core/outcome"
	"guavapaddle/internal/call"
	"guavapaddle/io/service"
)

const (
	// DefaultRest is how long a server that failed is passed over.
	DefaultRest = 2 * time.Second

	refusedRetry = time.Second
)

type (
	// Picker picks servers. Its fields are set before the first Pick.
	Picker struct {
		Index   func() *config.Index // nil if there is no configuration
		Leaving func(server string) bool
		Rest    time.Duration

		mu     sync.Mutex
		flight map[string]int
		failed map[string]time.Time
	}

	// Backend sends calls to servers of plain services.
	Backend struct {
		mu      sync.Mutex
		clients map[string]*service.Client // by address
	}

	// rank orders candidates: the lowest is picked.
	rank struct {
		server config.BackendServer
		bad    int // 2 to avoid, 1 failed lately, 0 otherwise
		flight int
		luck   uint64
	}
)

// Pick implements call.Servers.
func (p *Picker) Pick(name string, avoid []string) (config.BackendServer, func(bool), bool) {
	x := p.Index()
	if x == nil {
		return config.BackendServer{}, nil, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.flight == nil {
		p.flight, p.failed = map[string]int{}, map[string]time.Time{}
	}
	var ranks []rank
	for _, s := range x.Document().Servers {
		if s.Type == config.Service && s.Service == name && !p.Leaving(s.Name) {
			ranks = append(ranks, p.rank(s, avoid))
		}
	}
	if len(ranks) == 0 {
		return config.BackendServer{}, nil, false
	}
	best := slices.MinFunc(ranks, compare).server
	p.flight[best.Name]++
	var once sync.Once
	return best, func(ok bool) { once.Do(func() { p.done(best.Name, ok) }) }, true
}

func (p *Picker) rank(s config.BackendServer, avoid []string) rank {
	r := rank{server: s, flight: p.flight[s.Name], luck: rand.Uint64()}
	rest := p.Rest
	if rest == 0 {
		rest = DefaultRest
	}
	switch {
	case slices.Contains(avoid, s.Name):
		r.bad = 2
	case time.Since(p.failed[s.Name]) < rest:
		r.bad = 1
	}
	return r
}

func compare(a, b rank) int {
	if a.bad != b.bad {
		return a.bad - b.bad
	}
	if a.flight != b.flight {
		return a.flight - b.flight
	}
	if a.luck < b.luck {
		return -1
	}
	return 1
}

func (p *Picker) done(name string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.flight[name]--
	if ok {
		delete(p.failed, name)
		return
	}
	p.failed[name] = time.Now()
}

// Send implements call.Backend.
func (b *Backend) Send(ctx context.Context, s config.BackendServer, r call.Request) (call.Answer, error) {
	resp, err := b.client(s.Address).Do(ctx, service.Request{
		Method:         r.Method,
		Path:           r.Path,
		RequestID:      r.RequestID,
		IdempotencyKey: r.IdempotencyKey,
		Header:         r.Header,
		Body:           r.Body,
		Repeatable:     r.Kind.Repeatable,
	})
	if err != nil {
		return call.Answer{}, judge(err)
	}
	return call.Answer{Status: resp.Status, Header: resp.Header, Body: resp.Body, Server: s.Name}, nil
}

// judge turns an error of the client into an outcome.
func judge(err error) *outcome.Error {
	switch kind := service.KindOf(err); {
	case kind == service.NotSent && service.NotRun(err):
		return outcome.Refuse(outcome.BackendUnreachable, err.Error(), refusedRetry)
	case service.NotRun(err):
		return outcome.Refuse(outcome.BackendRefused, err.Error(), refusedRetry)
	case kind == service.Cancelled:
		return outcome.Unsure(outcome.CallerGone, err.Error())
	case kind == service.WrongRequest, kind == service.Malformed:
		return outcome.Unsure(outcome.BackendCut, err.Error())
	default:
		return outcome.Unsure(outcome.BackendLost, err.Error())
	}
}

func (b *Backend) client(address string) *service.Client {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.clients == nil {
		b.clients = map[string]*service.Client{}
	}
	c := b.clients[address]
	if c == nil {
		c = &service.Client{Address: address}
		b.clients[address] = c
	}
	return c
}
