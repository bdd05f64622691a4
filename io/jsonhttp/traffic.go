package jsonhttp

import "sync/atomic"

// Traffic counts the bytes that clients write to and read from their
// connections, headers included, without those of TCP and IP. Several clients
// may share one. Its zero value is ready.
type Traffic struct{ sent, received atomic.Uint64 }

// Bytes returns how many bytes were sent and received since the start.
func (t *Traffic) Bytes() (sent, received uint64) { return t.sent.Load(), t.received.Load() }

// add counts bytes; a nil Traffic counts nothing.
func (t *Traffic) add(sent, received int) {
	if t != nil {
		t.sent.Add(uint64(max(sent, 0)))
		t.received.Add(uint64(max(received, 0)))
	}
}
