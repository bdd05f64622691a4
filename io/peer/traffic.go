package peer

import (
	"encoding/binary"
	"math"
	"net"
	"sync/atomic"
)

type (
	// traffic counts the bytes of frames by kind.
	traffic struct {
		sent, received [math.MaxUint8 + 1]atomic.Uint64
	}

	// counted is a socket that counts the bytes of the datagrams it sends.
	counted struct {
		*net.UDPConn
		sent *atomic.Uint64
	}
)

// Traffic returns how many bytes of frames of a kind were sent and received
// since the start, as messages or within calls.
func (e *Endpoint) Traffic(k Kind) (sent, received uint64) {
	return e.frames.sent[k].Load(), e.frames.received[k].Load()
}

// DatagramBytes returns how many bytes were sent in datagrams since the start:
// frames, QUIC's headers, acknowledgements and handshakes, without the headers
// of UDP and IP.
func (e *Endpoint) DatagramBytes() uint64 { return e.datagrams.Load() }

// size returns the bytes that a frame takes on its stream.
func (f Frame) size() uint64 {
	var b [binary.MaxVarintLen64]byte
	return uint64(binary.PutUvarint(b[:], uint64(len(f.Body))) + 1 + len(f.Body))
}

// countSent counts a frame that was given to a stream.
func (t *traffic) countSent(f Frame) { t.sent[f.Kind].Add(f.size()) }

// countReceived counts a frame that was read from a stream.
func (t *traffic) countReceived(f Frame) { t.received[f.Kind].Add(f.size()) }

// WriteMsgUDP sends datagrams, several of one size at once if oob says so.
func (c *counted) WriteMsgUDP(b, oob []byte, to *net.UDPAddr) (n, oobn int, err error) {
	n, oobn, err = c.UDPConn.WriteMsgUDP(b, oob, to)
	c.sent.Add(uint64(max(n, 0)))
	return n, oobn, err
}

// WriteTo sends one datagram.
func (c *counted) WriteTo(b []byte, to net.Addr) (int, error) {
	n, err := c.UDPConn.WriteTo(b, to)
	c.sent.Add(uint64(max(n, 0)))
	return n, err
}
