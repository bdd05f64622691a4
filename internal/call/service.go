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
	// noTimeout is longer than any call, so that only the context bounds a call.
	noTimeout = 24 * time.Hour
	// retryAfterRefused is the retry delay given to a caller whose call no
	// server accepted.
	retryAfterRefused = time.Second
)

// unforwardedHeaders are the headers that concern one connection or hold the
// caller's key.
var unforwardedHeaders = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host",
}

// Services implements Backend and Prober over io/service. The zero value is
// ready to use. Services is safe for concurrent use.
type Services struct {
	mu      sync.Mutex
	clients map[string]*service.Client
}

// Send implements Backend.
func (s *Services) Send(ctx context.Context, b config.BackendServer, r Request) (Response, error) {
	resp, err := s.client(b.Address).Do(ctx, service.Request{
		Method: r.Method, Path: r.Path, RequestID: r.RequestID, IdempotencyKey: r.IdempotencyKey,
		Header: forwardedHeaders(r.Header), Body: r.Body, Repeatable: r.Kind.Repeatable,
	})
	if err != nil {
		return Response{}, classify(ctx, err)
	}
	if r.Kind.Repeatable && overloaded(resp.Status) {
		return Response{}, outcome.Fail(outcome.BackendFailed, http.StatusText(resp.Status))
	}
	return Response{Status: resp.Status, Header: forwardedHeaders(resp.Header), Body: resp.Body}, nil
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

// Retain closes the clients of all addresses that are not given.
func (s *Services) Retain(addresses []string) {
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

// client returns the client of an address, which it creates if necessary.
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

// classify maps a failure of io/service to the error returned to the caller.
// Only a call that provably did not run is reported as not run.
func classify(ctx context.Context, err error) *outcome.Error {
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

// overloaded reports whether a status suggests that another server may succeed.
func overloaded(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// forwardedHeaders returns h without the headers that are not forwarded.
func forwardedHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range unforwardedHeaders {
		out.Del(name)
	}
	return out
}
