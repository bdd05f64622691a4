package jsonhttp

import (
	"sync"

	"guavapaddle/io/http1"
	"guavapaddle/io/tcp"
)

const (
	// maxBackendBody is the limit of a backend server's response body, in bytes.
	maxBackendBody = 16 << 20
	// maxBackendBodies bounds the memory of the response bodies of all backend servers that are being read, in bytes. The buffer of a body may be
	// twice as large as what it holds.
	maxBackendBodies = 2 * maxBackendBody
)

// backendBodies is shared by the clients of all backend servers.
var backendBodies = &http1.Buffers{Max: maxBackendBodies}

// Lazy creates a Client on first use, for an address that is only known then. Later calls
// return the same Client, whatever their arguments. The zero value is ready to use.
type Lazy struct {
	once   sync.Once
	client *Client
}

// Get returns a client for address that reuses connections.
func (l *Lazy) Get(address string) *Client { return l.WithTraffic(address, nil) }

// WithTraffic is like Get, but the client counts its traffic in t, unless t is nil.
func (l *Lazy) WithTraffic(address string, t *tcp.Traffic) *Client {
	return l.init(&Client{Address: address, Traffic: t})
}

// Backend is like WithTraffic for the address of a backend server. A faulty one may send bytes without end: what is kept of the responses of all
// backend servers is bounded.
func (l *Lazy) Backend(address string, t *tcp.Traffic) *Client {
	return l.init(&Client{Address: address, Traffic: t, MaxBody: maxBackendBody, Bodies: backendBodies})
}

// BackendWithoutReuse is like Backend, but the client opens a new connection for each call.
func (l *Lazy) BackendWithoutReuse(address string) *Client {
	return l.init(&Client{Address: address, DisableReuse: true, MaxBody: maxBackendBody, Bodies: backendBodies})
}

// init makes c the client on first use.
func (l *Lazy) init(c *Client) *Client {
	l.once.Do(func() { l.client = c })
	return l.client
}
