package front

import (
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/departure"
	"guavapaddle/core/fleet"
	"guavapaddle/internal/clock"
	"guavapaddle/internal/hub"
)

// servers is the list of backend servers as read from the store, and the servers that have
// announced, there or in a response, that they are leaving.
type servers struct {
	mu      sync.Mutex
	list    []fleet.Server
	foreign []string                 // IDs of entries that aren't used, since another writer may have made them
	granted map[string]grantedServer // servers that the list lacks, by ID
	read    bool
	leaving departure.Set
}

// grantedServer is a server that this node knows from a grant of a slot.
type grantedServer struct {
	fleet.Server

	at time.Duration // boot time of the last grant
}

// maxForeignLogged bounds the IDs in one log line about entries of other writers.
const maxForeignLogged = 8

// grantedTTL is how long a server stays known after the last grant of a slot. Requests last for up to 30 s.
const grantedTTL = time.Minute

// onServers sets the list as it is in the store now. A server that leaves never returns in the same
// incarnation, whatever a store shows that was restored from a copy.
func (n *Node) onServers(list []fleet.Server) {
	n.servers.mu.Lock()
	defer n.servers.mu.Unlock()
	list, foreign := fleet.WithoutForeign(list)
	if slices.Sort(foreign); !slices.Equal(foreign, n.servers.foreign) {
		n.servers.foreign = foreign
		n.log.Warn("foreign-entries", zap.Int("count", len(foreign)), zap.Strings("first", foreign[:min(len(foreign), maxForeignLogged)]))
	}
	for _, s := range list {
		if s.Leaving {
			n.servers.leaving.Add(departure.IncarnationOf(s))
		}
	}
	n.servers.list, n.servers.read = list, true
	for _, s := range list {
		delete(n.servers.granted, s.ID)
	}
	n.setServers()
}

// addGranted adds the server of a granted slot if the reply has its entry and this node doesn't know it.
func (n *Node) addGranted(reply hub.SlotReply) {
	if reply.Entry == nil {
		return
	}
	n.servers.mu.Lock()
	defer n.servers.mu.Unlock()
	s, known := n.servers.granted[reply.Server]
	if !known && slices.ContainsFunc(n.servers.list, func(s fleet.Server) bool { return s.ID == reply.Server }) {
		return
	}
	now := clock.SinceBoot()
	if n.servers.granted == nil {
		n.servers.granted = map[string]grantedServer{}
	}
	n.servers.granted[reply.Server] = grantedServer{*reply.Entry, now}
	if known && s.StartedAtMS == reply.Entry.StartedAtMS && s.Address == reply.Entry.Address {
		return
	}
	maps.DeleteFunc(n.servers.granted, func(_ string, s grantedServer) bool { return now-s.at > grantedTTL })
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
	return n.servers.leaving.Undeclared(n.servers.all())
}

// all returns the list and the servers known from grants; s.mu is held.
func (s *servers) all() []fleet.Server {
	if len(s.granted) == 0 {
		return s.list
	}
	out := slices.Clone(s.list)
	for _, g := range s.granted {
		out = append(out, g.Server)
	}
	return out
}

// setServers passes the list on to all its users; n.servers.mu is held.
func (n *Node) setServers() {
	if !n.servers.read {
		return
	}
	list := n.servers.leaving.MarkLeaving(n.servers.all())
	n.observeSoftware(list)
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
