// Package freeport finds free loopback ports for processes that read their addresses from
// settings.
//
// If the kernel chose a port for a listener that is closed again, it may assign the same
// port to the next outgoing connection before the process listens on it. Ports are therefore
// taken from below the kernel's ephemeral range, each at most once per process, and from an
// offset that differs between processes.
//
// # Usage
//
//	address := freeport.Take()
package freeport

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	minPort       = 12000
	portCount     = 18000 // up to 30000; the kernel's ephemeral range starts at 32768
	processStride = 97    // ports a process can take before it reaches those of the next process ID
)

var takenCount atomic.Int64

// Take returns the IP:port of a loopback port on which nothing listens over TCP or UDP. It
// panics if there is none.
func Take() string {
	for range portCount {
		n := int64(os.Getpid())*processStride + takenCount.Add(1)
		address := fmt.Sprintf("127.0.0.1:%d", minPort+n%portCount)
		if isFree(address) {
			return address
		}
	}
	panic("freeport: no port is free")
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
