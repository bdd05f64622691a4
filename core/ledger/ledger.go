package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"guavapaddle/core/backend"
)

const maxDoublings = 3

type (
	// Settings of a Ledger.
	Settings struct {
		Server   string
		Capacity int64                   // bytes for items: memory less the reserve for KV cache
		Checks   bool                    // the server refuses old fencing numbers
		Lifetime time.Duration           // of an order on a server that doesn't check; zero: it never ends
		Cost     func(backend.Item) Cost // of items found in an inventory; may be nil
	}

	// Ledger is the memory of one backend server.
	Ledger struct {
		set     Settings
		epoch   uint64 // zero before Adopt
		seq     uint64
		boot    string
		began   time.Duration // of the last observation of this boot
		entries map[backend.Item]*Entry
	}
)

// New returns a ledger that allows nothing until Adopt.
func New(s Settings) *Ledger {
	return &Ledger{set: s, entries: map[backend.Item]*Entry{}}
}

// Set replaces the settings, as after a change of the configuration. Bytes that
// are held stay held.
func (l *Ledger) Set(s Settings) { l.set = s }

// Epoch returns the epoch of the last Adopt.
func (l *Ledger) Epoch() uint64 { return l.epoch }

// Boot returns the boot id last seen.
func (l *Ledger) Boot() string { return l.boot }

// Adopt starts the ledger under a new, higher epoch, from an inventory read
// after the server was taken and, on a server that checks, after the fence was
// raised to the epoch. Inherited are the records that the server's row carried
// when it was taken; they count only on a server that doesn't check. Taken is a
// moment after the take.
func (l *Ledger) Adopt(taken time.Duration, epoch uint64, inv backend.Inventory, inherited []Record) {
	if epoch <= l.epoch {
		panic(fmt.Sprintf("ledger: epoch %d after %d", epoch, l.epoch))
	}
	l.epoch, l.seq, l.boot, l.began = epoch, 0, inv.BootID, taken
	clear(l.entries)
	if !l.set.Checks {
		for _, r := range inherited {
			l.inherit(taken, r)
		}
	}
	l.apply(taken, taken, inv)
}

// inherit takes over an earlier owner's unsettled order.
func (l *Ledger) inherit(taken time.Duration, r Record) {
	sends := 1
	if r.Resent {
		sends = 2
	}
	l.entries[r.Order.Item] = &Entry{
		Item: r.Order.Item, State: Uncertain, Cost: Cost{Bytes: r.Order.Bytes, Peak: r.Peak},
		Order: r.Order, Since: taken, Sends: sends, inherited: true,
		returned: taken, until: taken + l.set.Lifetime,
	}
}

// Used returns the bytes held.
func (l *Ledger) Used() int64 {
	var n int64
	for _, e := range l.entries {
		n += e.Held()
	}
	return n
}

// Free returns the bytes that a new order may take; it can be negative.
func (l *Ledger) Free() int64 { return l.set.Capacity - l.Used() }

// Serving returns the items that are resident and not ordered to unload,
// ordered by name.
func (l *Ledger) Serving() []backend.Item {
	var out []backend.Item
	for _, e := range l.Entries() {
		if e.State == Resident && e.Order.Op != backend.Unload {
			out = append(out, e.Item)
		}
	}
	return out
}

// Coming returns the items that are to become resident, ordered by name.
func (l *Ledger) Coming() []backend.Item {
	var out []backend.Item
	for _, e := range l.Entries() {
		if e.State != Resident && e.State != Unloading && e.Order.Op != backend.Unload {
			out = append(out, e.Item)
		}
	}
	return out
}

// Entry returns the entry of an item, with state Absent if there is none.
func (l *Ledger) Entry(i backend.Item) Entry {
	if e, ok := l.entries[i]; ok {
		return *e
	}
	return Entry{Item: i, State: Absent}
}

// Entries returns all entries, ordered by item.
func (l *Ledger) Entries() []Entry {
	out := make([]Entry, 0, len(l.entries))
	for _, e := range l.entries {
		out = append(out, *e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Item.String(), b.Item.String()) })
	return out
}

// Records returns the orders that the next owner has to know of, ordered by
// item. On a server that doesn't check they are kept in the table before any of
// them is sent.
func (l *Ledger) Records() []Record {
	var out []Record
	for _, e := range l.Entries() {
		if e.pending() {
			out = append(out, Record{Order: e.Order, Peak: e.Cost.Peak, Resent: e.resent()})
		}
	}
	return out
}

