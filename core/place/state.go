package place

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"guavapaddle/core/backend"
	"guavapaddle/core/config"
	"guavapaddle/core/view"
)

type (
	// itemState is a declared item, or a superseded version of one that is kept until it is
	// replaced.
	itemState struct {
		item       backend.Item
		name       string // item.String()
		bytes      int64
		peak       int64
		minCopies  int
		base       int     // index of the adapter's model, -1 for a model
		rate       float64 // requests a second
		value      float64 // rate, weighted by urgency
		load       float64 // slots that the rate occupies
		waiting    int     // requests waiting for a copy
		holders    []int   // servers that hold it in the plan
		resident   int     // live servers on which it can serve now
		superseded bool    // not the declared version
	}

	// placedCopy is an item in the plan of a server.
	placedCopy struct {
		item     int
		resident bool
		loading  bool
		since    time.Time
		used     time.Time
		anchor   bool
	}

	// serverState is a live server with its planned contents.
	serverState struct {
		*Server
		capacity int64 // memory for items and the load peak
		used     int64 // bytes of the planned items
		peak     int64 // largest load peak of the planned items
		load     float64
		items    []placedCopy

		evictionGroups []evictionGroup // cache of Gain.evictionGroups
		groupsValid    bool
	}

	// state is a plan under construction.
	state struct {
		now          time.Time
		in           Input
		items        []itemState
		byItem       map[backend.Item]int
		byName       map[string]int // declared items by name
		servers      []serverState
		moves        []Move
		unloads      []Move
		pendingLoads int // loads for gain repeated from the previous plan
	}
)

// newState indexes the input. Servers and items are sorted by name, so that the order of the
// input does not affect the plan.
func newState(now time.Time, in Input, settings Gain) *state {
	s := &state{now: now, in: in, byItem: map[backend.Item]int{}, byName: map[string]int{}}
	s.addItems()
	s.addDemand(settings)
	s.addServers()
	return s
}

func (s *state) addItems() {
	models := slices.Clone(s.in.Models)
	slices.SortFunc(models, func(a, b config.Model) int { return strings.Compare(a.Name, b.Name) })
	for _, m := range models {
		s.addItem(itemState{item: m.Item(), bytes: m.Bytes, peak: m.LoadPeakBytes, minCopies: max(1, m.MinCopies), base: -1})
	}
	adapters := slices.Clone(s.in.Adapters)
	slices.SortFunc(adapters, func(a, b config.Adapter) int { return strings.Compare(a.Name, b.Name) })
	for _, a := range adapters {
		base, ok := s.byName[a.Model]
		if !ok {
			continue // the configuration checker rejects such documents
		}
		s.addItem(itemState{item: a.Item(), bytes: a.Bytes, peak: a.LoadPeakBytes, minCopies: max(1, a.MinCopies), base: base})
	}
}

func (s *state) addItem(i itemState) int {
	i.name = i.item.String()
	s.items = append(s.items, i)
	index := len(s.items) - 1
	s.byItem[i.item] = index
	if !i.superseded {
		s.byName[i.item.Name] = index
	}
	return index
}

// addDemand sums the demand of all nodes. Entries are sorted first, so that floating-point
// rounding is the same on every node.
func (s *state) addDemand(settings Gain) {
	demand := slices.Clone(s.in.Demand)
	slices.SortFunc(demand, func(a, b view.Demand) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), cmp.Compare(a.Rate, b.Rate),
			cmp.Compare(a.Urgent, b.Urgent), cmp.Compare(a.Seconds, b.Seconds), cmp.Compare(a.Waiting, b.Waiting))
	})
	for _, d := range demand {
		index, ok := s.byName[d.Name]
		if !ok {
			continue
		}
		i := &s.items[index]
		i.rate += d.Rate
		i.value += d.Rate + settings.UrgentWeight*d.Urgent
		i.load += d.Rate * d.Seconds
		i.waiting += d.Waiting
	}
}

func (s *state) addServers() {
	servers := slices.Clone(s.in.Servers)
	slices.SortFunc(servers, func(a, b Server) int { return strings.Compare(a.Name, b.Name) })
	for _, sv := range servers {
		if !sv.Reachable || sv.Leaving {
			continue
		}
		s.servers = append(s.servers, serverState{
			Server: &sv, capacity: sv.MemoryBytes - sv.KVReserveBytes - sv.ReservedBytes,
		})
	}
}

