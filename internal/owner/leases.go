package owner

import (
	"slices"
	"strings"

	"guavapaddle/core/status"
)

// Leases returns the leases that this node holds as far as it knows, ordered by
// server. A lease that has expired, or that must not be relied on until it is
// renewed, has zero time left.
func (o *Owner) Leases() []status.Lease {
	o.init()
	o.mu.Lock()
	defer o.mu.Unlock()
	left := max(0, o.registry.Remaining(o.now())).Milliseconds()
	out := []status.Lease{}
	for name := range o.catalog.servers {
		if epoch, held := o.registry.Held(name); held {
			out = append(out, status.Lease{Server: name, Holder: o.Node, Epoch: epoch, ExpiresIn: left})
		}
	}
	slices.SortFunc(out, func(a, b status.Lease) int { return strings.Compare(a.Server, b.Server) })
	return out
}
