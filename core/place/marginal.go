package place

import (
	"container/heap"
	"math"
)

// candidates orders copies that could be added, the best first, for
// container/heap.
type candidates []candidate

// Len returns the number of candidates.
func (c candidates) Len() int { return len(c) }

// Less tells whether candidate i gains more per byte than candidate j.
func (c candidates) Less(i, j int) bool {
	if c[i].perByte != c[j].perByte {
		return c[i].perByte > c[j].perByte
	}
	return c[i].item < c[j].item
}

// Swap swaps candidates i and j.
func (c candidates) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

// Push adds a candidate at the end.
func (c *candidates) Push(x any) { *c = append(*c, x.(candidate)) }

// Pop takes the last candidate off.
func (c *candidates) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// placeGains adds the copies that earn their price, the highest net gain per
// byte first. Gains are computed again when a candidate comes up, since each
// copy changes the load of servers.
func (p *Gain) placeGains(s *state) {
	var queue candidates
	for i := range s.items {
		if c, ok := p.best(s, i); ok {
			queue = append(queue, c)
		}
	}
	heap.Init(&queue)
	for moves := s.underWay(); moves < p.MaxMoves && len(queue) > 0; {
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
		s.load(c.server, c.item, Gained, c.gain)
		moves++
		if c, ok = p.best(s, old.item); ok {
			heap.Push(&queue, c)
		}
	}
}

// underWay returns the loads that the servers have begun or are to begin.
func (s *state) underWay() int {
	n := s.pending
	for j := range s.servers {
		n += len(s.servers[j].Loading)
	}
	return n
}

// best returns the copy of an item that gains most, or false if none earns its
// price.
func (p *Gain) best(s *state, item int) (candidate, bool) {
	i := &s.items[item]
	if i.retired || len(i.on) == 0 || i.value <= 0 {
		return candidate{}, false
	}
	over := p.overload(s, i)
	horizon, price := p.Horizon.Seconds(), s.in.Placement.MovePrice
	if p.gain(i, over, math.Inf(1))*horizon <= price {
		return candidate{}, false
	}
	best, found := candidate{perByte: math.Inf(-1)}, false
	for j := range s.servers {
		if s.holds(j, item) {
			continue
		}
		gain := p.gain(i, over, s.headroom(j, p.Target))
		bytes, _ := s.needs(j, item)
		most := gain*horizon - price
		if most <= 0 || most/float64(max(1, bytes)) <= best.perByte {
			continue
		}
		evict, loss, fits := p.evictions(s, j, item)
		net := most - loss*horizon
		c := candidate{server: j, item: item, evict: evict, gain: gain, net: net, perByte: net / float64(max(1, bytes))}
		if fits && net > 0 && c.perByte > best.perByte {
			best, found = c, true
		}
	}
	return best, found
}

// gain returns the requests a second, weighted, that one more copy of i on a
// server with the given headroom, in slots, would meet in time.
func (p *Gain) gain(i *itemState, over, headroom float64) float64 {
	if headroom <= 0 {
		return 0
	}
	fit := 1.0
	if share := i.load / float64(len(i.on)+1); share > headroom {
		fit = headroom / share
	}
	return i.value * (over + p.spare(i, len(i.on))) * fit
}

// spare returns the part of an item's requests that the copy after the n-th is
// assumed to save from the loss of a server and from a burst.
func (p *Gain) spare(i *itemState, n int) float64 {
	loss := p.Spare * math.Pow(0.5, float64(n-1))
	return loss + p.BurstShare*p.Burst*(p.short(i, n)-p.short(i, n+1))
}

// short returns the part of an item's requests in a burst for which n copies
// have no slots, each having BurstSlots free.
func (p *Gain) short(i *itemState, n int) float64 {
	load := p.Burst * i.load
	if load <= 0 {
		return 0
	}
	return max(0, 1-float64(n)*p.BurstSlots/load)
}

// overload returns the share of an item's requests for which its servers have
// no capacity: each copy gets an equal share, and a server beyond its target
// serves all its items alike.
func (p *Gain) overload(s *state, i *itemState) float64 {
	var sum float64
	for _, j := range i.on {
		if load := s.servers[j].load; load > 0 {
			sum += max(0, -s.headroom(j, p.Target)/load)
		}
	}
	return sum / float64(len(i.on))
}

// loss returns the requests a second, weighted, that would no longer be met in
// time without the copy on server j.
func (p *Gain) loss(s *state, j, item int) float64 {
	i := &s.items[item]
	rest := len(i.on) - 1
	if rest == 0 {
		return math.Inf(1)
	}
	more := i.load/float64(rest) - i.load/float64(len(i.on))
	var over float64
	for _, k := range i.on {
		if load := s.servers[k].load + more; k != j && load > 0 {
			over += max(0, (more-s.headroom(k, p.Target))/load)
		}
	}
	return i.value * (over/float64(rest) + p.spare(i, rest))
}
