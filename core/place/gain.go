package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"guavapaddle/core/backend"
)

const (
	defaultTarget          = 0.95
	defaultRedundancyShare = 0.05
	defaultBurstFactor     = 10.0
	defaultBurstShare      = 0.1
	defaultBurstSlots      = 4.0
	defaultHorizon         = 30 * time.Second
	defaultUrgentWeight    = 4.0
	defaultMaxMoves        = 4
)

// Gain is a planner that adds copies by marginal gain per byte. The zero value of each field
// selects its default. The price of a move and the minimum residence time come with the
// input.
type Gain struct {
	// Target is the maximum fraction of a server's slots that its load may occupy; default
	// 0.95.
	Target float64
	// RedundancyShare is the fraction of an item's requests that a second copy is assumed to save
	// when a server is lost; default 0.05. It halves with each further copy.
	RedundancyShare float64
	// BurstFactor is the factor by which the request rate of an item may rise without warning;
	// default 10.
	BurstFactor float64
	// BurstShare is the fraction of time that an item is assumed to be in a burst; default
	// 0.1, negative for none.
	BurstShare float64
	// BurstSlots is the number of free slots that a burst is assumed to find on each server;
	// default 4.
	BurstSlots float64
	// Horizon is the time over which the gain of a copy must exceed the price of its move;
	// default 30 s.
	Horizon time.Duration
	// UrgentWeight is the extra weight of an urgent request; default 4.
	UrgentWeight float64
	// MaxMoves limits the number of concurrent loads for gain. The default is Input.MaxParallelLoads,
	// or 4 if that is zero. Required loads are not limited.
	MaxMoves int
}

// candidate is a copy that could be added, with the copies to evict for it.
type candidate struct {
	server  int
	item    int
	evict   []int // indices into the server's items, ascending
	gain    float64
	net     float64 // (gain - eviction loss) * horizon - price of the move
	perByte float64
}

// Name returns NameGain.
func (*Gain) Name() string { return NameGain }

// Plan returns the plan. The result depends only on the arguments and the settings.
func (p *Gain) Plan(now time.Time, in Input) Output {
	settings := p.withDefaults()
	if p.MaxMoves <= 0 && in.MaxParallelLoads > 0 {
		settings.MaxMoves = in.MaxParallelLoads
	}
	s := newState(now, in, settings)
	s.addCurrentCopies()
	settings.placePrevious(s)
	settings.placeRequired(s)
	settings.placeByGain(s)
	return s.output()
}

func (p *Gain) withDefaults() Gain {
	settings := *p
	if settings.Target <= 0 {
		settings.Target = defaultTarget
	}
	if settings.RedundancyShare <= 0 {
		settings.RedundancyShare = defaultRedundancyShare
	}
	if settings.BurstFactor <= 0 {
		settings.BurstFactor = defaultBurstFactor
	}
	if settings.BurstShare == 0 {
		settings.BurstShare = defaultBurstShare
	}
	settings.BurstShare = max(0, settings.BurstShare)
	if settings.BurstSlots <= 0 {
		settings.BurstSlots = defaultBurstSlots
	}
	if settings.Horizon <= 0 {
		settings.Horizon = defaultHorizon
	}
	if settings.UrgentWeight <= 0 {
		settings.UrgentWeight = defaultUrgentWeight
	}
	if settings.MaxMoves <= 0 {
		settings.MaxMoves = defaultMaxMoves
	}
	return settings
}

// placeRequired gives every declared item a copy, then its minimum number of copies, then a
// copy in a second data centre. Large items are placed first, since small ones fit into the
// remaining memory; the resulting loads are sorted by importance afterwards.
func (p *Gain) placeRequired(s *state) {
	order := s.sortedBySize()
	for _, i := range order {
		if len(s.items[i].holders) == 0 {
			p.placeRequiredCopy(s, i, Unreachable, true)
		}
	}
	for _, i := range order {
		for n := s.validCopies(i); n < s.items[i].minCopies; n++ {
			if !p.placeRequiredCopy(s, i, BelowMinCopies, true) {
				break
			}
		}
	}
	for _, i := range order {
		if len(s.items[i].holders) > 0 && s.inOneDataCentre(i) {
			p.placeRequiredCopy(s, i, OneDataCentre, false)
		}
	}
	s.sortMoves()
}

