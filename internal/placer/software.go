package placer

import (
	"context"
	"time"

	"guavapaddle/internal/clock"
)

// softwareCheckInterval is how often it is checked whether the row names a version.
const softwareCheckInterval = 20 * time.Millisecond

// AwaitSoftware waits until the lease's row names a version of a service's software, so that nodes which start after all others have ended
// know that it served, or until ctx ends or this node doesn't lead.
func (p *Placer) AwaitSoftware(ctx context.Context, service, version string) {
	for p.isLeader() && !p.namesSoftware(service, version) && ctx.Err() == nil {
		clock.Sleep(ctx, softwareCheckInterval)
	}
}

// namesSoftware reports whether the row names a version of a service's software.
func (p *Placer) namesSoftware(service, version string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, _, _ := p.Elector.Row()
	_, ok := l.Software[service][version]
	return ok
}
