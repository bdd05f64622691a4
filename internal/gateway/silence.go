package gateway

import (
	"context"
	"time"
)

const (
	// silenceInterval is the interval at which the reads from servers are looked at.
	silenceInterval = 100 * time.Millisecond
	// maxSilentIntervals is how many intervals in a row without a read from any server make this node check its
	// path to them. Streams deliver several events in that time.
	maxSilentIntervals = 4
	// checkedServers is the number of servers that must have requests of this node, and are then checked. The
	// failure of one server says nothing of the path to the others.
	checkedServers = 2
	// checkTimeout bounds one check.
	checkTimeout = 2 * time.Second
)

// WatchSilence checks the path to the servers whenever several of them have requests of this node and none sends
// anything, until ctx ends. A cut may leave connections open that deliver nothing, so that it shows by
// failed connections only when those that were idle before it are used up.
func (g *Gateway) WatchSilence(ctx context.Context) {
	t := time.NewTicker(silenceInterval)
	defer t.Stop()
	last, silent := int64(0), 0
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		reads := g.reads.Load()
		inUse := g.serversInUse(reads != last)
		if last = reads; len(inUse) < checkedServers {
			silent = 0
			continue
		}
		if silent++; silent < maxSilentIntervals {
			continue
		}
		silent = 0
		for _, a := range inUse {
			go g.checkServer(ctx, a)
		}
	}
}

// serversInUse returns the addresses of servers to check, none if any server was read from.
func (g *Gateway) serversInUse(read bool) []string {
	if read || g.CheckServer == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.picker.InUse(checkedServers)
}

// checkServer checks the path to one server.
func (g *Gateway) checkServer(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	g.CheckServer(ctx, address)
}

// countRead counts a read from a server over a connection of this node itself.
func (t *try) countRead() {
	if t.through == "" {
		t.g.reads.Add(1)
	}
}
