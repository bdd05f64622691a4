package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"guavapaddle/core/backend"
)

const maxResendDoublings = 3

type (
	// Settings configures a Ledger.
	Settings struct {
		Server   string
		Capacity int64                   // bytes available for items: memory less the reserve for the KV cache
		Checks   bool                    // the server refuses outdated fencing numbers
		Lifetime time.Duration           // of an order on a server that doesn't check; zero means unlimited
		Cost     func(backend.Item) Cost // of items found in an inventory; may be nil
	}

	// Ledger accounts for the memory of one backend server.
	Ledger struct {
		settings    Settings
		epoch       uint64 // zero before Adopt
		seq         uint64
		bootID      string
		requestedAt time.Duration // when the last inventory of this boot was requested
		entries     map[backend.Item]*Entry
	}
)

// New returns a ledger that allows no order before the first call of Adopt.
func New(s Settings) *Ledger {
	return &Ledger{settings: s, entries: map[backend.Item]*Entry{}}
}

// SetSettings replaces the settings, for example after a configuration change. Memory
// that is reserved remains reserved.
func (l *Ledger) SetSettings(s Settings) { l.settings = s }

// Epoch returns the epoch of the last Adopt.
func (l *Ledger) Epoch() uint64 { return l.epoch }

// BootID returns the last observed boot id.
func (l *Ledger) BootID() string { return l.bootID }

// Adopt restarts the ledger under a new, higher epoch. The inventory must have
// been read after the server was acquired and, on a server that checks fencing
// numbers, after the fence was raised to the epoch. Inherited are the records in
// the server's row at its acquisition; they are used only on a server that
// doesn't check. AcquiredAt is a time after the acquisition, from which their
// lifetime counts.
func (l *Ledger) Adopt(acquiredAt time.Duration, epoch uint64, inv backend.Inventory, inherited []Record) {
	if epoch <= l.epoch {
		panic(fmt.Sprintf("ledger: adopted epoch %d is not higher than %d", epoch, l.epoch))
	}
	l.epoch, l.seq, l.bootID, l.requestedAt = epoch, 0, inv.BootID, acquiredAt
	clear(l.entries)
	if !l.settings.Checks {
		for _, r := range inherited {
			l.inherit(acquiredAt, r)
		}
	}
	l.apply(acquiredAt, acquiredAt, inv)
}

// inherit adds an unsettled order of an earlier owner.
func (l *Ledger) inherit(acquiredAt time.Duration, r Record) {
	sends := 1
	if r.Resent {
		sends = 2
	}
	l.entries[r.Order.Item] = &Entry{
		Item: r.Order.Item, State: Uncertain, Cost: Cost{Bytes: r.Order.Bytes, Peak: r.Peak},
		Order: r.Order, Since: acquiredAt, Sends: sends, inherited: true,
		lastCallEnd: acquiredAt, expires: acquiredAt + l.settings.Lifetime,
	}
}

// Used returns the reserved bytes.
func (l *Ledger) Used() int64 {
	var n int64
	for _, e := range l.entries {
		n += e.ReservedBytes()
	}
	return n
}

// Free returns the bytes available to new orders. It can be negative.
func (l *Ledger) Free() int64 { return l.settings.Capacity - l.Used() }

// Serving returns the items that are resident and not ordered to unload, sorted
// by name.
func (l *Ledger) Serving() []backend.Item {
	var out []backend.Item
	for _, e := range l.Entries() {
		if e.State == Resident && e.Order.Op != backend.Unload {
			out = append(out, e.Item)
		}
	}
	return out
}

// Loading returns the items that may become resident, sorted by name.
func (l *Ledger) Loading() []backend.Item {
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

// Entries returns all entries, sorted by item.
func (l *Ledger) Entries() []Entry {
	out := make([]Entry, 0, len(l.entries))
	for _, e := range l.entries {
		out = append(out, *e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Item.String(), b.Item.String()) })
	return out
}

// Records returns the unsettled orders, which the next owner has to know, sorted
// by item. On a server that doesn't check fencing numbers the records must be
// stored in the table before any of the orders is sent.
func (l *Ledger) Records() []Record {
	var out []Record
	for _, e := range l.Entries() {
		if e.pending() {
			out = append(out, Record{Order: e.Order, Peak: e.Cost.Peak, Resent: e.resent()})
		}
	}
	return out
}

