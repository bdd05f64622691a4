package front

import (
	"sync"

	"guavapaddle/core/departure"
	"guavapaddle/core/fleet"
)

// servers is the list of backend servers as read from the store, and the servers that have
// announced, there or in a response, that they are leaving.
type servers struct {
	mu      sync.Mutex
	list    []fleet.Server
	read    bool
	leaving departure.Set
}

// onServers sets the list as it is in the store now. A server that leaves never returns in the same
// incarnation, whatever a store shows that was restored from a copy.
func (n *Node) onServers(list []fleet.Server) {
	n.servers.mu.Lock()
	defer n.servers.mu.Unlock()
	for _, s := range list {
		if s.Leaving {
			n.servers.leaving.Add(departure.IncarnationOf(s))
		}
	}
	n.servers.list, n.servers.read = list, true
	n.setServers()
}

// addLeaving adds servers that have announced to this node or to another that they are
// leaving. It returns whether any of them is new.
func (n *Node) addLeaving(list ...departure.Incarnation) bool {
	n.servers.mu.Lock()
	defer n.servers.mu.Unlock()
	if !n.servers.leaving.Add(list...) {
		return false
	}
	n.setServers()
	return true
}

// undeclaredLeaving returns the servers that have announced that they are leaving while
// their entries don't show it.
func (n *Node) undeclaredLeaving() []departure.Incarnation {
	n.servers.mu.Lock()
	defer n.servers.mu.Unlock()
	return n.servers.leaving.Undeclared(n.servers.list)
}

// setServers passes the list on to all its users; n.servers.mu is held.
func (n *Node) setServers() {
	if !n.servers.read {
		return
	}
	list := n.servers.leaving.MarkLeaving(n.servers.list)
	n.gateway.SetServers(list)
	n.placer.SetServers(list)
	n.granter.SetServers(list)
	n.updateEngines(list)
}

// hasServers reports whether the list has been read.
func (n *Node) hasServers() bool {
	n.servers.mu.Lock()
	defer n.servers.mu.Unlock()
	return n.servers.read
}

// updateEngines determines which of the servers are model engines.
func (n *Node) updateEngines(list []fleet.Server) {
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
	n.engineIDs.Store(&engines)
}

// isGranted reports whether requests to a server need a slot granted by the leader, which
// applies to model engines.
func (n *Node) isGranted(server string) bool {
	engines := n.engineIDs.Load()
	return engines != nil && (*engines)[server]
}
