// Package freeport finds free loopback ports for processes that read their addresses from
// settings.
//
// If the kernel chose a port for a listener that is closed again, it may assign the same
// port to the next outgoing connection before the process listens on it. Ports are therefore
// taken from below the kernel's ephemeral range, each once per process until all of its ports
// are used up.
//
// Other processes take ports at the same time, and nothing listens on a port between its
// choice and its use. A process therefore reserves ports in blocks, by listening on the
// block's first port at another loopback address until it exits.
//
// # Usage
//
//	address := freeport.Take()
package freeport

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
)

const (
	minPort    = 12000
	portCount  = 18000 // up to 30000; the kernel's ephemeral range starts at 32768
	blockPorts = 200
	blocks     = portCount / blockPorts
	// reservationIP is the loopback address at which blocks are reserved.
	reservationIP = "127.0.0.77"
)

// reserved holds the blocks of this process and the port that is taken next.
var reserved struct {
	mu        sync.Mutex
	bases     []int // first ports of the blocks, in the order in which they are used
	listeners []net.Listener
	block     int // index of the block in use
	used      int // ports of it that were taken
}

// Take returns the IP:port of a loopback port on which nothing listens over TCP or UDP. It
// panics if there is none.
func Take() string {
	reserved.mu.Lock()
	defer reserved.mu.Unlock()
	for range portCount {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(nextPort()))
		if isFree(address) {
			return address
		}
	}
	panic("freeport: no port is free")
}

// nextPort returns the next port of the blocks of this process, and reserves another one when
// all are used up, or begins again with the first if none is left.
func nextPort() int {
	r := &reserved
	if len(r.bases) == 0 || r.used == blockPorts {
		r.used = 0
		if r.block++; !reserveBlock() {
			r.block %= max(1, len(r.bases))
		} else {
			r.block = len(r.bases) - 1
		}
	}
	if len(r.bases) == 0 {
		panic("freeport: other processes have reserved all ports")
	}
	r.used++
	return r.bases[r.block] + r.used - 1
}

// reserveBlock reserves a block that no process has reserved, and reports whether there is one.
func reserveBlock() bool {
	for i := range blocks {
		base := minPort + (os.Getpid()+i)%blocks*blockPorts
		l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", reservationIP, base))
		if err != nil {
			continue
		}
		reserved.bases, reserved.listeners = append(reserved.bases, base), append(reserved.listeners, l)
		return true
	}
	return false
}

func isFree(address string) bool {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }()
	p, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	return p.Close() == nil
}
