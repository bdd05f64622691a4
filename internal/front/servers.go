package front

import (
	"sync"

	"guavapaddle/core/departure"
	"guavapaddle/core/fleet"
)

// servers is the list of backend servers as read from the store, and who of them has said
// that it leaves.
type servers struct {
	mu       sync.Mutex
	list     []fleet.Server
	read     bool
	departed departure.Set
}

// onServers takes in the list as it is in the store now.
func (n *Node) onServers(list []fleet.Server) {
	n.servers.mu.Lock()
	defer n.servers.mu.Unlock()
	n.servers.list, n.servers.read = list, true
	n.setServers()
}

// departs takes in servers that have said that they leave, to this node or to another. It
// returns whether any of them is new.
func (n *Node) departs(list ...departure.Incarnation) bool {
	n.servers.mu.Lock()
	defer n.servers.mu.Unlock()
	if !n.servers.departed.Add(list...) {
		return false
	}
	n.setServers()
	return true
}

// departing returns the servers that have said that they leave while their entries don't.
func (n *Node) departing() []departure.Incarnation {
	n.servers.mu.Lock()
	defer n.servers.mu.Unlock()
	return n.servers.departed.Undeclared(n.servers.list)
}

// setServers gives the list to all that use it; n.servers.mu is held.
func (n *Node) setServers() {
	if !n.servers.read {
		return
	}
	list := n.servers.departed.MarkLeaving(n.servers.list)
	n.gateway.SetServers(list)
	n.placer.Servers(list)
	n.granter.Servers(list)
	n.noteEngines(list)
}

// hasServers tells whether the list was read.
func (n *Node) hasServers() bool {
	n.servers.mu.Lock()
	defer n.servers.mu.Unlock()
	return n.servers.read
}

// noteEngines notes which of the servers are model engines.
func (n *Node) noteEngines(list []fleet.Server) {
	c := n.gateway.Config()
	if c == nil {
		return
	}
	engines := map[string]bool{}
	for _, s := range list {
		if service, ok := c.Service(s.Service); ok && service.Engine != nil {
			engines[s.ID] = true
		}
	}
	n.engines.Store(&engines)
}

// granted tells whether the holder of the lease says which requests begin at a server.
func (n *Node) granted(server string) bool {
	engines := n.engines.Load()
	return engines != nil && (*engines)[server]
}
