package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"guavapaddle/core/backend"
)

const (
	defaultTarget       = 0.95
	defaultSpare        = 0.05
	defaultBurst        = 10.0
	defaultBurstShare   = 0.1
	defaultBurstSlots   = 4.0
	defaultHorizon      = 30 * time.Second
	defaultUrgentWeight = 4.0
	defaultMaxMoves     = 4
)

// Gain adds copies by marginal gain per byte. The zero value of each field
// stands for its default. A move's price and the least residence come with the
// input.
type Gain struct {
	// Target is the share of a server's slots that its load may keep busy,
	// default 0.95.
	Target float64
	// Spare is the share of an item's requests that a second copy is assumed
	// to save from bursts and losses, default 0.05. It halves with each copy.
	Spare float64
	// Burst is how many times an item's requests may rise without warning,
	// default 10.
	Burst float64
	// BurstShare is the share of time that an item is assumed to be in a burst,
	// default 0.1; negative for none.
	BurstShare float64
	// BurstSlots is how many slots of a server a burst is assumed to find free,
	// default 4.
	BurstSlots float64
	// Horizon is the time over which a copy must earn the price of its move,
	// default 30 s.
	Horizon time.Duration
	// UrgentWeight is how much more an urgent request counts, default 4.
	UrgentWeight float64
	// MaxMoves bounds the loads for gain that are under way at the same time,
	// default Input.Loads, or 4 if that is zero. Loads that are required are
	// not bounded.
	MaxMoves int
}

// candidate is a copy that could be added, with the copies that make room.
type candidate struct {
	server  int
	item    int
	evict   []int // places in the server's items, ascending
	gain    float64
	net     float64 // gain less losses over the horizon, less the price
	perByte float64
}

// Name returns "gain".
func (*Gain) Name() string { return NameGain }

// Plan returns the plan. It is a function of its arguments alone.
func (p *Gain) Plan(now time.Time, in Input) Output {
	set := p.withDefaults()
	if p.MaxMoves <= 0 && in.Loads > 0 {
		set.MaxMoves = in.Loads
	}
	s := newState(now, in, set)
	s.keepPresent()
	set.placePrevious(s)
	set.placeRequired(s)
	set.placeGains(s)
	return s.output()
}

func (p *Gain) withDefaults() Gain {
	set := *p
	if set.Target <= 0 {
		set.Target = defaultTarget
	}
	if set.Spare <= 0 {
		set.Spare = defaultSpare
	}
	if set.Burst <= 0 {
		set.Burst = defaultBurst
	}
	if set.BurstShare == 0 {
		set.BurstShare = defaultBurstShare
	}
	set.BurstShare = max(0, set.BurstShare)
	if set.BurstSlots <= 0 {
		set.BurstSlots = defaultBurstSlots
	}
	if set.Horizon <= 0 {
		set.Horizon = defaultHorizon
	}
	if set.UrgentWeight <= 0 {
		set.UrgentWeight = defaultUrgentWeight
	}
	if set.MaxMoves <= 0 {
		set.MaxMoves = defaultMaxMoves
	}
	return set
}

// placeRequired gives every declared item a copy, then its least number of
// copies, then a second data centre. Large items are placed first, since small
// ones fit into what is left; the loads are ordered by importance afterwards.
func (p *Gain) placeRequired(s *state) {
	order := s.bySize()
	for _, i := range order {
		if len(s.items[i].on) == 0 {
			p.require(s, i, Unreachable, true)
		}
	}
	for _, i := range order {
		for n := s.sound(i); n < s.items[i].minCopies; n++ {
			if !p.require(s, i, TooFew, true) {
				break
			}
		}
	}
	for _, i := range order {
		if len(s.items[i].on) > 0 && s.oneDataCentre(i) {
			p.require(s, i, OneDataCentre, false)
		}
	}
	s.sortMoves()
}

// bySize returns the declared items, models before adapters, the largest first.
func (s *state) bySize() []int {
	var order []int
	for i := range s.items {
		if !s.items[i].retired {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := &s.items[a], &s.items[b]
		return cmp.Or(cmp.Compare(min(x.base, 0), min(y.base, 0)), cmp.Compare(y.bytes, x.bytes))
	})
	return order
}

