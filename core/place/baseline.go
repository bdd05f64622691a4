package place

import (
	"slices"
	"strings"
	"time"

	"guavapaddle/core/backend"
)

type (
	// Static places by the document and the list of servers alone, whatever the
	// demand, and replaces nothing that a lost server held: a baseline.
	Static struct{}

	// LRU loads an item when requests wait for it or when it is asked for more
	// than its copies can carry with lruShare of their slots, and drops what
	// was used least recently to have room, last copies included: a baseline.
	LRU struct{}
)

// lruShare is the part of a server's slots that LRU takes one item to get.
const lruShare = 0.5

// Name returns "static".
func (Static) Name() string { return NameStatic }

// Plan packs the declared items in rounds, one copy each a round, until nothing
// more fits. Lost servers take part, so that the plan doesn't change with them.
func (Static) Plan(now time.Time, in Input) Output {
	all := in
	all.Servers = slices.Clone(in.Servers)
	for j := range all.Servers {
		all.Servers[j].Reachable, all.Servers[j].Leaving = true, false
		all.Servers[j].HeldBytes = 0
	}
	all.Demand = nil
	g := (&Gain{}).withDefaults()
	s := newState(now, all, g)
	order := s.bySize()
	for placed := true; placed; {
		placed = false
		for _, i := range order {
			if j := g.roomiest(s, i, false); j >= 0 {
				s.load(j, i, Declared, 0)
				placed = true
			}
		}
	}
	return withoutPresent(s.output(), in)
}

// withoutPresent leaves out servers that are lost and loads of what is there.
func withoutPresent(out Output, in Input) Output {
	present := map[string]map[backend.Item]bool{}
	for _, sv := range in.Servers {
		if !sv.Reachable || sv.Leaving {
			delete(out.Plan, sv.Name)
			continue
		}
		items := map[backend.Item]bool{}
		for _, c := range slices.Concat(sv.Resident, sv.Loading) {
			items[c.Item] = true
			if !slices.Contains(out.Plan[sv.Name], c.Item) {
				out.Moves = append(out.Moves, Move{Op: backend.Unload, Server: sv.Name, Item: c.Item, Bytes: c.Bytes, Why: Undeclared})
			}
		}
		present[sv.Name] = items
	}
	out.Moves = slices.DeleteFunc(out.Moves, func(m Move) bool {
		items, live := present[m.Server]
		return !live || m.Op == backend.Load && items[m.Item]
	})
	return out
}

// Name returns "lru".
func (LRU) Name() string { return NameLRU }

// Plan keeps what is there and loads one copy of each item that is in demand,
// on the server where room costs the longest unused copies.
func (LRU) Plan(now time.Time, in Input) Output {
	s := newState(now, in, Gain{UrgentWeight: defaultUrgentWeight})
	s.keepPresent()
	for _, i := range s.byWaiting() {
		if s.inDemand(i) && !s.isLoading(i) {
			s.loadLRU(i)
		}
	}
	out := s.output()
	out.Unplaced = nil
	out.MayDropLast = true
	return out
}

// inDemand tells whether requests wait for an item, or more come than half of
// the slots of its servers can carry.
func (s *state) inDemand(item int) bool {
	i := &s.items[item]
	slots := 0
	for _, j := range i.on {
		slots += s.servers[j].Slots
	}
	return i.waiting > 0 || i.load > lruShare*float64(slots)
}

// byWaiting returns the declared items, those that most requests wait for first.
func (s *state) byWaiting() []int {
	order := s.bySize()
	slices.SortStableFunc(order, func(a, b int) int { return s.items[b].waiting - s.items[a].waiting })
	return order
}

func (s *state) isLoading(item int) bool {
	for _, j := range s.items[item].on {
		for _, h := range s.servers[j].items {
			if h.item == item && !h.resident {
				return true
			}
		}
	}
	return false
}

// loadLRU loads an item on the server whose latest used copy that must go was
// used the longest ago; one with room as it is comes first.
func (s *state) loadLRU(item int) {
	best, found := candidate{}, false
	var oldest time.Time
	pending := s.pendingOn(item)
	for j := range s.servers {
		if s.holds(j, item) || pending >= 0 && j != pending {
			continue
		}
		evict, used, ok := s.leastRecent(j, item)
		if ok && (!found || used.Before(oldest)) {
			best, oldest, found = candidate{server: j, evict: evict}, used, true
		}
	}
	if !found {
		return
	}
	s.evict(best)
	s.load(best.server, item, Demanded, 0)
}

// leastRecent returns which copies on server j to drop so that an item fits,
// and when the last of them was used.
func (s *state) leastRecent(j, item int) (evict []int, used time.Time, ok bool) {
	lacking := s.lacking(j, item)
	items := s.servers[j].items
	order := make([]int, 0, len(items))
	for k, h := range items {
		if h.resident && s.items[item].base != h.item {
			order = append(order, k)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if c := items[a].used.Compare(items[b].used); c != 0 {
			return c
		}
		return strings.Compare(s.items[items[a].item].name, s.items[items[b].item].name)
	})
	for _, k := range order {
		if lacking <= 0 {
			break
		}
		for _, d := range s.dependents(j, k) {
			if slices.Contains(evict, d) {
				continue
			}
			evict = append(evict, d)
			lacking -= s.items[items[d].item].bytes
			if items[d].used.After(used) {
				used = items[d].used
			}
		}
	}
	slices.Sort(evict)
	return evict, used, lacking <= 0
}
