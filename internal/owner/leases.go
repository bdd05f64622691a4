package owner

import (
	"slices"
	"strings"

	"guavapaddle/core/status"
)

// Leases returns the leases that this node holds as far as it knows, ordered by
// server. A lease that has run out, or that the node may not rely on until it
// is renewed, expires in zero.
func (o *Owner) Leases() []status.Lease {
	o.init()
	o.mu.Lock()
	defer o.mu.Unlock()
	left := max(0, o.book.Remaining(o.now())).Milliseconds()
	out := []status.Lease{}
	for name := range o.catalog.servers {
		if epoch, held := o.book.Held(name); held {
			out = append(out, status.Lease{Server: name, Holder: o.Node, Epoch: epoch, ExpiresIn: left})
		}
	}
	slices.SortFunc(out, func(a, b status.Lease) int { return strings.Compare(a.Server, b.Server) })
	return out
}
