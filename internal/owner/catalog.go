package owner

import (
	"time"

	"guavapaddle/core/backend"
	"guavapaddle/core/config"
	"guavapaddle/core/ledger"
)

// catalog is the part of a configuration that an owner needs. It is immutable.
type catalog struct {
	servers      map[string]config.BackendServer // engine servers by name
	costs        map[backend.Item]ledger.Cost
	declared     map[string]backend.Item // declared version, by nameOf
	maxLoads     int                     // maximum concurrent loads from the weight store
	minResidence time.Duration           // minimum residence of an item before it may be unloaded
}

// newCatalog returns the catalog of a document.
func newCatalog(doc config.Document) *catalog {
	c := &catalog{
		servers:      map[string]config.BackendServer{},
		costs:        map[backend.Item]ledger.Cost{},
		declared:     map[string]backend.Item{},
		maxLoads:     doc.Limits.WeightLoads,
		minResidence: time.Duration(doc.Placement.MinResidenceMS) * time.Millisecond,
	}
	for _, s := range doc.Servers {
		if s.Type == config.Engine {
			c.servers[s.Name] = s
		}
	}
	for _, m := range doc.Models {
		c.add(m.Item(), ledger.Cost{Bytes: m.Bytes, Peak: m.LoadPeakBytes})
	}
	for _, a := range doc.Adapters {
		c.add(a.Item(), ledger.Cost{Bytes: a.Bytes, Peak: a.LoadPeakBytes})
	}
	return c
}

func (c *catalog) add(i backend.Item, cost ledger.Cost) {
	c.costs[i] = cost
	c.declared[nameOf(i)] = i
}

// cost returns the cost of an item, zero if it isn't declared.
func (c *catalog) cost(i backend.Item) ledger.Cost { return c.costs[i] }

// isCurrent reports whether an item is the declared version.
func (c *catalog) isCurrent(i backend.Item) bool { return c.declared[nameOf(i)] == i }

// replaces reports whether other can serve the callers of item: if it is the
// same version or the declared one, or any version if item itself is outdated.
func (c *catalog) replaces(other, item backend.Item) bool {
	return nameOf(other) == nameOf(item) && (other.Version == item.Version || c.isCurrent(other) || !c.isCurrent(item))
}

// settings returns the ledger settings of a server.
func (c *catalog) settings(s config.BackendServer) ledger.Settings {
	return ledger.Settings{
		Server:   s.Name,
		Capacity: s.MemoryBytes - s.KVReserveBytes,
		Checks:   s.ChecksOrders,
		Lifetime: time.Duration(s.OrderLifetimeMS) * time.Millisecond,
		Cost:     c.cost,
	}
}

// nameOf returns the version-independent key of a model or an adapter, as
// addressed by callers.
func nameOf(i backend.Item) string { return i.Base + "+" + i.Name }
