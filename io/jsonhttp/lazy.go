package jsonhttp

import "sync"

// Lazy makes a Client at its first use, from the address that its owner has
// been given by then. Its zero value is ready. Only the first use counts.
type Lazy struct {
	once   sync.Once
	client *Client
}

// Get returns a client for address that reuses connections.
func (l *Lazy) Get(address string) *Client { return l.Counted(address, nil) }

// Counted is Get for a client that counts its bytes in t, unless that is nil.
func (l *Lazy) Counted(address string, t *Traffic) *Client {
	l.once.Do(func() { l.client = &Client{Address: address, Traffic: t} })
	return l.client
}

// Fresh returns a client for address that opens a connection for each call.
func (l *Lazy) Fresh(address string) *Client {
	l.once.Do(func() { l.client = &Client{Address: address, Fresh: true} })
	return l.client
}
