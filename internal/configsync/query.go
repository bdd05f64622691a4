package configsync

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"guavapaddle/core/config/head"
)

// maxQueriedPeers is how many peers a node queries for the head at once.
const maxQueriedPeers = 8

// queryLoop queries peers for the head while the node is stale: after its start
// and after each pause.
func (f *Follower) queryLoop(ctx context.Context) error {
	b := failBackoff()
	for {
		if f.Fresh() {
			b.Reset()
			select {
			case <-f.wakeQuery:
			case <-ctx.Done():
				return context.Cause(ctx)
			}
			continue
		}
		f.queryPeers(ctx)
		if err := waitOr(ctx, b.NextBackOff(), f.wakeQuery); err != nil {
			return err
		}
	}
}

// queryPeers queries random peers in parallel. If the table can't be read, all
// peers were queried and all replied, and none of them is fresh, the newest
// version that any of them has is assumed to be current.
func (f *Follower) queryPeers(ctx context.Context) {
	peers, all := f.somePeers(maxQueriedPeers)
	queryStamp := f.queryStamp()
	ctx, cancel := context.WithTimeout(ctx, f.FetchTimeout)
	defer cancel()
	var wg sync.WaitGroup
	replied := make([]bool, len(peers))
	for i, p := range peers {
		wg.Go(func() {
			ref, fresh, err := p.ConfigHead(ctx)
			if err != nil {
				return
			}
			replied[i] = true
			f.tick(f.Now())
			f.update(func(s head.Follower) (head.Follower, error) { return s.WithReply(queryStamp, ref, fresh) })
		})
	}
	wg.Wait()
	if all && len(peers) > 0 && !slices.Contains(replied, false) {
		f.assumeNewest(queryStamp)
	}
}

// assumeNewest assumes that the newest known version is current if the table
// can't be read.
func (f *Follower) assumeNewest(stamp head.QueryStamp) {
	f.tick(f.Now())
	f.mu.Lock()
	before := f.state
	if f.table == tableDown && f.state.Target().Version > 0 {
		f.state = f.state.WithAssumed(stamp)
	}
	changed := f.state != before
	version := f.state.Target().Version
	f.mu.Unlock()
	if changed {
		f.recordAssumed(version)
	}
}

// somePeers returns at most n random live peers, and whether these are all peers.
func (f *Follower) somePeers(n int) (peers []Peer, all bool) {
	if f.Peers == nil {
		return nil, true
	}
	peers = slices.Clone(f.Peers())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), n)], len(peers) <= n
}