// Reserve decides whether an order is allowed and reserves its memory. For an
// unload the cost is ignored: the entry has its own. IsLastCopy reports whether
// an item is the last copy that serves anywhere; if it is nil, last copies may be
// unloaded. The error is a *RefusalError.
func (l *Ledger) Reserve(now time.Duration, op backend.Op, item backend.Item, cost Cost, isLastCopy func(backend.Item) bool) (backend.Order, error) {
	refuse := func(r Reason) (backend.Order, error) {
		return backend.Order{}, &RefusalError{Server: l.settings.Server, Item: item.String(), Reason: r, Need: cost.Bytes + cost.Peak, Free: l.Free()}
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
	case isLastCopy != nil && isLastCopy(item):
		return refuse(LastCopy)
	}
	l.seq++
	e.Order = backend.Order{
		OrderID: fmt.Sprintf("%s/%d/%d", l.settings.Server, l.epoch, l.seq),
		Fence:   l.epoch, Op: op, Item: item, Bytes: e.Cost.Bytes,
	}
	e.Sends, e.lastCallEnd, e.inherited, e.observed = 0, now, false, false
	return e.Order, nil
}

// hasBase reports whether a version of the model is resident and has no
// unsettled order.
func (l *Ledger) hasBase(model string) bool {
	for _, e := range l.entries {
		if e.Item.Base == "" && e.Item.Name == model && e.State == Resident && !e.pending() {
			return true
		}
	}
	return false
}

// baseInUse reports whether adapters need this version of their model: there are
// entries for adapters, and no other version of the model serves.
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

// Resend returns an unsettled order to be sent again. It increments Sends, so
// that the order's record shows the resend; as for a new order, the caller must
// first store the records where that is required. Orders inherited from an
// earlier owner are not sent again.
func (l *Ledger) Resend(item backend.Item) (backend.Order, bool) {
	e, ok := l.entries[item]
	if !ok || !e.pending() || e.inherited || e.openCalls > 0 || e.Sends == 0 {
		return backend.Order{}, false
	}
	e.Sends++
	return e.Order, true
}

// Overdue returns the entries, sorted by item, whose order was given by this
// owner, was sent, and has had no observed effect although its last call ended
// at least resendAfter ago. That time doubles with each further call, up to
// eight times resendAfter.
func (l *Ledger) Overdue(now, resendAfter time.Duration) []Entry {
	var out []Entry
	for _, e := range l.Entries() {
		if !e.pending() || e.inherited || e.openCalls > 0 || e.Sends == 0 || e.observed || e.State == Resident {
			continue
		}
		if now-e.lastCallEnd >= resendAfter<<min(e.Sends-1, maxResendDoublings) {
			out = append(out, e)
		}
	}
	return out
}

// Cancel cancels an order that was returned by Reserve or Resend and has not
// been sent since.
func (l *Ledger) Cancel(now time.Duration, orderID string) {
	e := l.entryByOrder(orderID)
	if e == nil || e.Sends > 0 || e.openCalls > 0 {
		return // canceling a resend leaves the earlier send unsettled
	}
	l.undo(now, e)
}

// RecordSend records that a call with the order is about to be made.
func (l *Ledger) RecordSend(now time.Duration, orderID string) {
	e := l.entryByOrder(orderID)
	if e == nil {
		return
	}
	e.openCalls++
	if e.Sends == 0 {
		e.Sends = 1
		if e.Order.Op == backend.Load {
			e.setState(now, Loading)
		} else {
			e.setState(now, Unloading)
		}
	}
}

// RecordResult records the result of a call with the order.
func (l *Ledger) RecordResult(now time.Duration, orderID string, a CallResult) {
	e := l.entryByOrder(orderID)
	if e == nil {
		return
	}
	e.openCalls--
	e.lastCallEnd = now
	switch {
	case a == NotDone && e.Sends == 1 && !e.observed:
		l.undo(now, e)
	case a != Accepted && e.State != Resident:
		e.setState(now, Uncertain)
	case a == Accepted && e.State == Uncertain && e.Order.Op == backend.Load:
		e.setState(now, Loading)
	case a == Accepted && e.State == Uncertain:
		e.setState(now, Unloading)
	}
}

// undo removes an order that has no effect.
func (l *Ledger) undo(now time.Duration, e *Entry) {
	if e.Order.Op == backend.Load {
		delete(l.entries, e.Item)
		return
	}
	e.clearOrder()
	e.setState(now, Resident)
}

