package jsonhttp

import (
	"sync"

	"guavapaddle/io/tcp"
)

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
	l.once.Do(func() { l.client = &Client{Address: address, Traffic: t} })
	return l.client
}

// WithoutReuse returns a client for address that opens a new connection for each call.
func (l *Lazy) WithoutReuse(address string) *Client {
	l.once.Do(func() { l.client = &Client{Address: address, DisableReuse: true} })
	return l.client
}
