package place

import (
	"slices"
	"strings"
	"time"

	"guavapaddle/core/backend"
)

type (
	// Static places items from the configuration document and the list of servers alone. It
	// ignores demand and does not replace what a lost server held. It serves as a baseline.
	Static struct{}

	// LRU loads an item when requests wait for it, or when its load exceeds lruSlotShare of
	// the slots of its holders, and evicts the least recently used copies to make room,
	// including last copies. It serves as a baseline.
	LRU struct{}
)

// lruSlotShare is the fraction of its holders' slots that an item may use before LRU loads
// another copy.
const lruSlotShare = 0.5

// Name returns NameStatic.
func (Static) Name() string { return NameStatic }

// Plan places the declared items round by round, one more copy of each per round, until
// nothing more fits. Lost servers are planned for as well, so that a loss does not change
// the plan of the others.
func (Static) Plan(now time.Time, in Input) Output {
	full := in
	full.Servers = slices.Clone(in.Servers)
	for j := range full.Servers {
		full.Servers[j].Reachable, full.Servers[j].Leaving = true, false
		full.Servers[j].ReservedBytes = 0
	}
	full.Demand = nil
	g := (&Gain{}).withDefaults()
	s := newState(now, full, g)
	order := s.sortedBySize()
	for placed := true; placed; {
		placed = false
		for _, i := range order {
			if j := g.bestWithoutEviction(s, i, false); j >= 0 {
				s.load(j, i, Declared, 0)
				placed = true
			}
		}
	}
	return restrictToLive(s.output(), in)
}

// restrictToLive removes lost and leaving servers from the plan, removes loads of items that
// are already on their server, and adds unloads of items that are not in the plan.
func restrictToLive(out Output, in Input) Output {
	current := map[string]map[backend.Item]bool{}
	for _, sv := range in.Servers {
		if !sv.Reachable || sv.Leaving {
			delete(out.Plan, sv.Name)
			continue
		}
		copies := map[backend.Item]bool{}
		for _, c := range slices.Concat(sv.Resident, sv.Loading) {
			copies[c.Item] = true
			if !slices.Contains(out.Plan[sv.Name], c.Item) {
				out.Moves = append(out.Moves, Move{Op: backend.Unload, Server: sv.Name, Item: c.Item, Bytes: c.Bytes, Reason: Undeclared})
			}
		}
		current[sv.Name] = copies
	}
	out.Moves = slices.DeleteFunc(out.Moves, func(m Move) bool {
		copies, live := current[m.Server]
		return !live || m.Op == backend.Load && copies[m.Item]
	})
	return out
}

// Name returns NameLRU.
func (LRU) Name() string { return NameLRU }

// Plan keeps the current copies and loads one copy of each item that is in demand, on the
// server where the copies to be evicted have been unused for longest.
func (LRU) Plan(now time.Time, in Input) Output {
	s := newState(now, in, Gain{UrgentWeight: defaultUrgentWeight})
	s.addCurrentCopies()
	for _, i := range s.sortedByWaiting() {
		if s.inDemand(i) && !s.isLoading(i) {
			s.loadLRU(i)
		}
	}
	out := s.output()
	out.Unplaced = nil
	out.MayUnloadLast = true
	return out
}

// inDemand reports whether requests wait for an item or its load exceeds lruSlotShare of the
// slots of its holders.
func (s *state) inDemand(item int) bool {
	i := &s.items[item]
	slots := 0
	for _, j := range i.holders {
		slots += s.servers[j].Slots
	}
	return i.waiting > 0 || i.load > lruSlotShare*float64(slots)
}

// sortedByWaiting returns the declared items in descending order of waiting requests.
func (s *state) sortedByWaiting() []int {
	order := s.sortedBySize()
	slices.SortStableFunc(order, func(a, b int) int { return s.items[b].waiting - s.items[a].waiting })
	return order
}

// isLoading reports whether a copy of an item is planned or being loaded but not yet
// resident.
func (s *state) isLoading(item int) bool {
	for _, j := range s.items[item].holders {
		for _, h := range s.servers[j].items {
			if h.item == item && !h.resident {
				return true
			}
		}
	}
	return false
}

// loadLRU loads an item on the server whose most recently used victim was used the longest
// ago. A server that needs no eviction is preferred. A load that the previous plan proposed
// stays on its server.
func (s *state) loadLRU(item int) {
	best, found := candidate{}, false
	var oldest time.Time
	pending := s.proposedServer(item)
	for j := range s.servers {
		if s.holds(j, item) || pending >= 0 && j != pending {
			continue
		}
		evict, used, ok := s.leastRecentlyUsed(j, item)
		if ok && (!found || used.Before(oldest)) {
			best, oldest, found = candidate{server: j, evict: evict}, used, true
		}
	}
	if !found {
		return
	}
	s.evict(best)
	s.load(best.server, item, OnDemand, 0)
}

// leastRecentlyUsed returns the indices of the copies on server j to evict so that an item
// fits, and the latest time at which one of them was used.
func (s *state) leastRecentlyUsed(j, item int) (evict []int, used time.Time, ok bool) {
	shortfall := s.shortfall(j, item)
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
		if shortfall <= 0 {
			break
		}
		for _, d := range s.withDependents(j, k) {
			if slices.Contains(evict, d) {
				continue
			}
			evict = append(evict, d)
			shortfall -= s.items[items[d].item].bytes
			if items[d].used.After(used) {
				used = items[d].used
			}
		}
	}
	slices.Sort(evict)
	return evict, used, shortfall <= 0
}
