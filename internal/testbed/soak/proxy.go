package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what a proxy does with bytes.
type Mode int

const (
	// Pass hands bytes on.
	Pass Mode = iota
	// Delay hands them on later.
	Delay
	// Silence keeps connections open and hands nothing on, either way.
	Silence
	// OneWay hands on what callers send and nothing back.
	OneWay
	// Refuse resets all connections, old and new.
	Refuse
	modes
)

// delay is how much later bytes arrive in mode Delay.
const delay = 80 * time.Millisecond

// Proxy stands before one address.
type Proxy struct {
	target string
	l      net.Listener

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]struct{}
}

// NewProxy starts a proxy before target.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, l: l, conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

// Address returns IP:port.
func (p *Proxy) Address() string { return p.l.Addr().String() }

// Set changes the mode. Connections that were silenced stay silent: only new
// ones work again, as when something between two ends has lost track of them.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == Refuse {
		for c := range p.conns {
			reset(c)
		}
	}
}

// Close ends the proxy.
func (p *Proxy) Close() {
	_ = p.l.Close()
	p.Set(Refuse)
}

func (p *Proxy) now() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *Proxy) accept() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		if p.now() == Refuse {
			reset(c)
			continue
		}
		go p.serve(c)
	}
}

// serve joins a connection with one to the target.
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

// copy hands bytes on until one side ends.
func (p *Proxy) copy(to, from net.Conn, back bool) {
	buf := make([]byte, 32<<10)
	silent := false
	for {
		n, err := from.Read(buf)
		m := p.now()
		silent = silent || m == Silence || m == OneWay && back
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

// reset closes a connection so that the other end sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
