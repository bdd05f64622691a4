package configsync

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"guavapaddle/core/config/head"
)

// askedPeers is how many peers a node asks for the head at once.
const askedPeers = 8

// askLoop asks peers for the head while the node isn't fresh: after its start
// and after each pause.
func (f *Follower) askLoop(ctx context.Context) error {
	b := failBackoff()
	for {
		if f.Fresh() {
			b.Reset()
			select {
			case <-f.ask:
			case <-ctx.Done():
				return context.Cause(ctx)
			}
			continue
		}
		f.askPeers(ctx)
		if err := waitOr(ctx, b.NextBackOff(), f.ask); err != nil {
			return err
		}
	}
}

// askPeers asks some peers at the same time. If the table can't be read and
// these were all peers and all answered, none of them fresh, the newest version
// that any has is taken as confirmed.
func (f *Follower) askPeers(ctx context.Context) {
	peers, all := f.somePeers(askedPeers)
	ticket := f.ticket()
	ctx, cancel := context.WithTimeout(ctx, f.FetchTimeout)
	defer cancel()
	var wg sync.WaitGroup
	answered := make([]bool, len(peers))
	for i, p := range peers {
		wg.Go(func() {
			ref, fresh, err := p.ConfigHead(ctx)
			if err != nil {
				return
			}
			answered[i] = true
			f.tick(f.Now())
			f.learn(func(s head.Follower) (head.Follower, error) { return s.WithReply(ticket, ref, fresh) })
		})
	}
	wg.Wait()
	if all && len(peers) > 0 && !slices.Contains(answered, false) {
		f.trust(ticket)
	}
}

// trust takes the newest version seen as confirmed if the table can't be read.
func (f *Follower) trust(ticket head.QueryStamp) {
	f.tick(f.Now())
	f.mu.Lock()
	before := f.state
	if f.table == tableDown && f.state.Target().Version > 0 {
		f.state = f.state.WithAssumed(ticket)
	}
	changed := f.state != before
	version := f.state.Target().Version
	f.mu.Unlock()
	if changed {
		f.noteTrust(version)
	}
}

// somePeers returns at most n random live peers, and whether these are all.
func (f *Follower) somePeers(n int) (peers []Peer, all bool) {
	if f.Peers == nil {
		return nil, true
	}
	peers = slices.Clone(f.Peers())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), n)], len(peers) <= n
}
