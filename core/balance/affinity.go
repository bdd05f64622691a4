package balance

import "time"

const (
	// affinityMargin is by how much the cost of a server with an idle connection may exceed the lowest, in milliseconds: opening a
	// connection takes a server one.
	affinityMargin = 1.0
	// affinityRatio is the fraction of the lowest cost by which it may exceed that in addition. Costs are estimates, whose differences
	// below it decide nothing. It is below that of remoteZoneFactor, so that no request leaves its data centre for a connection.
	affinityRatio = 0.1
)

// Candidate is a server that may run a request.
type Candidate struct{ ID, Address string }

// Candidates returns the servers that may run a request, whatever their load. Adapters move faster than other nodes learn, so that a
// server which holds the model counts.
func (p *Picker) Candidates(now time.Time, r Request) []Candidate {
	var out []Candidate
	for _, s := range p.withSoftware(now, p.findHolders(now, r.Service, resident{r.Model, ""}), r).list {
		if !r.Exclude[s.ID] {
			out = append(out, Candidate{ID: s.ID, Address: s.Address})
		}
	}
	return out
}

// choice is the server to pick among those that are offered one by one. The zero value has none.
type choice struct {
	best, connected *server
	lowest, cost    float64 // of best and of connected
}

// offer considers a server with its cost.
func (c *choice) offer(s *server, cost float64, connected bool) {
	if c.best == nil || cost < c.lowest {
		c.best, c.lowest = s, cost
	}
	if connected && (c.connected == nil || cost < c.cost) {
		c.connected, c.cost = s, cost
	}
}

// server returns the cheapest of the servers to which the requester has an idle connection, if its cost is close to the lowest, and
// otherwise the cheapest of all; nil if none was offered.
func (c *choice) server() *server {
	if c.connected != nil && c.cost <= c.lowest*(1+affinityRatio)+affinityMargin {
		return c.connected
	}
	return c.best
}
