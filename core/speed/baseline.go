package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// maxWorks bounds the kinds of work for which baselines are kept, and maxPeers the servers of each.
	maxWorks, maxPeers = 1024, 16
	// minPeers is the number of other servers needed for a comparison.
	minPeers = 1
	// peerTTL is how long the last sample of a server is compared with.
	peerTTL = 30 * time.Second
	// peerWeight is the weight of a new sample in what a server is compared by: single ones depend on what else is
	// running.
	peerWeight = 0.3
	// maxUnit bounds the time for one token or event that can be that of a server.
	maxUnit = 10.0
)

const (
	// Prefill is the reading of prompt tokens.
	Prefill Kind = iota
	// Decode is the generation of events.
	Decode
)

type (
	// Kind is a kind of work whose time can be compared between servers.
	Kind int

	// Work is what servers are compared at.
	Work struct {
		Service, Model string
		Kind           Kind
	}

	// Sample is the time that a server took for a unit of work.
	Sample struct {
		Server string
		Work   Work
		Unit   float64 // seconds for a token or an event
		Pace   float64 // reported with it, 1 for the usual one
		Fill   float64 // fraction of the server's slots in use
	}

	// Baselines hold what the servers that run the same model took last for the same work. The zero value is empty.
	Baselines struct {
		peers map[workAtFill][]peer
	}

	workAtFill struct {
		Work

		nearlyFull bool
	}

	// peer is a server to compare others with.
	peer struct {
		server string
		log    float64 // average of the logarithms of its samples, divided by pace and lasting factor
		at     time.Time
	}
)

// IsValid reports whether the sample can be that of a server: its time and pace are positive, finite and not absurd.
func (s Sample) IsValid() bool { return s.Unit > 0 && s.Unit <= maxUnit && IsPlausible(s.Pace) }

// Learn returns the server with a sample, compared with the other servers that did the same work. Without others, or if the
// sample is invalid, the server is returned as it is.
func (b *Baselines) Learn(now time.Time, s Server, x Sample) Server {
	if !x.IsValid() {
		return s
	}
	key := workAtFill{x.Work, x.Fill >= NearlyFull}
	log := math.Log(x.Unit / x.Pace)
	list := b.peers[key]
	if median, ok := medianOfOthers(now, list, x.Server); ok {
		s = s.withSample(now, x.Fill, log-median)
	}
	factor, _, _ := s.lastingAt(now, x.Fill)
	b.set(now, key, x.Server, log-factor)
	return s
}

// Forget removes a server, which has restarted or is gone.
func (b *Baselines) Forget(server string) {
	for key, list := range b.peers {
		b.peers[key] = slices.DeleteFunc(list, func(p peer) bool { return p.server == server })
	}
}

// set records a server's sample. The peer whose sample is oldest makes room for another.
func (b *Baselines) set(now time.Time, key workAtFill, server string, log float64) {
	if b.peers == nil || len(b.peers) >= maxWorks && b.peers[key] == nil {
		b.peers = map[workAtFill][]peer{}
	}
	list := b.peers[key]
	i := slices.IndexFunc(list, func(p peer) bool { return p.server == server })
	switch {
	case i >= 0:
		list[i].log += peerWeight * (log - list[i].log)
		list[i].at = now
	case len(list) < maxPeers:
		b.peers[key] = append(list, peer{server, log, now})
	default:
		oldest := 0
		for i := range list {
			if list[i].at.Before(list[oldest].at) {
				oldest = i
			}
		}
		list[oldest] = peer{server, log, now}
	}
}

// medianOfOthers returns the median of the recent samples of all servers but one, and false if there are too few.
func medianOfOthers(now time.Time, list []peer, server string) (float64, bool) {
	var buf [maxPeers]float64
	logs := buf[:0]
	for _, p := range list {
		if p.server != server && now.Sub(p.at) < peerTTL {
			logs = append(logs, p.log)
		}
	}
	n := len(logs)
	if n < minPeers {
		return 0, false
	}
	slices.Sort(logs)
	return (logs[(n-1)/2] + logs[n/2]) / 2, true
}

// Len returns the number of samples that are kept.
func (b *Baselines) Len() int {
	n := 0
	for _, list := range b.peers {
		n += len(list)
	}
	return n
}
