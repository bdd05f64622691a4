package peer

import (
	"encoding/binary"
	"math"
	"net"
	"sync/atomic"
)

type (
	// frameTraffic counts the bytes of frames by kind.
	frameTraffic struct {
		sent, received [math.MaxUint8 + 1]atomic.Uint64
	}

	// countingConn is a UDP socket that counts the bytes of the datagrams that it sends.
	countingConn struct {
		*net.UDPConn
		sent *atomic.Uint64
	}
)

// Traffic returns the number of bytes in frames of a kind that were sent and received since
// the start, in messages and calls.
func (e *Endpoint) Traffic(k Kind) (sent, received uint64) {
	return e.frameBytes.sent[k].Load(), e.frameBytes.received[k].Load()
}

// DatagramBytes returns the number of bytes sent in datagrams since the start: frames, QUIC
// headers, acknowledgements and handshakes, without UDP and IP headers.
func (e *Endpoint) DatagramBytes() uint64 { return e.datagramBytes.Load() }

// FrameBytes returns the number of bytes in frames of all kinds that were received since the start.
func (e *Endpoint) FrameBytes() uint64 {
	var n uint64
	for k := range e.frameBytes.received {
		n += e.frameBytes.received[k].Load()
	}
	return n
}

// size returns the encoded size of an uncompressed frame in bytes.
func (f Frame) size() uint64 {
	var b [binary.MaxVarintLen64]byte
	return uint64(binary.PutUvarint(b[:], uint64(len(f.Body))) + 1 + len(f.Body))
}

// countSent counts a frame that was written to a stream.
func (t *frameTraffic) countSent(f Frame) { t.sent[f.Kind].Add(f.size()) }

// countReceived counts a frame that was read from a stream.
func (t *frameTraffic) countReceived(f Frame) { t.received[f.Kind].Add(f.size()) }

// WriteMsgUDP sends b as one datagram, or as several of equal size if oob requests
// segmentation.
func (c *countingConn) WriteMsgUDP(b, oob []byte, to *net.UDPAddr) (n, oobn int, err error) {
	n, oobn, err = c.UDPConn.WriteMsgUDP(b, oob, to)
	c.sent.Add(uint64(max(n, 0)))
	return n, oobn, err
}

// WriteTo sends one datagram.
func (c *countingConn) WriteTo(b []byte, to net.Addr) (int, error) {
	n, err := c.UDPConn.WriteTo(b, to)
	c.sent.Add(uint64(max(n, 0)))
	return n, err
}
