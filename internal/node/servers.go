package node

import (
	"guavapaddle/core/config"
	"guavapaddle/core/forward"
	"guavapaddle/core/queue"
	"guavapaddle/core/view"
	"guavapaddle/internal/engines"
	"guavapaddle/io/engine"
)

// engineAt returns the client of the engine at an address.
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

// engineOf returns the engine of a server by name, nil if unknown.
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
		Options: engine.StreamOptions{FirstTimeout: firstTimeout, ProgressTimeout: progressWindow},
	}
}

// dataCentreOf returns the data centre of a server, empty if unknown.
func (n *Node) dataCentreOf(server string) string {
	if x := n.follower.Index(); x != nil {
		s, _ := x.Server(server)
		return s.DataCentre
	}
	return ""
}

// queueSettings returns the queue settings of a server.
func (n *Node) queueSettings(server string) queue.Settings {
	set := queue.Settings{}
	if x := n.follower.Index(); x != nil {
		s, _ := x.Server(server)
		set.Limit = x.Limits().QueuePerServer
		set.StepSeconds = s.StepMS / 1000
	}
	return set
}

// occupancy tells the owner what the dispatcher has on a server.
func (n *Node) occupancy(server string) (running, queued, slots int, waitMS int64) {
	l, _ := n.dispatch.Load(server)
	return l.Running, l.Queued, l.Slots, l.WaitMS
}

// viewed takes a view in that is newer than the known.
func (n *Node) viewed(v view.Server) {
	if n.views.Put(v) {
		n.router.Seen(v.Server)
	}
}

// loaded takes the load of a server in that its owner spread.
func (n *Node) loaded(server string, l forward.Load) {
	n.views.Heard(server, l)
	n.router.Seen(server)
}