// Reserve decides whether an order may be given, and takes its bytes. The cost
// of an unload is the entry's own. Last tells whether an item is the last copy
// that serves anywhere; nil protects nothing. The error is a *Refusal.
func (l *Ledger) Reserve(now time.Duration, op backend.Op, item backend.Item, cost Cost, last func(backend.Item) bool) (backend.Order, error) {
	refuse := func(r Reason) (backend.Order, error) {
		return backend.Order{}, &Refusal{Server: l.set.Server, Item: item.String(), Reason: r, Need: cost.Bytes + cost.Peak, Free: l.Free()}
	}
	e, ok := l.entries[item]
	switch {
	case l.epoch == 0:
		return refuse(NotAdopted)
	case ok && e.pending():
		return refuse(Unsettled)
	case op == backend.Load && ok:
		return refuse(Present)
	case op == backend.Load && item.Base != "" && !l.hasBase(item.Base):
		return refuse(NoBase)
	case op == backend.Load && cost.Bytes+cost.Peak > l.Free():
		return refuse(NoMemory)
	case op == backend.Load:
		e = &Entry{Item: item, State: Reserved, Cost: cost, Since: now}
		l.entries[item] = e
	case !ok || e.State != Resident:
		return refuse(NotResident)
	case item.Base == "" && l.baseInUse(item):
		return refuse(BaseInUse)
	case last != nil && last(item):
		return refuse(LastCopy)
	}
	l.seq++
	e.Order = backend.Order{
		OrderID: fmt.Sprintf("%s/%d/%d", l.set.Server, l.epoch, l.seq),
		Fence:   l.epoch, Op: op, Item: item, Bytes: e.Cost.Bytes,
	}
	e.Sends, e.returned, e.inherited, e.seen = 0, now, false, false
	return e.Order, nil
}

// hasBase tells whether a version of the model serves and is to stay.
func (l *Ledger) hasBase(model string) bool {
	for _, e := range l.entries {
		if e.Item.Base == "" && e.Item.Name == model && e.State == Resident && !e.pending() {
			return true
		}
	}
	return false
}

// baseInUse tells whether adapters need this version of their model: they are
// there, and no other version of the model is.
func (l *Ledger) baseInUse(item backend.Item) bool {
	adapters := false
	for _, e := range l.entries {
		if e.Item.Base == item.Name {
			adapters = true
		}
		if e.Item != item && e.Item.Base == "" && e.Item.Name == item.Name && e.State == Resident && !e.pending() {
			return false
		}
	}
	return adapters
}

// Resend returns an unsettled order to be sent again, with Sends counted up so
// that Records tells of it; the caller keeps these first, as for a new order.
// Orders inherited from an earlier owner are not sent again.
func (l *Ledger) Resend(item backend.Item) (backend.Order, bool) {
	e, ok := l.entries[item]
	if !ok || !e.pending() || e.inherited || e.open > 0 || e.Sends == 0 {
		return backend.Order{}, false
	}
	e.Sends++
	return e.Order, true
}

// Overdue returns the entries with an order of this owner that has had no
// effect since a call ended at least patience ago, doubled for each further
// call up to eight times, ordered by item.
func (l *Ledger) Overdue(now, patience time.Duration) []Entry {
	var out []Entry
	for _, e := range l.Entries() {
		if !e.pending() || e.inherited || e.open > 0 || e.Sends == 0 || e.seen || e.State == Resident {
			continue
		}
		if now-e.returned >= patience<<min(e.Sends-1, maxDoublings) {
			out = append(out, e)
		}
	}
	return out
}

// Cancel takes back an order that Reserve or Resend returned and that was not
// sent since.
func (l *Ledger) Cancel(now time.Duration, orderID string) {
	e := l.byOrder(orderID)
	if e == nil || e.Sends > 0 || e.open > 0 {
		return // a resend that is taken back leaves the order as it was
	}
	l.undo(now, e)
}

// Sending tells that a call with the order is about to be made.
func (l *Ledger) Sending(now time.Duration, orderID string) {
	e := l.byOrder(orderID)
	if e == nil {
		return
	}
	e.open++
	if e.Sends == 0 {
		e.Sends = 1
		if e.Order.Op == backend.Load {
			e.to(now, Loading)
		} else {
			e.to(now, Unloading)
		}
	}
}

