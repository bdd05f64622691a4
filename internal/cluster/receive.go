package cluster

import (
	"context"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"guavapaddle/core/forward"
	"guavapaddle/core/member"
	"guavapaddle/core/view"
	"guavapaddle/internal/metrics"
	"guavapaddle/io/peer"
)

// message takes one message in.
func (c *Cluster) message(from string, f peer.Frame) {
	if f.Kind != KindMember {
		c.OnMessage(from, f)
		return
	}
	m, fresh, out, ok := c.receive(from, f)
	if !ok {
		return
	}
	c.views(fresh)
	c.restarted(m)
	c.sendAll(context.Background(), out)
}

// receive decodes a message of the membership and takes it in. It returns the
// entries that are newer than the known, and the messages that answer it.
func (c *Cluster) receive(from string, f peer.Frame) (m member.Message, fresh []member.Entry, out []member.Envelope, ok bool) {
	defer c.spent(metrics.Membership)()
	if err := f.Decode(&m); err != nil {
		c.Log.Warn("message refused", zap.String("from", from), zap.Error(err))
		return m, nil, nil, false
	}
	c.viewsIn.Add(entryBytes(m.Entries))
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range m.Entries {
		if known, ok := c.state.Entry(e.Key); !ok || e.Newer(known) {
			fresh = append(fresh, e)
		}
	}
	return m, fresh, c.state.Receive(time.Now(), m), true
}

// views passes on the views and loads in entries that are new here.
func (c *Cluster) views(entries []member.Entry) {
	defer c.spent(metrics.Views)()
	for _, e := range entries {
		if server, ok := strings.CutPrefix(e.Key, loadPrefix); ok {
			c.load(server, e)
			continue
		}
		var v view.Server
		if cbor.Unmarshal(e.Value, &v) == nil && e.Key == serverPrefix+v.Server {
			c.OnView(v)
		}
	}
}

// load passes on a load that was received.
func (c *Cluster) load(server string, e member.Entry) {
	var l forward.Load
	if cbor.Unmarshal(e.Value, &l) == nil {
		c.OnLoad(server, l)
	}
}

// restarted drops connections to nodes that began anew.
func (c *Cluster) restarted(m member.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range append(m.Nodes, m.From) {
		old, ok := c.known[n.Name]
		if n.Incarnation > old {
			c.known[n.Name] = n.Incarnation
		}
		if ok && n.Incarnation > old {
			go c.Endpoint.Forget(n.Address)
		}
	}
}