// addCurrentCopies adds the current contents of the live servers to the plan: declared
// items, and at most one superseded version of an item per server until the declared version
// is resident there or on enough servers.
func (s *state) addCurrentCopies() {
	s.countResident()
	for j := range s.servers {
		for _, c := range s.servers[j].Resident {
			s.addCurrentCopy(j, c, true)
		}
		for _, c := range s.servers[j].Loading {
			s.addCurrentCopy(j, c, false)
		}
	}
	s.removeOrphans()
	s.markAnchors()
}

// countResident counts the live servers on which each declared item can serve. An adapter
// counts only where the declared version of its model is resident too.
func (s *state) countResident() {
	for j := range s.servers {
		for _, c := range s.servers[j].Resident {
			if i, ok := s.byItem[c.Item]; ok && s.holdsDeclaredBase(j, i) {
				s.items[i].resident++
			}
		}
	}
}

// holdsDeclaredBase reports whether an item is a model, or the declared version of its model
// is resident on server j.
func (s *state) holdsDeclaredBase(j, item int) bool {
	base := s.items[item].base
	return base < 0 || slices.ContainsFunc(s.servers[j].Resident, func(c Copy) bool { return c.Item == s.items[base].item })
}

// neededByAdapters reports whether adapters on server j still need an old version of the
// model there: the declared version is not resident on j, and one of the adapters has fewer
// than its minimum number of copies on servers where it is.
func (s *state) neededByAdapters(j, model int) bool {
	return slices.ContainsFunc(s.servers[j].Resident, func(c Copy) bool {
		i, ok := s.byItem[c.Item]
		return ok && s.items[i].base == model && !s.holdsDeclaredBase(j, i) && s.items[i].resident < s.items[i].minCopies
	})
}

// validCopies returns the number of planned copies of an item. A copy of an adapter counts
// only where the declared version of its model is planned too.
func (s *state) validCopies(item int) int {
	i := &s.items[item]
	if i.base < 0 {
		return len(i.holders)
	}
	n := 0
	for _, j := range i.holders {
		if s.holds(j, i.base) {
			n++
		}
	}
	return n
}

// withDependents returns k and the indices of the adapters on server j that need the k-th
// copy there.
func (s *state) withDependents(j, k int) []int {
	out := []int{k}
	item := s.servers[j].items[k].item
	for d, h := range s.servers[j].items {
		if s.items[h.item].base == item {
			out = append(out, d)
		}
	}
	return out
}

// addCurrentCopy adds a present copy to the plan, or records an unload with its reason.
func (s *state) addCurrentCopy(j int, c Copy, resident bool) {
	i, ok := s.byItem[c.Item]
	if !ok || s.items[i].superseded {
		current, declared := s.byName[c.Item.Name]
		if !declared || s.items[current].item.Base != c.Item.Base {
			s.recordUnload(j, c, Undeclared)
			return
		}
		if !resident || s.oldVersionUnneeded(j, current) {
			s.recordUnload(j, c, Superseded)
			return
		}
		if !ok {
			i = s.addItem(itemState{
				item: c.Item, bytes: c.Bytes, peak: s.items[current].peak, minCopies: 1,
				base: s.items[current].base, superseded: true,
			})
		}
	}
	s.add(j, placedCopy{item: i, resident: resident, loading: !resident, since: c.ResidentSince, used: c.LastUsed})
}

// oldVersionUnneeded reports whether server j need not keep another old version of the item
// whose declared version has index current. At most one old version stays per server: two
// could take the room that the declared version needs, and neither would ever be unloaded.
func (s *state) oldVersionUnneeded(j, current int) bool {
	declared := &s.items[current]
	if declared.resident >= declared.minCopies && !s.neededByAdapters(j, current) {
		return true
	}
	for _, c := range s.servers[j].Resident {
		if c.Item == declared.item {
			return true
		}
	}
	for _, h := range s.servers[j].items {
		old := &s.items[h.item]
		if old.superseded && old.item.Name == declared.item.Name && old.item.Base == declared.item.Base {
			return true
		}
	}
	return false
}

// recordUnload records the unload of a copy on server j.
func (s *state) recordUnload(j int, c Copy, reason Reason) {
	s.unloads = append(s.unloads, Move{Op: backend.Unload, Server: s.servers[j].Name, Item: c.Item, Bytes: c.Bytes, Reason: reason})
}

// removeOrphans removes the adapters without any version of their model on the same server.
func (s *state) removeOrphans() {
	for j := range s.servers {
		for k := len(s.servers[j].items) - 1; k >= 0; k-- {
			h := s.servers[j].items[k]
			if base := s.items[h.item].base; base >= 0 && !s.holdsModelVersion(j, base) {
				s.remove(j, k, Undeclared)
			}
		}
	}
}

