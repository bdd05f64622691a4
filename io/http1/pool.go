package http1

import (
	"bufio"
	"container/list"
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"guavapaddle/core/keepalive"
	"guavapaddle/core/recent"
)

// maxRemembered bounds the addresses without a connection for which the pool keeps its estimate of the idle time.
const maxRemembered = 4096

// Opening is why a connection is opened in place of using one of the pool.
type Opening string

const (
	// First means that the pool had no connection to the address before.
	First Opening = "first"
	// Forced means that the caller asked for a new connection.
	Forced Opening = "forced"
	// InUse means that all connections to the address carry requests.
	InUse Opening = "in-use"
	// Ended means that the last connection was closed with its request.
	Ended Opening = "ended"
	// Expired means that the last connection had been idle for as long as connections to the server are kept.
	Expired Opening = "expired"
	// TooIdle means that the connections have been idle for too long for the request.
	TooIdle Opening = "too-idle"
	// ClosedMeanwhile means that the server closed the last connection while it was idle.
	ClosedMeanwhile Opening = "closed-meanwhile"
	// ResetMeanwhile means that the last connection was reset while it was idle.
	ResetMeanwhile Opening = "reset-meanwhile"
	// UnreadBytes means that the server sent bytes on the last connection while it was idle.
	UnreadBytes Opening = "unread-bytes"
	// Dropped means that the connections were closed because one of them failed.
	Dropped Opening = "dropped"
	// Displaced means that the last connection was closed because the pool was full.
	Displaced Opening = "displaced"
	// SameID means that the idle connections have carried a request with the same id.
	SameID Opening = "same-id"
)

// openings are the reasons by the state in which an idle connection is found.
var openings = map[idleState]Opening{idleClosed: ClosedMeanwhile, idleReset: ResetMeanwhile, idleBytes: UnreadBytes}

type (
	// Pool keeps idle connections to backend servers for reuse. The zero value is ready to
	// use.
	Pool struct {
		Opened atomic.Int64 // connections opened in total
		// Dial opens a connection to a backend server; nil for Dial of this package. It must be set
		// before the first call.
		Dial func(ctx context.Context, address string) (net.Conn, error)
		// MaxIdle is the number of idle connections that are kept, zero for no limit. The least recently used one is closed for
		// another. It must be set before the first call.
		MaxIdle int

		mu      sync.Mutex
		servers map[string]*endpoint // by address
		lru     list.List            // idle connections, least recently used first
	}

	// endpoint is the state of an address.
	endpoint struct {
		idle      []*Conn // most recently used last
		open      int     // connections in use or idle
		lastEnd   Opening // how the last connection ended
		keepAlive keepalive.Estimate
	}
)

// Get returns the most recently used idle connection to address that meets the needs of a request, or opens a new one.
func (p *Pool) Get(ctx context.Context, address string, need Need) (*Conn, error) {
	opening, idle := Forced, time.Duration(0)
	if !need.New {
		var c *Conn
		if c, opening, idle = p.takeIdle(address, need); c != nil {
			c.carry(need.RequestID)
			return c, nil
		}
	}
	dial := p.Dial
	if dial == nil {
		dial = Dial
	}
	nc, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.Opened.Add(1)
	p.mu.Lock()
	p.endpoint(address).open++
	p.mu.Unlock()
	head := &headReader{r: nc}
	c := &Conn{Opening: opening, Idle: idle, pool: p, address: address, nc: nc, head: head, br: bufio.NewReaderSize(head, readBuffer), carried: recent.IDs{Max: maxCarriedIDs}}
	c.carry(need.RequestID)
	return c, nil
}

// takeIdle returns the most recently used idle connection to address that is open, or nil, why there is none, and how long the last one that
// can't be used was idle. Connections that only this request can't use stay in the pool for others.
func (p *Pool) takeIdle(address string, need Need) (found *Conn, opening Opening, idle time.Duration) {
	now := time.Now()
	for {
		c, unusable := p.popIdle(now, address, need)
		switch {
		case c == nil && opening == "":
			return nil, p.missing(address), 0
		case c == nil:
			return nil, opening, idle
		}
		idle = now.Sub(c.idleSince)
		switch unusable {
		case "":
		case Expired:
			opening = Expired
			c.end(opening)
			continue
		default:
			return nil, unusable, idle
		}
		state := c.idleState()
		if state == idleOpen {
			p.learn(address, func(k keepalive.Estimate) keepalive.Estimate { return k.WithOpen(idle) })
			c.Reused, c.Opening, c.Idle = true, "", idle
			return c, "", idle
		}
		if state == idleClosed {
			p.learn(address, func(k keepalive.Estimate) keepalive.Estimate { return k.WithClosed(idle) })
		}
		opening = openings[state]
		c.end(opening)
	}
}

// popIdle returns the most recently used idle connection to address that the request may use. If there is none, it returns one that the request can't use,
// nil without any, and why. A connection that may be used, or has expired, is removed from the pool.
func (p *Pool) popIdle(now time.Time, address string, need Need) (c *Conn, unusable Opening) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.servers[address]
	if e == nil {
		return nil, ""
	}
	c, unusable = e.mostRecent(now, need)
	if c != nil && (unusable == "" || unusable == Expired) {
		p.removeIdle(c)
	}
	return c, unusable
}

// mostRecent returns the most recently used idle connection that the request may use. If there is none, it returns one that the request can't use, nil
// without any, and why.
func (e *endpoint) mostRecent(now time.Time, need Need) (c *Conn, unusable Opening) {
	for _, c = range slices.Backward(e.idle) {
		if unusable = c.unusable(now, need); unusable != SameID {
			return c, unusable // those before it have been idle for longer
		}
	}
	return c, unusable
}

