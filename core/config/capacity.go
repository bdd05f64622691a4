package config

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

type (
	// unit is one copy of a model together with the adapters placed beside it.
	unit struct {
		label string
		model string // empty for the spare copy of a version change
		bytes int64
		peak  int64 // largest load peak of the model and its adapters
	}

	// bin is an engine and the units placed on it.
	bin struct {
		capacity int64 // memory minus KV reserve
		used     int64
		peak     int64 // largest load peak of the placed units
		models   map[string]bool
	}

	// preference reports whether a bin with a free bytes is preferred to one with
	// b free bytes, both counted before the unit is placed.
	preference func(a, b int64) bool

	// demand is the memory that the minimum copies need.
	demand struct {
		models   int64
		adapters int64
		spare    int64 // one more copy during a version change
	}
)

func (d demand) total() int64 { return sum(d.models, d.adapters, d.spare) }

// sum adds sizes and saturates at the largest int64.
func sum(sizes ...int64) int64 {
	var total int64
	for _, s := range sizes {
		if total > math.MaxInt64-s {
			return math.MaxInt64
		}
		total += s
	}
	return total
}

// checkCapacity checks that the minimum copies of all declared models and
// adapters fit in the engines' memory at the same time. It accounts for the KV
// reserve of each engine and for the largest load peak of an engine's items, as
// an engine loads one item at a time. Each adapter is placed beside a copy of
// its model, copies of a model are placed on different engines, and space is
// reserved for one spare copy of any one model with its adapters, which a
// version change needs.
//
// The check of the total is exact. For each model whose spare copy may be the
// hardest to place, a placement of all units and the spare copy is searched by
// two bin-packing heuristics, best-fit decreasing and worst-fit decreasing. A
// document for which both fail is rejected, although an exhaustive search might
// find a placement. The check doesn't show that a single placement has space
// for each of several such spare copies.
func (c *checker) checkCapacity() {
	bins, memory, reserve := c.bins()
	if c.checkItemSizes(bins) || len(c.doc.Models) == 0 {
		return
	}
	units := c.units()
	spares := spareCopies(units)
	need := c.demand(spares[0])
	calculation := fmt.Sprintf("least copies need %d bytes (models %d + adapters %d + a version change %d), engines have %d (memory %d - KV reserve %d)",
		need.total(), need.models, need.adapters, need.spare, memory-reserve, memory, reserve)
	if need.total() > memory-reserve {
		c.add(rootPath, CapacityExceeded, "%s: %d too many", calculation, need.total()-(memory-reserve))
		return
	}
	for _, spare := range spares {
		if unplaced, free, ok := place(append(slices.Clone(units), spare), bins); !ok {
			c.add(rootPath, CapacityFragmented, "%s, but no placement was found: %s needs %d bytes and %d while loading on one engine, the most that is left on one is %d",
				calculation, unplaced.label, unplaced.bytes, unplaced.peak, free)
			return
		}
	}
}

// spareCopies returns the spare copies that a version change may need, without
// those that fit wherever another one fits. The first one is the largest.
func spareCopies(units []unit) []unit {
	order := slices.Clone(units)
	slices.SortStableFunc(order, func(a, b unit) int { return bySize(b, a) })
	var spares []unit
	for _, u := range order {
		covered := func(s unit) bool { return s.bytes >= u.bytes && s.peak >= u.peak }
		if !slices.ContainsFunc(spares, covered) {
			spares = append(spares, unit{label: "room for a version change of " + u.label, bytes: u.bytes, peak: u.peak})
		}
	}
	return spares
}

// place tries to place the units by best fit, then by worst fit. If both fail,
// it returns the first unit that best fit couldn't place and the largest free
// space on one bin at that point.
func place(units []unit, bins []bin) (unplaced unit, free int64, ok bool) {
	unplaced, free, ok = pack(units, bins, func(a, b int64) bool { return a < b })
	if !ok {
		if _, _, ok = pack(units, bins, func(a, b int64) bool { return a > b }); ok {
			return unit{}, 0, true
		}
	}
	return unplaced, free, ok
}

// bins returns the engines as empty bins, their total memory and their total KV
// reserve.
func (c *checker) bins() (bins []bin, memory, reserve int64) {
	for _, s := range c.doc.Servers {
		if s.Type != Engine {
			continue
		}
		bins = append(bins, bin{capacity: s.MemoryBytes - s.KVReserveBytes})
		memory = sum(memory, s.MemoryBytes)
		reserve = sum(reserve, s.KVReserveBytes)
	}
	return bins, memory, reserve
}