// markAnchors marks the copies that must not be evicted.
func (s *state) markAnchors() {
	holders := make([][]string, len(s.items))
	for j := range s.servers {
		for _, h := range s.servers[j].items {
			if h.resident {
				holders[h.item] = append(holders[h.item], s.servers[j].Name)
			}
		}
	}
	for i := range s.items {
		holders[i] = Anchors(s.items[i].item, holders[i], s.items[i].minCopies)
	}
	for j := range s.servers {
		for k := range s.servers[j].items {
			h := &s.servers[j].items[k]
			h.anchor = h.resident && slices.Contains(holders[h.item], s.servers[j].Name)
		}
	}
}

// add adds a copy to the plan of server j. The load of an item is divided equally among its
// copies.
func (s *state) add(j int, h placedCopy) {
	i, sv := &s.items[h.item], &s.servers[j]
	s.distributeLoad(i, -1)
	i.holders = append(i.holders, j)
	s.distributeLoad(i, 1)
	sv.items = append(sv.items, h)
	sv.used += i.bytes
	sv.peak = max(sv.peak, i.peak)
	sv.groupsValid = false
}

// remove removes the k-th copy from the plan of server j.
func (s *state) remove(j, k int, reason Reason) {
	sv := &s.servers[j]
	h := sv.items[k]
	i := &s.items[h.item]
	s.distributeLoad(i, -1)
	i.holders = slices.Delete(i.holders, slices.Index(i.holders, j), slices.Index(i.holders, j)+1)
	s.distributeLoad(i, 1)
	sv.items = slices.Delete(sv.items, k, k+1)
	sv.used -= i.bytes
	sv.peak = 0
	sv.groupsValid = false
	for _, h := range sv.items {
		sv.peak = max(sv.peak, s.items[h.item].peak)
	}
	if h.resident || h.loading {
		s.recordUnload(j, Copy{Item: i.item, Bytes: i.bytes}, reason)
	}
}

// distributeLoad adds the item's load, multiplied by sign, to its holders in equal shares.
func (s *state) distributeLoad(i *itemState, sign float64) {
	for _, j := range i.holders {
		s.servers[j].load += sign * i.load / float64(len(i.holders))
	}
}

func (s *state) holds(j, item int) bool { return slices.Contains(s.items[item].holders, j) }

// holdsModelVersion reports whether server j holds any version of a model in the plan.
func (s *state) holdsModelVersion(j, base int) bool {
	if s.holds(j, base) {
		return true
	}
	name := s.items[base].item.Name
	for _, h := range s.servers[j].items {
		if i := &s.items[h.item]; i.base < 0 && i.item.Name == name {
			return true
		}
	}
	return false
}

// requiredMemory returns the bytes and the load peak of an item on server j, including the
// adapter's model if that is not planned there.
func (s *state) requiredMemory(j, item int) (bytes, peak int64) {
	i := &s.items[item]
	bytes, peak = i.bytes, i.peak
	if i.base >= 0 && !s.holds(j, i.base) {
		bytes += s.items[i.base].bytes
		peak = max(peak, s.items[i.base].peak)
	}
	return bytes, peak
}

// shortfall returns the number of bytes that server j lacks to hold an item; it is zero or
// negative if the item fits.
func (s *state) shortfall(j, item int) int64 {
	bytes, peak := s.requiredMemory(j, item)
	sv := &s.servers[j]
	return sv.used + bytes + max(sv.peak, peak) - sv.capacity
}

// headroom returns the number of unoccupied slots of server j below the target.
func (s *state) headroom(j int, target float64) float64 {
	return target*float64(max(1, s.servers[j].Slots)) - s.servers[j].load
}

// output sorts the plan and returns it.
func (s *state) output() Output {
	out := Output{Plan: make(map[string][]backend.Item, len(s.servers))}
	for j := range s.servers {
		sv := &s.servers[j]
		items := make([]backend.Item, 0, len(sv.items))
		slices.SortFunc(sv.items, func(a, b placedCopy) int {
			x, y := &s.items[a.item], &s.items[b.item]
			return cmp.Or(cmp.Compare(min(x.base, 0), min(y.base, 0)), strings.Compare(x.name, y.name))
		})
		for _, h := range sv.items {
			items = append(items, s.items[h.item].item)
		}
		out.Plan[sv.Name] = items
	}
	for i := range s.items {
		if len(s.items[i].holders) == 0 && !s.items[i].superseded {
			out.Unplaced = append(out.Unplaced, s.items[i].item)
		}
	}
	slices.SortStableFunc(s.unloads, func(a, b Move) int { return cmp.Compare(min(1, len(b.Item.Base)), min(1, len(a.Item.Base))) })
	out.Moves = append(s.moves, s.unloads...)
	return out
}
