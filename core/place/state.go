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
	// itemState is a declared item, or an old version that is kept for now.
	itemState struct {
		item      backend.Item
		name      string // item.String()
		bytes     int64
		peak      int64
		minCopies int
		base      int     // index of an adapter's model, -1 for a model
		rate      float64 // requests a second
		value     float64 // rate weighted by urgency
		load      float64 // slots that the rate keeps busy
		waiting   int     // requests that wait for a copy
		on        []int   // servers of the plan that hold it
		resident  int     // live servers where it is resident now
		retired   bool    // an old version
	}

	// held is an item in the plan of a server.
	held struct {
		item     int
		resident bool
		loading  bool
		since    time.Time
		used     time.Time
		anchor   bool
	}

	// serverState is a live server with its plan.
	serverState struct {
		*Server
		room  int64 // memory for items and load peak
		used  int64 // bytes of the plan's items
		peak  int64 // largest load peak of the plan's items
		load  float64
		items []held

		options      []option // what may be dropped, see Gain.options
		optionsKnown bool
	}

	// state is a plan in the making.
	state struct {
		now     time.Time
		in      Input
		items   []itemState
		byItem  map[backend.Item]int
		byName  map[string]int // declared items by name
		servers []serverState
		moves   []Move
		drops   []Move
		pending int // loads for gain that the previous plan proposed
	}
)

// newState indexes the input. Servers and items are sorted by name, so that
// the order of the input doesn't matter.
func newState(now time.Time, in Input, set Gain) *state {
	s := &state{now: now, in: in, byItem: map[backend.Item]int{}, byName: map[string]int{}}
	s.addItems()
	s.addDemand(set)
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
			continue // refused when the document is checked
		}
		s.addItem(itemState{item: a.Item(), bytes: a.Bytes, peak: a.LoadPeakBytes, minCopies: max(1, a.MinCopies), base: base})
	}
}

func (s *state) addItem(i itemState) int {
	i.name = i.item.String()
	s.items = append(s.items, i)
	index := len(s.items) - 1
	s.byItem[i.item] = index
	if !i.retired {
		s.byName[i.item.Name] = index
	}
	return index
}

// addDemand sums the demand of all nodes up, in the order of names and rates so
// that rounding is the same everywhere.
func (s *state) addDemand(set Gain) {
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
		i.value += d.Rate + set.UrgentWeight*d.Urgent
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
			Server: &sv, room: sv.MemoryBytes - sv.KVReserveBytes - sv.HeldBytes,
		})
	}
}

// keepPresent puts what live servers hold into their plans: declared items, and
// one old version a server until the new one is resident there or often enough.
func (s *state) keepPresent() {
	s.countResident()
	for j := range s.servers {
		for _, c := range s.servers[j].Resident {
			s.keep(j, c, true)
		}
		for _, c := range s.servers[j].Loading {
			s.keep(j, c, false)
		}
	}
	s.dropOrphans()
	s.markAnchors()
}

// countResident counts the live servers where each declared item serves: for an
// adapter, those where the declared version of its model does too.
func (s *state) countResident() {
	for j := range s.servers {
		for _, c := range s.servers[j].Resident {
			if i, ok := s.byItem[c.Item]; ok && s.hasDeclaredBase(j, i) {
				s.items[i].resident++
			}
		}
	}
}

func (s *state) hasDeclaredBase(j, item int) bool {
	base := s.items[item].base
	return base < 0 || slices.ContainsFunc(s.servers[j].Resident, func(c Copy) bool { return c.Item == s.items[base].item })
}

// carriesLast tells whether server j holds an adapter of the model that is not
// yet resident often enough with the declared version of the model.
func (s *state) carriesLast(j, model int) bool {
	return slices.ContainsFunc(s.servers[j].Resident, func(c Copy) bool {
		i, ok := s.byItem[c.Item]
		return ok && s.items[i].base == model && !s.hasDeclaredBase(j, i) && s.items[i].resident < s.items[i].minCopies
	})
}

// sound returns the copies of an item in the plan: for an adapter, those with
// the declared version of its model.
func (s *state) sound(item int) int {
	i := &s.items[item]
	if i.base < 0 {
		return len(i.on)
	}
	n := 0
	for _, j := range i.on {
		if s.holds(j, i.base) {
			n++
		}
	}
	return n
}

// dependents returns the k-th place of server j and the places of adapters
// there that need it.
func (s *state) dependents(j, k int) []int {
	out := []int{k}
	item := s.servers[j].items[k].item
	for d, h := range s.servers[j].items {
		if s.items[h.item].base == item {
			out = append(out, d)
		}
	}
	return out
}

// keep puts a present copy into the plan, or records why it is dropped.
func (s *state) keep(j int, c Copy, resident bool) {
	i, ok := s.byItem[c.Item]
	if !ok || s.items[i].retired {
		current, declared := s.byName[c.Item.Name]
		if !declared || s.items[current].item.Base != c.Item.Base {
			s.drop(j, c, Undeclared)
			return
		}
		if !resident || s.superseded(j, current) {
			s.drop(j, c, Superseded)
			return
		}
		if !ok {
			i = s.addItem(itemState{
				item: c.Item, bytes: c.Bytes, peak: s.items[current].peak, minCopies: 1,
				base: s.items[current].base, retired: true,
			})
		}
	}
	s.put(j, held{item: i, resident: resident, loading: !resident, since: c.Since, used: c.Used})
}

