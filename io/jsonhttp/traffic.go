package jsonhttp

import "sync/atomic"

// Traffic counts the bytes, including headers, that clients write to and read from their
// connections, without TCP and IP overhead. Several clients may share one Traffic. The zero
// value is ready to use.
type Traffic struct{ sent, received atomic.Uint64 }

// Bytes returns the number of bytes sent and received since the start.
func (t *Traffic) Bytes() (sent, received uint64) { return t.sent.Load(), t.received.Load() }

// add counts bytes. It does nothing on a nil Traffic.
func (t *Traffic) add(sent, received int) {
	if t != nil {
		t.sent.Add(uint64(max(sent, 0)))
		t.received.Add(uint64(max(received, 0)))
	}
}
