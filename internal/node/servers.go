package node

import (
	"guavapaddle/core/config"
	"guavapaddle/core/forward"
	"guavapaddle/core/queue"
	"guavapaddle/core/view"
	"guavapaddle/internal/engines"
	"guavapaddle/io/engine"
)

// engineAt returns the client of the engine at an address, creating it on first use.
func (n *Node) engineAt(address string) *engine.Client {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.engines[address]
	if c == nil {
		c = &engine.Client{Address: address, Traffic: &n.platform.engines}
		n.engines[address] = c
	}
	return c
}

// engineOf returns the engine of a server, or nil if the server is unknown.
func (n *Node) engineOf(server string) engines.Engine {
	x := n.follower.Index()
	if x == nil {
		return nil
	}
	s, ok := x.Server(server)
	if !ok || s.Type != config.Engine {
		return nil
	}
	return &engines.Client{
		Engine:  n.engineAt(s.Address),
		Options: engine.StreamOptions{FirstEventTimeout: firstEventTimeout, ProgressTimeout: progressTimeout},
	}
}

// dataCentreOf returns the data centre of a server, or "" if it is unknown.
func (n *Node) dataCentreOf(server string) string {
	if x := n.follower.Index(); x != nil {
		s, _ := x.Server(server)
		return s.DataCentre
	}
	return ""
}

// queueSettings returns the queue settings of a server.
func (n *Node) queueSettings(server string) queue.Settings {
	settings := queue.Settings{}
	if x := n.follower.Index(); x != nil {
		s, _ := x.Server(server)
		settings.Limit = x.Limits().QueuePerServer
		settings.StepSeconds = s.StepMS / 1000
	}
	return settings
}

// serverLoad returns the dispatcher's load on a server.
func (n *Node) serverLoad(server string) (running, queued, slots int, waitMS int64) {
	l, _ := n.dispatch.Load(server)
	return l.Running, l.Queued, l.Slots, l.WaitMS
}

// updateView stores a received view if it is newer than the current one.
func (n *Node) updateView(v view.Server) {
	if n.views.Put(v) {
		n.router.ViewUpdated(v.Server)
	}
}

// updateLoad stores a server load that its owner published.
func (n *Node) updateLoad(server string, l forward.Load) {
	n.views.UpdateLoad(server, l)
	n.router.ViewUpdated(server)
}