// missing returns why there is no idle connection to address.
func (p *Pool) missing(address string) Opening {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch e := p.servers[address]; {
	case e == nil, e.open == 0 && e.lastEnd == "":
		return First
	case e.open > 0:
		return InUse
	default:
		return e.lastEnd
	}
}

// learn updates the estimate of how long the server with an address keeps idle connections.
func (p *Pool) learn(address string, change func(keepalive.Estimate) keepalive.Estimate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.servers[address]; e != nil {
		e.keepAlive = change(e.keepAlive)
	}
}

// Put returns a connection to the pool for reuse if its response allows it, and closes it
// otherwise. No more than limit idle connections to the address are kept, zero for no limit. The body of the response must have been read to its end. A connection through another node is
// never reused, as it can't be seen whether it is idle.
func (p *Pool) Put(c *Conn, resp *http.Response, limit int) error {
	if c.br.Buffered() > 0 {
		c.Close()
		return ErrTrailingData
	}
	if c.Through() != "" || resp.Close || c.bodyPending || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.StatusCode != http.StatusNoContent {
		c.Close()
		return nil
	}
	_ = c.nc.SetDeadline(time.Time{}) // an expired one looks like a connection that broke; a failure shows at the next use
	stated, ok := keepalive.Stated(resp.Header.Get("Keep-Alive"))
	if displaced := p.add(c, stated, ok, limit); displaced != nil {
		displaced.end(Displaced)
	}
	return nil
}

// add adds an idle connection, with the time for which the server states that it keeps it, if it does, and returns the connection
// that has to be closed for it, if any: the least recently used one to the address or of all.
func (p *Pool) add(c *Conn, stated time.Duration, ok bool, limit int) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoint(c.address)
	c.idleLimit = stated
	if !ok {
		c.idleLimit = e.keepAlive.Limit()
	}
	c.idleSince = time.Now()
	e.idle = append(e.idle, c)
	c.entry = p.lru.PushBack(c)
	var oldest *Conn
	switch {
	case limit > 0 && len(e.idle) > limit:
		oldest = e.idle[0]
	case p.MaxIdle > 0 && p.lru.Len() > p.MaxIdle:
		oldest = p.lru.Front().Value.(*Conn)
	default:
		return nil
	}
	p.removeIdle(oldest)
	return oldest
}

// Idle returns the addresses among those given to which there is an idle connection that a request may use, the most recently used
// first and no more than limit.
func (p *Pool) Idle(addresses []string, need Need, limit int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var usable []*Conn
	for _, a := range addresses {
		e := p.servers[a]
		if e == nil {
			continue
		}
		if c, unusable := e.mostRecent(now, need); c != nil && unusable == "" {
			usable = append(usable, c)
		}
	}
	slices.SortStableFunc(usable, func(a, b *Conn) int { return b.idleSince.Compare(a.idleSince) })
	var out []string
	for _, c := range usable[:min(limit, len(usable))] {
		out = append(out, c.address)
	}
	return out
}

// Drop closes the idle connections to an address, and discards the estimate of how long the server there keeps them.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	var dropped []*Conn
	if e := p.servers[address]; e != nil {
		for len(e.idle) > 0 {
			c := e.idle[len(e.idle)-1]
			p.removeIdle(c)
			dropped = append(dropped, c)
		}
		e.keepAlive = keepalive.Estimate{}
	}
	p.mu.Unlock()
	for _, c := range dropped {
		c.end(Dropped)
	}
}

// DropAll closes all idle connections.
func (p *Pool) DropAll() {
	p.mu.Lock()
	addresses := slices.Collect(maps.Keys(p.servers))
	p.mu.Unlock()
	for _, a := range addresses {
		p.Drop(a)
	}
}

// Sweep closes connections that exceeded their maximum idle time.
func (p *Pool) Sweep() {
	now := time.Now()
	var expired []*Conn
	p.mu.Lock()
	for entry := p.lru.Front(); entry != nil; {
		c := entry.Value.(*Conn)
		entry = entry.Next()
		if now.Sub(c.idleSince) >= c.idleLimit {
			p.removeIdle(c)
			expired = append(expired, c)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.end(Expired)
	}
}

// Counts returns the numbers of open connections, and of those that are idle.
func (p *Pool) Counts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.servers {
		open += e.open
	}
	return open, p.lru.Len()
}

// end closes a connection that was taken out of the pool.
func (c *Conn) end(how Opening) {
	if c.ended.CompareAndSwap(false, true) {
		c.pool.recordEnd(c.address, how)
	}
	c.Close()
}

// recordEnd records how a connection to address ended.
func (p *Pool) recordEnd(address string, how Opening) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoint(address)
	e.open--
	e.lastEnd = how
}

// endpoint returns the state of an address; p.mu is held.
func (p *Pool) endpoint(address string) *endpoint {
	e := p.servers[address]
	if e != nil {
		return e
	}
	if p.servers == nil {
		p.servers = map[string]*endpoint{}
	}
	if len(p.servers) >= maxRemembered {
		maps.DeleteFunc(p.servers, func(_ string, e *endpoint) bool { return e.open == 0 })
	}
	e = &endpoint{}
	p.servers[address] = e
	return e
}

// removeIdle removes an idle connection from the pool; p.mu is held.
func (p *Pool) removeIdle(c *Conn) {
	e := p.servers[c.address]
	if i := slices.Index(e.idle, c); i >= 0 {
		e.idle = slices.Delete(e.idle, i, i+1)
	}
	p.lru.Remove(c.entry)
	c.entry = nil
}
