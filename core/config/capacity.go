package config

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

type (
	// unit is one copy of a model with the adapters that go beside it.
	unit struct {
		label string
		model string // empty for the room of a version change
		bytes int64
		peak  int64 // largest load peak of what is in it
	}

	// bin is an engine with what was placed on it.
	bin struct {
		room   int64 // memory less KV reserve
		used   int64
		peak   int64 // largest load peak of what was placed
		models map[string]bool
	}

	// choice orders the engines on which a unit fits by the room it would leave.
	choice func(a, b int64) bool

	// demand is the sum that has to fit.
	demand struct {
		models   int64
		adapters int64
		spare    int64 // one more copy during a version change
	}
)

func (d demand) total() int64 { return sum(d.models, d.adapters, d.spare) }

// sum adds sizes and stays at the largest int64 instead of overflowing.
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

// checkCapacity checks that the least copies of everything declared fit in the
// engines' memory at the same time, with the KV reserve of each engine, the
// largest load peak of what an engine holds (an engine loads one item at a
// time), each adapter beside a copy of its model, copies of a model on
// different engines, and room for one more copy of any one model with its
// adapters, which a version change needs.
//
// The sum is exact. For each model that may need the most room, a placement of
// all and of its further copy is looked for by two heuristics of bin packing in
// decreasing order of size, best fit and worst fit; a document for which both
// fail is refused although a cleverer placement might exist. That one placement
// has room for each of several such models is not shown.
func (c *checker) checkCapacity() {
	bins, memory, reserve := c.bins()
	if c.tooLarge(bins) || len(c.doc.Models) == 0 {
		return
	}
	units := c.units()
	spares := largest(units)
	d := c.demand(spares[0])
	arithmetic := fmt.Sprintf("least copies need %d bytes (models %d + adapters %d + a version change %d), engines have %d (memory %d - KV reserve %d)",
		d.total(), d.models, d.adapters, d.spare, memory-reserve, memory, reserve)
	if d.total() > memory-reserve {
		c.add(rootPath, CapacityExceeded, "%s: %d too many", arithmetic, d.total()-(memory-reserve))
		return
	}
	for _, spare := range spares {
		if left, free, ok := place(append(slices.Clone(units), spare), bins); !ok {
			c.add(rootPath, CapacityFragmented, "%s, but no placement was found: %s needs %d bytes and %d while loading on one engine, the most that is left on one is %d",
				arithmetic, left.label, left.bytes, left.peak, free)
			return
		}
	}
}

// largest returns the further copies that a version change may need, leaving
// out those that fit wherever another one does. The first needs the most room.
func largest(units []unit) []unit {
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

// place tries to place the units by best fit, then by worst fit. If one fits
// nowhere it returns that unit and the most room that was left on one bin.
func place(units []unit, bins []bin) (left unit, free int64, ok bool) {
	left, free, ok = pack(units, bins, func(a, b int64) bool { return a < b })
	if !ok {
		if _, _, ok = pack(units, bins, func(a, b int64) bool { return a > b }); ok {
			return unit{}, 0, true
		}
	}
	return left, free, ok
}

// bins returns the engines, and the sums of their memories and KV reserves.
func (c *checker) bins() (bins []bin, memory, reserve int64) {
	for _, s := range c.doc.Servers {
		if s.Type != Engine {
			continue
		}
		bins = append(bins, bin{room: s.MemoryBytes - s.KVReserveBytes})
		memory = sum(memory, s.MemoryBytes)
		reserve = sum(reserve, s.KVReserveBytes)
	}
	return bins, memory, reserve
}

// tooLarge reports the items that fit on no engine.
func (c *checker) tooLarge(bins []bin) bool {
	var most int64
	for _, b := range bins {
		most = max(most, b.room)
	}
	found := false
	for i, m := range c.doc.Models {
		if need := sum(m.Bytes, m.LoadPeakBytes); need > most {
			c.add(at("models", i), ItemTooLarge, "%d bytes and %d while loading, the largest engine has %d for models", m.Bytes, m.LoadPeakBytes, most)
			found = true
		}
	}
	for i, a := range c.doc.Adapters {
		m := c.doc.Models[c.models[a.Model]]
		if need := sum(m.Bytes, a.Bytes, max(m.LoadPeakBytes, a.LoadPeakBytes)); need > most {
			c.add(at("adapters", i), ItemTooLarge, "%d bytes beside %d of model %q and %d while loading, the largest engine has %d for models",
				a.Bytes, m.Bytes, m.Name, max(m.LoadPeakBytes, a.LoadPeakBytes), most)
			found = true
		}
	}
	return found
}

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

func times(size int64, n int) int64 {
	if n > 0 && size > math.MaxInt64/int64(n) {
		return math.MaxInt64
	}
	return size * int64(n)
}

// units returns the copies of all models. The copies of an adapter go to those
// copies of its model that are the smallest so far, largest adapters first.
func (c *checker) units() []unit {
	units := make([]unit, 0, len(c.doc.Models))
	of := make(map[string][]int, len(c.doc.Models))
	for _, m := range c.doc.Models {
		for i := range m.MinCopies {
			of[m.Name] = append(of[m.Name], len(units))
			label := fmt.Sprintf("copy %d of model %q with its adapters", i+1, m.Name)
			units = append(units, unit{label: label, model: m.Name, bytes: m.Bytes, peak: m.LoadPeakBytes})
		}
	}
	adapters := slices.Clone(c.doc.Adapters)
	slices.SortStableFunc(adapters, func(a, b Adapter) int { return cmp.Compare(b.Bytes, a.Bytes) })
	for _, a := range adapters {
		copies := of[a.Model]
		slices.SortStableFunc(copies, func(i, j int) int { return cmp.Compare(units[i].bytes, units[j].bytes) })
		for _, i := range copies[:min(a.MinCopies, len(copies))] {
			units[i].bytes = sum(units[i].bytes, a.Bytes)
			units[i].peak = max(units[i].peak, a.LoadPeakBytes)
		}
	}
	return units
}

func bySize(a, b unit) int { return cmp.Compare(sum(a.bytes, a.peak), sum(b.bytes, b.peak)) }

// pack places the units on copies of the empty bins, largest first, each on
// the bin that better prefers. If one fits nowhere it returns that unit and the
// most room that was left on one bin.
func pack(units []unit, empty []bin, better choice) (left unit, free int64, ok bool) {
	bins := slices.Clone(empty)
	for i := range bins {
		bins[i].models = make(map[string]bool)
	}
	order := slices.Clone(units)
	slices.SortStableFunc(order, func(a, b unit) int { return bySize(b, a) })
	for _, u := range order {
		best := -1
		for i, b := range bins {
			if b.fits(u) && (best < 0 || better(b.left(), bins[best].left())) {
				best = i
			}
		}
		if best < 0 {
			return u, mostLeft(bins, u), false
		}
		bins[best].place(u)
	}
	return unit{}, 0, true
}

// mostLeft returns the most room left on a bin that doesn't hold u's model.
func mostLeft(bins []bin, u unit) int64 {
	var most int64
	for _, b := range bins {
		if u.model == "" || !b.models[u.model] {
			most = max(most, b.left())
		}
	}
	return most
}

func (b bin) left() int64 { return b.room - b.used }

func (b bin) fits(u unit) bool {
	if u.model != "" && b.models[u.model] {
		return false
	}
	return sum(b.used, u.bytes, max(b.peak, u.peak)) <= b.room
}

func (b *bin) place(u unit) {
	b.used += u.bytes
	b.peak = max(b.peak, u.peak)
	b.models[u.model] = true
}