// sortedBySize returns the declared items, models before adapters, in descending order of
// size.
func (s *state) sortedBySize() []int {
	var order []int
	for i := range s.items {
		if !s.items[i].superseded {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := &s.items[a], &s.items[b]
		return cmp.Or(cmp.Compare(min(x.base, 0), min(y.base, 0)), cmp.Compare(y.bytes, x.bytes))
	})
	return order
}

// inOneDataCentre reports whether all copies of an item are in one data centre although live
// servers exist in another.
func (s *state) inOneDataCentre(item int) bool {
	first := s.servers[s.items[item].holders[0]].DataCentre
	for _, j := range s.items[item].holders {
		if s.servers[j].DataCentre != first {
			return false
		}
	}
	for j := range s.servers {
		if s.servers[j].DataCentre != first {
			return true
		}
	}
	return false
}

// placeRequiredCopy places one more copy of an item and reports whether it could. If evict
// is set, copies that are not needed for their items' minimum may be evicted for it.
func (p *Gain) placeRequiredCopy(s *state, item int, reason Reason, evict bool) bool {
	best := p.bestWithoutEviction(s, item, reason == OneDataCentre)
	if best < 0 && evict {
		best = p.makeRoom(s, item)
	}
	if best < 0 {
		return false
	}
	s.load(best, item, reason, 0)
	return true
}

// bestWithoutEviction returns the best server on which an item fits without evictions, or -1
// if there is none. It prefers servers in a data centre without a copy, then servers that
// hold the adapter's model, then those with the most headroom.
func (p *Gain) bestWithoutEviction(s *state, item int, onlyNewDataCentre bool) int {
	best, bestScore := -1, math.Inf(-1)
	bytes := s.items[item].bytes
	for j := range s.servers {
		if sv := &s.servers[j]; sv.used+bytes+sv.peak > sv.capacity {
			continue
		}
		if s.holds(j, item) || s.shortfall(j, item) > 0 {
			continue
		}
		isNew := s.newDataCentre(j, item)
		if onlyNewDataCentre && !isNew {
			continue
		}
		score := p.headroomScore(s, j)
		if isNew {
			score += 4
		}
		if s.holdsBaseOf(j, item) {
			score += 2
		}
		if score > bestScore {
			best, bestScore = j, score
		}
	}
	return best
}

// holdsBaseOf reports whether server j holds the model of an adapter or, for a model, any
// version of it, since the adapters of an older version can then stay.
func (s *state) holdsBaseOf(j, item int) bool {
	if base := s.items[item].base; base >= 0 {
		return s.holds(j, base)
	}
	return s.holdsModelVersion(j, item)
}

// headroomScore returns a score between -1 and 1 that increases with the free slots and free
// memory of server j.
func (p *Gain) headroomScore(s *state, j int) float64 {
	sv := &s.servers[j]
	slots := s.headroom(j, p.Target) / (p.Target * float64(max(1, sv.Slots)))
	memory := float64(sv.capacity-sv.used) / float64(max(1, sv.capacity))
	return (max(-1, slots) + memory) / 2
}

// newDataCentre reports whether the data centre of server j has no copy of the item.
func (s *state) newDataCentre(j, item int) bool {
	for _, k := range s.items[item].holders {
		if s.servers[k].DataCentre == s.servers[j].DataCentre {
			return false
		}
	}
	return true
}

// makeRoom evicts the copies with the smallest loss that let an item fit on one server. It
// returns the server, or -1 if there is none.
func (p *Gain) makeRoom(s *state, item int) int {
	best := candidate{server: -1}
	minLoss := math.Inf(1)
	for j := range s.servers {
		if s.holds(j, item) {
			continue
		}
		evict, loss, fits := p.planEvictions(s, j, item)
		if fits && loss < minLoss {
			best, minLoss = candidate{server: j, evict: evict}, loss
		}
	}
	if best.server >= 0 {
		s.evict(best)
	}
	return best.server
}

// evict removes the copies that c replaces.
func (s *state) evict(c candidate) {
	for k := len(c.evict) - 1; k >= 0; k-- {
		s.remove(c.server, c.evict[k], Evicted)
	}
}

// evictionGroup is a copy that may be evicted together with the adapters that depend on it.
type evictionGroup struct {
	indices []int // into the server's items
	loss    float64
	perByte float64
}

