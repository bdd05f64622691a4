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

// handleMessage handles one received message.
func (c *Cluster) handleMessage(from string, f peer.Frame) {
	if f.Kind != KindMember {
		c.OnMessage(from, f)
		return
	}
	m, newer, out, ok := c.receive(from, f)
	if !ok {
		return
	}
	c.handleViews(newer)
	c.closeRestarted(m)
	c.sendAll(context.Background(), out)
}

// receive decodes a membership message and applies it. It returns the entries
// that are newer than the known ones, and the messages to send in reply.
func (c *Cluster) receive(from string, f peer.Frame) (m member.Message, newer []member.Entry, out []member.Envelope, ok bool) {
	defer c.timeWork(metrics.Membership)()
	if err := f.Decode(&m); err != nil {
		c.Log.Warn("cannot decode message", zap.String("from", from), zap.Error(err))
		return m, nil, nil, false
	}
	c.viewsIn.Add(entryBytes(m.Entries))
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range m.Entries {
		if known, ok := c.state.Entry(e.Key); !ok || e.Newer(known) {
			newer = append(newer, e)
		}
	}
	return m, newer, c.state.Receive(time.Now(), m), true
}

// handleViews passes the views and loads in new entries to OnView and OnLoad.
func (c *Cluster) handleViews(entries []member.Entry) {
	defer c.timeWork(metrics.Views)()
	for _, e := range entries {
		if server, ok := strings.CutPrefix(e.Key, loadPrefix); ok {
			c.handleLoad(server, e)
			continue
		}
		var v view.Server
		if cbor.Unmarshal(e.Value, &v) == nil && e.Key == serverPrefix+v.Server {
			c.OnView(v)
		}
	}
}

// handleLoad passes a received load to OnLoad.
func (c *Cluster) handleLoad(server string, e member.Entry) {
	var l forward.Load
	if cbor.Unmarshal(e.Value, &l) == nil {
		c.OnLoad(server, l)
	}
}

// closeRestarted closes the connections to nodes that have restarted.
func (c *Cluster) closeRestarted(m member.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range append(m.Nodes, m.From) {
		old, ok := c.incarnations[n.Name]
		if n.Incarnation > old {
			c.incarnations[n.Name] = n.Incarnation
		}
		if ok && n.Incarnation > old {
			go c.Endpoint.CloseConn(n.Address)
		}
	}
}