// oneDataCentre tells whether all copies of an item are in one data centre, and
// there is another one.
func (s *state) oneDataCentre(item int) bool {
	first := s.servers[s.items[item].on[0]].DataCentre
	for _, j := range s.items[item].on {
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

// require places one more copy of an item. With evict it drops copies beyond
// the least number to have room.
func (p *Gain) require(s *state, item int, why Why, evict bool) bool {
	best := p.roomiest(s, item, why == OneDataCentre)
	if best < 0 && evict {
		best = p.makeRoom(s, item)
	}
	if best < 0 {
		return false
	}
	s.load(best, item, why, 0)
	return true
}

// roomiest returns the best server that an item fits on as it is, -1 if none:
// one in a data centre without a copy, then one that holds the adapter's model,
// then the one with the most headroom.
func (p *Gain) roomiest(s *state, item int, elsewhere bool) int {
	best, most := -1, math.Inf(-1)
	bytes := s.items[item].bytes
	for j := range s.servers {
		if sv := &s.servers[j]; sv.used+bytes+sv.peak > sv.room {
			continue
		}
		if s.holds(j, item) || s.lacking(j, item) > 0 {
			continue
		}
		fresh := s.freshDataCentre(j, item)
		if elsewhere && !fresh {
			continue
		}
		score := p.headroomScore(s, j)
		if fresh {
			score += 4
		}
		if s.suits(j, item) {
			score += 2
		}
		if score > most {
			best, most = j, score
		}
	}
	return best
}

// suits tells whether server j holds the model of an adapter, or an older
// version of a model, whose adapters can then stay.
func (s *state) suits(j, item int) bool {
	if base := s.items[item].base; base >= 0 {
		return s.holds(j, base)
	}
	return s.hasBase(j, item)
}

// headroomScore returns a number from -1 to 1 that is higher the more slots and
// memory are free.
func (p *Gain) headroomScore(s *state, j int) float64 {
	sv := &s.servers[j]
	slots := s.headroom(j, p.Target) / (p.Target * float64(max(1, sv.Slots)))
	memory := float64(sv.room-sv.used) / float64(max(1, sv.room))
	return (max(-1, slots) + memory) / 2
}

// freshDataCentre tells whether no copy of the item is in the data centre of
// server j.
func (s *state) freshDataCentre(j, item int) bool {
	for _, k := range s.items[item].on {
		if s.servers[k].DataCentre == s.servers[j].DataCentre {
			return false
		}
	}
	return true
}

// makeRoom drops the copies whose loss is least so that an item fits, and
// returns the server, -1 if there is none.
func (p *Gain) makeRoom(s *state, item int) int {
	best := candidate{server: -1}
	least := math.Inf(1)
	for j := range s.servers {
		if s.holds(j, item) {
			continue
		}
		evict, loss, fits := p.evictions(s, j, item)
		if fits && loss < least {
			best, least = candidate{server: j, evict: evict}, loss
		}
	}
	if best.server >= 0 {
		s.evict(best)
	}
	return best.server
}

// evict drops the copies that make room for c.
func (s *state) evict(c candidate) {
	for k := len(c.evict) - 1; k >= 0; k-- {
		s.take(c.server, c.evict[k], GaveWay)
	}
}

// option is a copy that can be dropped, with the adapters that need it.
type option struct {
	places  []int // in the server's items
	loss    float64
	perByte float64
}

// evictions returns which copies on server j to drop so that an item fits, the
// least loss per byte first, with the summed loss.
func (p *Gain) evictions(s *state, j, item int) (evict []int, loss float64, ok bool) {
	lacking := s.lacking(j, item)
	if lacking <= 0 {
		return nil, 0, true
	}
	for _, o := range p.options(s, j) {
		if lacking <= 0 {
			break
		}
		if s.servers[j].items[o.places[0]].item == s.items[item].base {
			continue
		}
		for _, k := range o.places {
			if slices.Contains(evict, k) {
				continue
			}
			h := s.servers[j].items[k]
			evict = append(evict, k)
			loss += p.loss(s, j, h.item)
			lacking -= s.items[h.item].bytes
		}
	}
	evict, loss = p.prune(s, j, evict, loss, -lacking)
	return evict, loss, lacking <= 0
}

// prune takes out of evict the copies whose bytes turned out not to be needed,
// given how many bytes more than needed would be free.
func (p *Gain) prune(s *state, j int, evict []int, loss float64, spare int64) ([]int, float64) {
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

// options returns what may be dropped on server j, the least loss per byte
// first. They are kept until the server's items change; that other servers'
// loads change meanwhile is left out.
func (p *Gain) options(s *state, j int) []option {
	sv := &s.servers[j]
	if sv.optionsKnown {
		return sv.options
	}
	sv.options, sv.optionsKnown = nil, true
	for k := range sv.items {
		o := option{places: s.dependents(j, k)}
		var bytes int64
		ok := true
		for _, d := range o.places {
			if ok = p.evictable(s, sv.items[d]); !ok {
				break
			}
			o.loss += p.loss(s, j, sv.items[d].item)
			bytes += s.items[sv.items[d].item].bytes
		}
		if ok {
			o.perByte = o.loss / float64(max(1, bytes))
			sv.options = append(sv.options, o)
		}
	}
	slices.SortStableFunc(sv.options, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.perByte, b.perByte), cmp.Compare(len(a.places), len(b.places)))
	})
	return sv.options
}

// evictable tells whether a copy may be dropped for another item: it is neither
// an anchor nor under way nor young. Anchors keep the least number of copies.
func (p *Gain) evictable(s *state, h held) bool {
	if h.anchor || !h.resident || s.items[h.item].retired {
		return false
	}
	young := time.Duration(s.in.Placement.MinResidenceMS) * time.Millisecond
	return h.since.IsZero() || s.now.Sub(h.since) >= young
}

// load adds a copy to the plan, with the adapter's model if that is missing.
func (s *state) load(j, item int, why Why, gain float64) {
	i := &s.items[item]
	if i.base >= 0 && !s.holds(j, i.base) {
		s.load(j, i.base, NeededByAdapter, 0)
	}
	s.put(j, held{item: item})
	s.moves = append(s.moves, Move{Op: backend.Load, Server: s.servers[j].Name, Item: i.item, Bytes: i.bytes, Why: why, Gain: gain})
}

// sortMoves orders required loads: items without a copy first, then by value.
// A model comes before an adapter that needs it.
func (s *state) sortMoves() {
	class := map[Why]int{Unreachable: 0, NeededByAdapter: 0, TooFew: 1, OneDataCentre: 2}
	value := func(m Move) float64 { return s.items[s.byItem[m.Item]].value }
	slices.SortStableFunc(s.moves, func(a, b Move) int {
		return cmp.Or(
			cmp.Compare(class[a.Why], class[b.Why]),
			cmp.Compare(len(a.Item.Base), 0)-cmp.Compare(len(b.Item.Base), 0),
			cmp.Compare(value(b), value(a)))
	})
}