// planEvictions returns the indices of the copies on server j to evict so that an item fits,
// and their total loss. Copies are chosen in ascending order of loss per byte.
func (p *Gain) planEvictions(s *state, j, item int) (evict []int, loss float64, ok bool) {
	shortfall := s.shortfall(j, item)
	if shortfall <= 0 {
		return nil, 0, true
	}
	for _, group := range p.evictionGroups(s, j) {
		if shortfall <= 0 {
			break
		}
		if s.servers[j].items[group.indices[0]].item == s.items[item].base {
			continue
		}
		for _, k := range group.indices {
			if slices.Contains(evict, k) {
				continue
			}
			h := s.servers[j].items[k]
			evict = append(evict, k)
			loss += p.loss(s, j, h.item)
			shortfall -= s.items[h.item].bytes
		}
	}
	evict, loss = p.pruneEvictions(s, j, evict, loss, -shortfall)
	return evict, loss, shortfall <= 0
}

// pruneEvictions removes from evict the adapters whose memory is not needed after all, where
// spare is the number of bytes that would be freed beyond what is needed. Adapters whose
// model is evicted remain in the list.
func (p *Gain) pruneEvictions(s *state, j int, evict []int, loss float64, spare int64) ([]int, float64) {
	items := s.servers[j].items
	kept := evict[:0]
	for _, k := range evict {
		i := &s.items[items[k].item]
		needed := i.base >= 0 && slices.ContainsFunc(evict, func(o int) bool { return items[o].item == i.base })
		if !needed && i.base >= 0 && i.bytes <= spare {
			spare -= i.bytes
			loss -= p.loss(s, j, items[k].item)
			continue
		}
		kept = append(kept, k)
	}
	slices.Sort(kept)
	return kept, loss
}

// evictionGroups returns what may be evicted on server j, in ascending order of loss per
// byte. The result is cached until the items of server j change; load changes on other
// servers do not invalidate it.
func (p *Gain) evictionGroups(s *state, j int) []evictionGroup {
	sv := &s.servers[j]
	if sv.groupsValid {
		return sv.evictionGroups
	}
	sv.evictionGroups, sv.groupsValid = nil, true
	for k := range sv.items {
		group := evictionGroup{indices: s.withDependents(j, k)}
		var bytes int64
		ok := true
		for _, d := range group.indices {
			if ok = p.evictable(s, sv.items[d]); !ok {
				break
			}
			group.loss += p.loss(s, j, sv.items[d].item)
			bytes += s.items[sv.items[d].item].bytes
		}
		if ok {
			group.perByte = group.loss / float64(max(1, bytes))
			sv.evictionGroups = append(sv.evictionGroups, group)
		}
	}
	slices.SortStableFunc(sv.evictionGroups, func(a, b evictionGroup) int {
		return cmp.Or(cmp.Compare(a.perByte, b.perByte), cmp.Compare(len(a.indices), len(b.indices)))
	})
	return sv.evictionGroups
}

// evictable reports whether a copy may be evicted for another item. Anchors, copies that are
// not resident yet, superseded versions and copies younger than the minimum residence time
// may not. Protecting the anchors preserves the minimum number of copies.
func (p *Gain) evictable(s *state, h placedCopy) bool {
	if h.anchor || !h.resident || s.items[h.item].superseded {
		return false
	}
	minResidence := time.Duration(s.in.Placement.MinResidenceMS) * time.Millisecond
	return h.since.IsZero() || s.now.Sub(h.since) >= minResidence
}

// load adds a copy to the plan, preceded by the adapter's model if server j does not hold
// it.
func (s *state) load(j, item int, reason Reason, gain float64) {
	i := &s.items[item]
	if i.base >= 0 && !s.holds(j, i.base) {
		s.load(j, i.base, NeededByAdapter, 0)
	}
	s.add(j, placedCopy{item: item})
	s.moves = append(s.moves, Move{Op: backend.Load, Server: s.servers[j].Name, Item: i.item, Bytes: i.bytes, Reason: reason, Gain: gain})
}

// sortMoves sorts the required loads: items without a copy first, then by descending value.
// A model precedes the adapters that need it.
func (s *state) sortMoves() {
	priority := map[Reason]int{Unreachable: 0, NeededByAdapter: 0, BelowMinCopies: 1, OneDataCentre: 2}
	value := func(m Move) float64 { return s.items[s.byItem[m.Item]].value }
	slices.SortStableFunc(s.moves, func(a, b Move) int {
		return cmp.Or(
			cmp.Compare(priority[a.Reason], priority[b.Reason]),
			cmp.Compare(len(a.Item.Base), 0)-cmp.Compare(len(b.Item.Base), 0),
			cmp.Compare(value(b), value(a)))
	})
}