// checkItemSizes adds a problem for each item that doesn't fit on any engine and
// reports whether there is one.
func (c *checker) checkItemSizes(bins []bin) bool {
	var largest int64
	for _, b := range bins {
		largest = max(largest, b.capacity)
	}
	found := false
	for i, m := range c.doc.Models {
		if need := sum(m.Bytes, m.LoadPeakBytes); need > largest {
			c.add(elementPath("models", i), ItemTooLarge, "%d bytes and %d while loading, the largest engine has %d for models", m.Bytes, m.LoadPeakBytes, largest)
			found = true
		}
	}
	for i, a := range c.doc.Adapters {
		m := c.doc.Models[c.models[a.Model]]
		if need := sum(m.Bytes, a.Bytes, max(m.LoadPeakBytes, a.LoadPeakBytes)); need > largest {
			c.add(elementPath("adapters", i), ItemTooLarge, "%d bytes beside %d of model %q and %d while loading, the largest engine has %d for models",
				a.Bytes, m.Bytes, m.Name, max(m.LoadPeakBytes, a.LoadPeakBytes), largest)
			found = true
		}
	}
	return found
}

// demand returns the memory that the minimum copies and the spare copy need.
func (c *checker) demand(spare unit) demand {
	d := demand{spare: sum(spare.bytes, spare.peak)}
	for _, m := range c.doc.Models {
		d.models = sum(d.models, times(m.Bytes, m.MinCopies))
	}
	for _, a := range c.doc.Adapters {
		d.adapters = sum(d.adapters, times(a.Bytes, a.MinCopies))
	}
	return d
}

// times returns size * n and saturates at the largest int64.
func times(size int64, n int) int64 {
	if n > 0 && size > math.MaxInt64/int64(n) {
		return math.MaxInt64
	}
	return size * int64(n)
}

// units returns the minimum copies of all models with their adapters. Adapters
// are assigned in decreasing order of size, each to the smallest copies of its
// model so far.
func (c *checker) units() []unit {
	units := make([]unit, 0, len(c.doc.Models))
	copiesOf := make(map[string][]int, len(c.doc.Models))
	for _, m := range c.doc.Models {
		for i := range m.MinCopies {
			copiesOf[m.Name] = append(copiesOf[m.Name], len(units))
			label := fmt.Sprintf("copy %d of model %q with its adapters", i+1, m.Name)
			units = append(units, unit{label: label, model: m.Name, bytes: m.Bytes, peak: m.LoadPeakBytes})
		}
	}
	adapters := slices.Clone(c.doc.Adapters)
	slices.SortStableFunc(adapters, func(a, b Adapter) int { return cmp.Compare(b.Bytes, a.Bytes) })
	for _, a := range adapters {
		copies := copiesOf[a.Model]
		slices.SortStableFunc(copies, func(i, j int) int { return cmp.Compare(units[i].bytes, units[j].bytes) })
		for _, i := range copies[:min(a.MinCopies, len(copies))] {
			units[i].bytes = sum(units[i].bytes, a.Bytes)
			units[i].peak = max(units[i].peak, a.LoadPeakBytes)
		}
	}
	return units
}

func bySize(a, b unit) int { return cmp.Compare(sum(a.bytes, a.peak), sum(b.bytes, b.peak)) }

// pack places the units on copies of the empty bins in decreasing order of size,
// each on the preferred bin among those that it fits on. If a unit fits on none,
// pack returns that unit and the largest free space on one bin.
func pack(units []unit, empty []bin, prefers preference) (unplaced unit, free int64, ok bool) {
	bins := slices.Clone(empty)
	for i := range bins {
		bins[i].models = make(map[string]bool)
	}
	order := slices.Clone(units)
	slices.SortStableFunc(order, func(a, b unit) int { return bySize(b, a) })
	for _, u := range order {
		best := -1
		for i, b := range bins {
			if b.fits(u) && (best < 0 || prefers(b.remaining(), bins[best].remaining())) {
				best = i
			}
		}
		if best < 0 {
			return u, maxRemaining(bins, u), false
		}
		bins[best].place(u)
	}
	return unit{}, 0, true
}

// maxRemaining returns the largest free space on a bin that doesn't hold u's model.
func maxRemaining(bins []bin, u unit) int64 {
	var largest int64
	for _, b := range bins {
		if u.model == "" || !b.models[u.model] {
			largest = max(largest, b.remaining())
		}
	}
	return largest
}

func (b bin) remaining() int64 { return b.capacity - b.used }

// fits reports whether u can be placed on b.
func (b bin) fits(u unit) bool {
	if u.model != "" && b.models[u.model] {
		return false
	}
	return sum(b.used, u.bytes, max(b.peak, u.peak)) <= b.capacity
}

func (b *bin) place(u unit) {
	b.used += u.bytes
	b.peak = max(b.peak, u.peak)
	b.models[u.model] = true
}
