package cluster

import (
	"github.com/fxamacker/cbor/v2"

	"guavapaddle/core/forward"
	"guavapaddle/core/member"
	"guavapaddle/core/view"
)

// entryBytes returns the total size of the keys and values of entries.
func entryBytes(all []member.Entry) uint64 {
	n := 0
	for _, e := range all {
		n += len(e.Key) + len(e.Value)
	}
	return uint64(n)
}

// ViewBytes returns how many bytes of views were sent and received since the
// start. They are part of the traffic of KindMember.
func (c *Cluster) ViewBytes() (sent, received uint64) { return c.viewsOut.Load(), c.viewsIn.Load() }

// Publish gossips the view of a server that this node owns.
func (c *Cluster) Publish(v view.Server) error {
	b, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.state.Put(member.Entry{Key: serverPrefix + v.Server, Major: v.Epoch, Minor: v.Sequence, Value: b})
	c.mu.Unlock()
	c.OnView(v)
	return nil
}

// PublishLoad gossips the load of a server that this node owns while the rest of
// its view is unchanged. Loads and views share one order of epochs and sequence
// numbers.
func (c *Cluster) PublishLoad(v view.Server) error {
	l := forward.Load{Running: v.Running, Queued: v.Queued, Slots: v.Slots, WaitMS: v.WaitMS}
	b, err := cbor.Marshal(l)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.state.Put(member.Entry{Key: loadPrefix + v.Server, Major: v.Epoch, Minor: v.Sequence, Value: b, Transient: true})
	c.mu.Unlock()
	c.OnLoad(v.Server, l)
	return nil
}
