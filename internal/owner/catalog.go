package owner

import (
	"time"

	"guavapaddle/core/backend"
	"guavapaddle/core/config"
	"guavapaddle/core/ledger"
)

// catalog is what an owner needs of a configuration. It doesn't change.
type catalog struct {
	servers  map[string]config.BackendServer // engines by name
	costs    map[backend.Item]ledger.Cost
	declared map[string]backend.Item // version that is to serve, by nameOf
	loads    int                     // concurrent loads that the weight store bears
	minStay  time.Duration           // of an item before it may be unloaded
}

// newCatalog returns the catalog of a document.
func newCatalog(doc config.Document) *catalog {
	c := &catalog{
		servers:  map[string]config.BackendServer{},
		costs:    map[backend.Item]ledger.Cost{},
		declared: map[string]backend.Item{},
		loads:    doc.Limits.WeightLoads,
		minStay:  time.Duration(doc.Placement.MinResidenceMS) * time.Millisecond,
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

// current tells whether an item is the version that is to serve.
func (c *catalog) current(i backend.Item) bool { return c.declared[nameOf(i)] == i }

// replaces tells whether callers of item are served by other as well: by the
// same version, by the one that is to serve, or by any if item is an old one.
func (c *catalog) replaces(other, item backend.Item) bool {
	return nameOf(other) == nameOf(item) && (other.Version == item.Version || c.current(other) || !c.current(item))
}

// settings returns the settings of a server's ledger.
func (c *catalog) settings(s config.BackendServer) ledger.Settings {
	return ledger.Settings{
		Server:   s.Name,
		Capacity: s.MemoryBytes - s.KVReserveBytes,
		Checks:   s.ChecksOrders,
		Lifetime: time.Duration(s.OrderLifetimeMS) * time.Millisecond,
		Cost:     c.cost,
	}
}

// nameOf returns what callers name: a model or an adapter of a model.
func nameOf(i backend.Item) string { return i.Base + "+" + i.Name }
