package soak

import (
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

// Mode is the forwarding behaviour of a Proxy.
type Mode int

const (
	// Pass forwards bytes.
	Pass Mode = iota
	// Delay forwards bytes after a delay.
	Delay
	// Silence keeps connections open and forwards nothing in either direction.
	Silence
	// OneWay forwards bytes to the target and none back.
	OneWay
	// Refuse resets all connections, old and new.
	Refuse
	modes
)

// delay is the latency added in mode Delay.
const delay = 80 * time.Millisecond

// Proxy forwards TCP connections to one address, with faults.
type Proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]struct{}
	held  chan struct{} // closed when bytes are forwarded again, nil while they are
	// faults are the times in which it didn't forward all bytes at once; the last one may not have ended.
	faults []disturbance
}

// NewProxy starts a proxy in front of target.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

// Address returns the listening address as IP:port.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes the mode. Connections that went silent stay silent and only new ones work, as
// when a device between the two ends has lost its connection state.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	p.recordFault()
	if m == Refuse {
		for c := range p.conns {
			reset(c)
		}
	}
}

// Hold keeps back all bytes in both directions until it is ended, as while the server is silent.
func (p *Proxy) Hold(hold bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case hold && p.held == nil:
		p.held = make(chan struct{})
	case !hold && p.held != nil:
		close(p.held)
		p.held = nil
	}
	p.recordFault()
}

// recordFault records that a fault begins or ends; p.mu is held.
func (p *Proxy) recordFault() {
	isFaulty := p.mode != Pass || p.held != nil
	n := len(p.faults)
	wasFaulty := n > 0 && p.faults[n-1].to.IsZero()
	switch {
	case isFaulty && !wasFaulty:
		p.faults = append(p.faults, disturbance{from: time.Now()})
	case !isFaulty && wasFaulty:
		p.faults[n-1].to = time.Now()
	}
}

// wasFaulty reports whether it didn't forward all bytes at once at some moment between two times.
func (p *Proxy) wasFaulty(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.faults, func(d disturbance) bool {
		return !d.from.After(to) && (d.to.IsZero() || !d.to.Before(from))
	})
}

// awaitRelease waits until no bytes are kept back.
func (p *Proxy) awaitRelease() {
	p.mu.Lock()
	held := p.held
	p.mu.Unlock()
	if held != nil {
		<-held
	}
}

// Close stops listening and resets all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Hold(false)
	p.SetMode(Refuse)
}

func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == Refuse {
			reset(c)
			continue
		}
		go p.serve(c)
	}
}

// serve connects a connection with a new one to the target.
func (p *Proxy) serve(c net.Conn) {
	d, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[d] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(d, c, false) })
	wg.Go(func() { p.copy(c, d, true) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, d)
	p.mu.Unlock()
	_ = c.Close()
	_ = d.Close()
}

// copy forwards bytes until one side ends.
func (p *Proxy) copy(to, from net.Conn, fromTarget bool) {
	buf := make([]byte, 32<<10)
	silent := false
	for {
		n, err := from.Read(buf)
		p.awaitRelease()
		m := p.currentMode()
		silent = silent || m == Silence || m == OneWay && fromTarget
		if m == Delay {
			time.Sleep(delay)
		}
		if n > 0 && !silent {
			if _, werr := to.Write(buf[:n]); werr != nil {
				reset(from)
				return
			}
		}
		if err == nil {
			continue
		}
		if err == io.EOF && !silent {
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		}
		reset(to)
		return
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