func (l *Ledger) entryByOrder(id string) *Entry {
	for _, e := range l.entries {
		if e.Order.OrderID == id {
			return e
		}
	}
	return nil
}

// Observe updates the ledger from an inventory that was requested at requestedAt
// and received at now. Inventories must be passed in the order of their requests.
// Observe reports whether the engine has restarted.
func (l *Ledger) Observe(requestedAt, now time.Duration, inv backend.Inventory) bool {
	if l.epoch == 0 {
		return false
	}
	restarted := inv.BootID != l.bootID
	if restarted {
		l.restart(now)
		l.bootID = inv.BootID
	}
	l.apply(requestedAt, now, inv)
	l.requestedAt = requestedAt
	return restarted
}

// restart removes the entries that ended with the engine's previous boot.
func (l *Ledger) restart(now time.Duration) {
	for item, e := range l.entries {
		switch {
		case !e.pending(), e.Order.Op == backend.Unload:
			delete(l.entries, item)
		case e.State == Reserved:
		case e.openCalls == 0 && !e.inherited && e.lastCallEnd < l.requestedAt:
			delete(l.entries, item)
		default: // a call may have reached the new boot or may still reach it
			e.observed = false
			e.setState(now, Uncertain)
		}
	}
}

// apply updates the entries from an inventory.
func (l *Ledger) apply(requestedAt, now time.Duration, inv backend.Inventory) {
	inInventory := make(map[backend.Item]bool, len(inv.Items))
	for _, s := range inv.Items {
		inInventory[s.Item] = true
		e, ok := l.entries[s.Item]
		if !ok {
			e = l.addFound(now, s)
		}
		e.Cost.Bytes = max(e.Cost.Bytes, s.Bytes)
		l.observePresent(requestedAt, now, e, s.State)
	}
	for item, e := range l.entries {
		if !inInventory[item] {
			l.observeAbsent(requestedAt, now, e)
		}
	}
}

// addFound adds an entry for an unknown item found in an inventory.
func (l *Ledger) addFound(now time.Duration, s backend.ItemStatus) *Entry {
	e := &Entry{Item: s.Item, State: Loading, Cost: Cost{Bytes: s.Bytes}, Since: now}
	if l.settings.Cost != nil {
		e.Cost = l.settings.Cost(s.Item)
	}
	l.entries[s.Item] = e
	return e
}

// observePresent updates the entry of an item that is in the inventory.
func (l *Ledger) observePresent(requestedAt, now time.Duration, e *Entry, s backend.ItemState) {
	if e.Order.Op == backend.Load {
		e.observed = true
	}
	switch {
	case s == backend.Unloading:
		e.setState(now, Unloading)
	case e.Order.Op == backend.Unload:
		if l.lifetimePassed(requestedAt, e) {
			e.clearOrder()
			e.setState(now, Resident)
		}
	case s == backend.Loading:
		e.setState(now, Loading)
	default:
		e.setState(now, Resident)
		// The order is settled only when no call with it can still be in
		// transit: another one could reach a later boot of the engine.
		if e.openCalls == 0 && requestedAt > e.lastCallEnd && (!e.inherited || !e.resent() || requestedAt >= e.expires) {
			e.clearOrder()
		}
	}
}

// observeAbsent updates the entry of an item that is not in the inventory.
func (l *Ledger) observeAbsent(requestedAt, now time.Duration, e *Entry) {
	switch {
	case !e.pending(), e.Order.Op == backend.Unload:
		// The item was present, and no order can load it again.
		delete(l.entries, e.Item)
	case e.State == Reserved:
	case l.lifetimePassed(requestedAt, e):
		delete(l.entries, e.Item)
	case e.observed || e.State == Resident:
		// The load failed. The engine may no longer know the order id, so that
		// a duplicate of the order would load the item again.
		e.observed = false
		e.setState(now, Uncertain)
	}
}

// lifetimePassed reports whether the lifetime of an unsettled order had ended by
// the given time. It is false on a server that checks fencing numbers, where the
// lifetime is not used.
func (l *Ledger) lifetimePassed(at time.Duration, e *Entry) bool {
	if l.settings.Checks || l.settings.Lifetime == 0 || e.openCalls > 0 {
		return false
	}
	if e.inherited {
		return at >= e.expires
	}
	return at >= e.lastCallEnd+l.settings.Lifetime
}