// superseded tells whether server j needs no further old version of an item,
// given the index of the declared one. It keeps one at most: two could take up
// the room that the declared version needs, and none would ever go.
func (s *state) superseded(j, current int) bool {
	declared := &s.items[current]
	if declared.resident >= declared.minCopies && !s.carriesLast(j, current) {
		return true
	}
	for _, c := range s.servers[j].Resident {
		if c.Item == declared.item {
			return true
		}
	}
	for _, h := range s.servers[j].items {
		old := &s.items[h.item]
		if old.retired && old.item.Name == declared.item.Name && old.item.Base == declared.item.Base {
			return true
		}
	}
	return false
}

func (s *state) drop(j int, c Copy, why Why) {
	s.drops = append(s.drops, Move{Op: backend.Unload, Server: s.servers[j].Name, Item: c.Item, Bytes: c.Bytes, Why: why})
}

// dropOrphans drops adapters whose model is not on the server.
func (s *state) dropOrphans() {
	for j := range s.servers {
		for k := len(s.servers[j].items) - 1; k >= 0; k-- {
			h := s.servers[j].items[k]
			if base := s.items[h.item].base; base >= 0 && !s.hasBase(j, base) {
				s.take(j, k, Undeclared)
			}
		}
	}
}

// markAnchors marks the copies that must not be dropped.
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

// put adds a copy to the plan of server j. The load of an item is spread
// equally over its copies.
func (s *state) put(j int, h held) {
	i, sv := &s.items[h.item], &s.servers[j]
	s.spread(i, -1)
	i.on = append(i.on, j)
	s.spread(i, 1)
	sv.items = append(sv.items, h)
	sv.used += i.bytes
	sv.peak = max(sv.peak, i.peak)
	sv.optionsKnown = false
}

// take removes the k-th copy from the plan of server j.
func (s *state) take(j, k int, why Why) {
	sv := &s.servers[j]
	h := sv.items[k]
	i := &s.items[h.item]
	s.spread(i, -1)
	i.on = slices.Delete(i.on, slices.Index(i.on, j), slices.Index(i.on, j)+1)
	s.spread(i, 1)
	sv.items = slices.Delete(sv.items, k, k+1)
	sv.used -= i.bytes
	sv.peak = 0
	sv.optionsKnown = false
	for _, h := range sv.items {
		sv.peak = max(sv.peak, s.items[h.item].peak)
	}
	if h.resident || h.loading {
		s.drop(j, Copy{Item: i.item, Bytes: i.bytes}, why)
	}
}

// spread adds the item's load, times sign, to its servers.
func (s *state) spread(i *itemState, sign float64) {
	for _, j := range i.on {
		s.servers[j].load += sign * i.load / float64(len(i.on))
	}
}

func (s *state) holds(j, item int) bool { return slices.Contains(s.items[item].on, j) }

// hasBase tells whether server j holds a version of the model.
func (s *state) hasBase(j, base int) bool {
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

// needs returns the bytes and the peak of loading an item on server j, with the
// adapter's model if that is not there.
func (s *state) needs(j, item int) (bytes, peak int64) {
	i := &s.items[item]
	bytes, peak = i.bytes, i.peak
	if i.base >= 0 && !s.holds(j, i.base) {
		bytes += s.items[i.base].bytes
		peak = max(peak, s.items[i.base].peak)
	}
	return bytes, peak
}

// lacking returns by how many bytes server j is too small for an item.
func (s *state) lacking(j, item int) int64 {
	bytes, peak := s.needs(j, item)
	sv := &s.servers[j]
	return sv.used + bytes + max(sv.peak, peak) - sv.room
}

// headroom returns the slots of server j below the target that are not busy.
func (s *state) headroom(j int, target float64) float64 {
	return target*float64(max(1, s.servers[j].Slots)) - s.servers[j].load
}

// output sorts the plan.
func (s *state) output() Output {
	out := Output{Plan: make(map[string][]backend.Item, len(s.servers))}
	for j := range s.servers {
		sv := &s.servers[j]
		items := make([]backend.Item, 0, len(sv.items))
		slices.SortFunc(sv.items, func(a, b held) int {
			x, y := &s.items[a.item], &s.items[b.item]
			return cmp.Or(cmp.Compare(min(x.base, 0), min(y.base, 0)), strings.Compare(x.name, y.name))
		})
		for _, h := range sv.items {
			items = append(items, s.items[h.item].item)
		}
		out.Plan[sv.Name] = items
	}
	for i := range s.items {
		if len(s.items[i].on) == 0 && !s.items[i].retired {
			out.Unplaced = append(out.Unplaced, s.items[i].item)
		}
	}
	slices.SortStableFunc(s.drops, func(a, b Move) int { return cmp.Compare(min(1, len(b.Item.Base)), min(1, len(a.Item.Base))) })
	out.Moves = append(s.moves, s.drops...)
	return out
}
