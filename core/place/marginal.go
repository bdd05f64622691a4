package place

import (
	"container/heap"
	"math"
)

// candidates is a max-heap of candidates by net gain per byte.
type candidates []candidate

// Len implements heap.Interface.
func (c candidates) Len() int { return len(c) }

// Less implements heap.Interface. Ties are broken by item, for determinism.
func (c candidates) Less(i, j int) bool {
	if c[i].perByte != c[j].perByte {
		return c[i].perByte > c[j].perByte
	}
	return c[i].item < c[j].item
}

// Swap implements heap.Interface.
func (c candidates) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

// Push implements heap.Interface.
func (c *candidates) Push(x any) { *c = append(*c, x.(candidate)) }

// Pop implements heap.Interface.
func (c *candidates) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// placeByGain adds copies whose gain exceeds the price of a move, in descending order of net
// gain per byte. Each candidate is re-evaluated when it reaches the top of the heap, since
// every added copy changes the load of servers.
func (p *Gain) placeByGain(s *state) {
	var queue candidates
	for i := range s.items {
		if c, ok := p.best(s, i); ok {
			queue = append(queue, c)
		}
	}
	heap.Init(&queue)
	for moves := s.loadsInProgress(); moves < p.MaxMoves && len(queue) > 0; {
		old := heap.Pop(&queue).(candidate)
		c, ok := p.best(s, old.item)
		if !ok {
			continue
		}
		if len(queue) > 0 && c.perByte < queue[0].perByte {
			heap.Push(&queue, c)
			continue
		}
		s.evict(c)
		s.load(c.server, c.item, NetGain, c.gain)
		moves++
		if c, ok = p.best(s, old.item); ok {
			heap.Push(&queue, c)
		}
	}
}

// loadsInProgress returns the number of loads that have started or that the previous plan
// proposed for gain.
func (s *state) loadsInProgress() int {
	n := s.pendingLoads
	for j := range s.servers {
		n += len(s.servers[j].Loading)
	}
	return n
}

// best returns the additional copy of an item with the highest net gain per byte,
// or false if no copy is worth its price.
func (p *Gain) best(s *state, item int) (candidate, bool) {
	i := &s.items[item]
	if i.superseded || len(i.holders) == 0 || i.value <= 0 {
		return candidate{}, false
	}
	overload := p.overloadShare(s, i)
	horizon, price := p.Horizon.Seconds(), s.in.Placement.MovePrice
	if p.gain(i, overload, math.Inf(1))*horizon <= price {
		return candidate{}, false
	}
	best, found := candidate{perByte: math.Inf(-1)}, false
	for j := range s.servers {
		if s.holds(j, item) {
			continue
		}
		gain := p.gain(i, overload, s.headroom(j, p.Target))
		bytes, _ := s.requiredMemory(j, item)
		maxNet := gain*horizon - price
		if maxNet <= 0 || maxNet/float64(max(1, bytes)) <= best.perByte {
			continue
		}
		evict, loss, fits := p.planEvictions(s, j, item)
		net := maxNet - loss*horizon
		c := candidate{server: j, item: item, evict: evict, gain: gain, net: net, perByte: net / float64(max(1, bytes))}
		if fits && net > 0 && c.perByte > best.perByte {
			best, found = c, true
		}
	}
	return best, found
}

// gain returns the weighted requests a second that one more copy of i would serve in time on
// a server with the given headroom in slots.
func (p *Gain) gain(i *itemState, overload, headroom float64) float64 {
	if headroom <= 0 {
		return 0
	}
	servedShare := 1.0
	if share := i.load / float64(len(i.holders)+1); share > headroom {
		servedShare = headroom / share
	}
	return i.value * (overload + p.redundancyShare(i, len(i.holders))) * servedShare
}

// redundancyShare returns the fraction of an item's requests that copy n+1 is assumed to
// save when a server is lost or a burst arrives.
func (p *Gain) redundancyShare(i *itemState, n int) float64 {
	loss := p.RedundancyShare * math.Pow(0.5, float64(n-1))
	return loss + p.BurstShare*p.BurstFactor*(p.burstShortfall(i, n)-p.burstShortfall(i, n+1))
}

// burstShortfall returns the fraction of an item's requests in a burst that n copies have no
// slots for, each having BurstSlots free.
func (p *Gain) burstShortfall(i *itemState, n int) float64 {
	load := p.BurstFactor * i.load
	if load <= 0 {
		return 0
	}
	return max(0, 1-float64(n)*p.BurstSlots/load)
}

// overloadShare returns the fraction of an item's requests that exceeds the capacity of its
// servers, assuming that each copy gets an equal share and that a server above its target
// serves all its items alike.
func (p *Gain) overloadShare(s *state, i *itemState) float64 {
	var sum float64
	for _, j := range i.holders {
		if load := s.servers[j].load; load > 0 {
			sum += max(0, -s.headroom(j, p.Target)/load)
		}
	}
	return sum / float64(len(i.holders))
}

// loss returns the weighted requests a second that would no longer be served in time without
// the copy on server j.
func (p *Gain) loss(s *state, j, item int) float64 {
	i := &s.items[item]
	remaining := len(i.holders) - 1
	if remaining == 0 {
		return math.Inf(1)
	}
	extraLoad := i.load/float64(remaining) - i.load/float64(len(i.holders))
	var overload float64
	for _, k := range i.holders {
		if load := s.servers[k].load + extraLoad; k != j && load > 0 {
			overload += max(0, (extraLoad-s.headroom(k, p.Target))/load)
		}
	}
	return i.value * (overload/float64(remaining) + p.redundancyShare(i, remaining))
}