// Answered tells what became of the call.
func (l *Ledger) Answered(now time.Duration, orderID string, a Answer) {
	e := l.byOrder(orderID)
	if e == nil {
		return
	}
	e.open--
	e.returned = now
	switch {
	case a == NotDone && e.Sends == 1 && !e.seen:
		l.undo(now, e)
	case a != Accepted && e.State != Resident:
		e.to(now, Uncertain)
	case a == Accepted && e.State == Uncertain && e.Order.Op == backend.Load:
		e.to(now, Loading)
	case a == Accepted && e.State == Uncertain:
		e.to(now, Unloading)
	}
}

// undo forgets an order that has no effect.
func (l *Ledger) undo(now time.Duration, e *Entry) {
	if e.Order.Op == backend.Load {
		delete(l.entries, e.Item)
		return
	}
	e.settle()
	e.to(now, Resident)
}

func (l *Ledger) byOrder(id string) *Entry {
	for _, e := range l.entries {
		if e.Order.OrderID == id {
			return e
		}
	}
	return nil
}

// Observe tells the ledger an inventory, asked for at began and got at now, in
// the order of asking. It returns true if the engine has restarted.
func (l *Ledger) Observe(began, now time.Duration, inv backend.Inventory) bool {
	if l.epoch == 0 {
		return false
	}
	restarted := inv.BootID != l.boot
	if restarted {
		l.restart(now)
		l.boot = inv.BootID
	}
	l.apply(began, now, inv)
	l.began = began
	return restarted
}

// restart forgets what died with the engine's old boot.
func (l *Ledger) restart(now time.Duration) {
	for item, e := range l.entries {
		switch {
		case !e.pending(), e.Order.Op == backend.Unload:
			delete(l.entries, item)
		case e.State == Reserved:
		case e.open == 0 && !e.inherited && e.returned < l.began:
			delete(l.entries, item)
		default: // the call may reach or have reached the new boot
			e.seen = false
			e.to(now, Uncertain)
		}
	}
}

// apply compares the entries with an inventory.
func (l *Ledger) apply(began, now time.Duration, inv backend.Inventory) {
	there := make(map[backend.Item]bool, len(inv.Items))
	for _, s := range inv.Items {
		there[s.Item] = true
		e, ok := l.entries[s.Item]
		if !ok {
			e = l.found(now, s)
		}
		e.Cost.Bytes = max(e.Cost.Bytes, s.Bytes)
		l.present(began, now, e, s.State)
	}
	for item, e := range l.entries {
		if !there[item] {
			l.absent(began, now, e)
		}
	}
}

// found adds an item that the ledger did not know of.
func (l *Ledger) found(now time.Duration, s backend.ItemStatus) *Entry {
	e := &Entry{Item: s.Item, State: Loading, Cost: Cost{Bytes: s.Bytes}, Since: now}
	if l.set.Cost != nil {
		e.Cost = l.set.Cost(s.Item)
	}
	l.entries[s.Item] = e
	return e
}

// present notes that the engine has the item.
func (l *Ledger) present(began, now time.Duration, e *Entry, s backend.ItemState) {
	if e.Order.Op == backend.Load {
		e.seen = true
	}
	switch {
	case s == backend.Unloading:
		e.to(now, Unloading)
	case e.Order.Op == backend.Unload:
		if l.void(began, e) {
			e.settle()
			e.to(now, Resident)
		}
	case s == backend.Loading:
		e.to(now, Loading)
	default:
		e.to(now, Resident)
		// Only when no call can still be under way is the order settled: a
		// second one could reach a later boot of the engine.
		if e.open == 0 && began > e.returned && (!e.inherited || !e.resent() || began >= e.until) {
			e.settle()
		}
	}
}

// absent notes that the engine does not have the item.
func (l *Ledger) absent(began, now time.Duration, e *Entry) {
	switch {
	case !e.pending(), e.Order.Op == backend.Unload:
		// It was there, and nothing can bring it back.
		delete(l.entries, e.Item)
	case e.State == Reserved:
	case l.void(began, e):
		delete(l.entries, e.Item)
	case e.seen || e.State == Resident:
		// The load failed. An engine may forget that it had the order, so that
		// another copy of it would load again.
		e.seen = false
		e.to(now, Uncertain)
	}
}

// void tells whether the lifetime of an unsettled order had passed at a moment.
func (l *Ledger) void(at time.Duration, e *Entry) bool {
	if l.set.Checks || l.set.Lifetime == 0 || e.open > 0 {
		return false
	}
	if e.inherited {
		return at >= e.until
	}
	return at >= e.returned+l.set.Lifetime
}
