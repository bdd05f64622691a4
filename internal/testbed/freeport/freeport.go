// Package freeport finds loopback ports for processes that take their addresses
// from settings.
//
// A port that the kernel chose for a listener that is closed again may be given
// to the next outgoing connection before the process listens on it. So ports
// are taken from below the range that the kernel chooses from, each once, and
// from a place that differs between processes.
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
	lowest = 12000
	count  = 18000 // up to 30000; the kernel chooses from 32768 on
	stride = 97    // ports that a process takes before it may meet the next one's
)

var taken atomic.Int64

// Take returns IP:port of a loopback port on which nothing listens, for TCP or
// UDP. It panics if there is none.
func Take() string {
	for range count {
		n := int64(os.Getpid())*stride + taken.Add(1)
		address := fmt.Sprintf("127.0.0.1:%d", lowest+n%count)
		if free(address) {
			return address
		}
	}
	panic("freeport: no port is free")
}

func free(address string) bool {
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
