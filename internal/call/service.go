package call

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"guavapaddle/core/config"
	"guavapaddle/core/outcome"
	"guavapaddle/io/service"
)

const (
	// noTimeout leaves the bound of a call to its context.
	noTimeout = 24 * time.Hour
	// retryAfterRefused is when a caller may come back whose call the servers
	// did not take.
	retryAfterRefused = time.Second
)

// dropped are the headers that concern one connection or the caller's key and
// are not passed on.
var dropped = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host",
}

// Services is the Backend and Prober that speaks io/service. The zero value is
// ready; it is safe for concurrent use.
type Services struct {
	mu      sync.Mutex
	clients map[string]*service.Client
}

// Send implements Backend.
func (s *Services) Send(ctx context.Context, b config.BackendServer, r Request) (Answer, error) {
	resp, err := s.client(b.Address).Do(ctx, service.Request{
		Method: r.Method, Path: r.Path, RequestID: r.RequestID, IdempotencyKey: r.IdempotencyKey,
		Header: passed(r.Header), Body: r.Body, Repeatable: r.Kind.Repeatable,
	})
	if err != nil {
		return Answer{}, judge(ctx, err)
	}
	if r.Kind.Repeatable && overloaded(resp.Status) {
		return Answer{}, outcome.Fail(outcome.BackendFailed, http.StatusText(resp.Status))
	}
	return Answer{Status: resp.Status, Header: passed(resp.Header), Body: resp.Body}, nil
}

// Alive implements Prober.
func (s *Services) Alive(ctx context.Context, b config.BackendServer) bool {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", b.Address)
	if err != nil {
		return false
	}
	return c.Close() == nil
}

// Keep closes the clients of all other addresses than those given.
func (s *Services) Keep(addresses []string) {
	keep := map[string]bool{}
	for _, a := range addresses {
		keep[a] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for a, c := range s.clients {
		if !keep[a] {
			c.Close()
			delete(s.clients, a)
		}
	}
}

// client returns the client of an address.
func (s *Services) client(address string) *service.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clients == nil {
		s.clients = map[string]*service.Client{}
	}
	c := s.clients[address]
	if c == nil {
		c = &service.Client{Address: address, Timeout: noTimeout}
		s.clients[address] = c
	}
	return c
}

// judge returns what a failure of io/service means for the caller. Only what is
// proven not to have run is called so.
func judge(ctx context.Context, err error) *outcome.Error {
	switch service.KindOf(err) {
	case service.NotSent:
		return outcome.Refuse(outcome.BackendUnreachable, err.Error(), retryAfterRefused)
	case service.Refused:
		return outcome.Refuse(outcome.BackendRefused, err.Error(), retryAfterRefused)
	case service.Malformed:
		return outcome.Unconfirmed(outcome.BackendCut, err.Error())
	case service.WrongRequest:
		return outcome.Unconfirmed(outcome.BackendFailed, err.Error())
	case service.Cancelled:
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return outcome.Unconfirmed(outcome.CallerGone, err.Error())
		}
	}
	return outcome.Unconfirmed(outcome.BackendLost, err.Error())
}

// overloaded tells whether another server may answer better.
func overloaded(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// passed returns the headers that are passed on.
func passed(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range dropped {
		out.Del(name)
	}
	return out
}
