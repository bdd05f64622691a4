package member

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	nodePrefix      = "node/"
	nodeBytes       = 96 // estimated size of a node record in a message
	entryOverhead   = 24 // estimated size of an entry without key and value
	maxSyncVersions = 8192
)

type (
	// State is one node's view of all nodes. It is not safe for concurrent use.
	State struct {
		settings      Settings
		self          Node
		rng           *rand.Rand
		nodes         map[string]*peer
		entries       map[string]Entry
		pending       changeQueue
		names         []string // names of nodes, sorted; nil if stale
		probeOrder    []string // names that remain to be probed in this round
		ring          []string // cached neighbours
		ringKey       uint64   // fingerprint of the live nodes from which ring was computed
		probe         probe
		relayed       map[uint64]relay
		seeds         []string // configured addresses
		sequence      uint64
		next          schedule
		lateAnswerers []string // addresses; see LateAnswerers
	}

	peer struct {
		node  Node
		since time.Time // start of the current status
	}

	probe struct {
		target   string
		sequence uint64
		sent     time.Time
		indirect bool
		done     bool
	}

	// relay is a probe that this node sends on behalf of another.
	relay struct {
		address  string // address of the requester
		sequence uint64 // sequence of the requester's probe
		at       time.Time
	}

	schedule struct {
		probe, gossip, sync, join time.Time
	}
)

// New returns the state of the node self before it has contacted any other node. It panics if self
// has no name or address, or if rng is nil.
func New(self Node, s Settings, rng *rand.Rand) *State {
	if self.Name == "" || self.Address == "" || rng == nil {
		panic(ErrNoIdentity)
	}
	return &State{
		settings: s.WithDefaults(),
		self:     self,
		rng:      rng,
		nodes:    map[string]*peer{},
		entries:  map[string]Entry{},
		pending:  newChangeQueue(),
		relayed:  map[uint64]relay{},
	}
}

// Self returns the node's own record.
func (s *State) Self() Node { return s.self }

// Nodes returns all known nodes including this one, sorted by name.
func (s *State) Nodes() []Node {
	all := []Node{s.self}
	for _, p := range s.nodes {
		all = append(all, p.node)
	}
	slices.SortFunc(all, func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Live returns the sorted names of the nodes that are not dead and have not left, including this
// one. Suspected nodes count as live.
func (s *State) Live() []string {
	var names []string
	for _, n := range s.Nodes() {
		if n.Status <= Suspect {
			names = append(names, n.Name)
		}
	}
	return names
}

// Node returns the record of a node.
func (s *State) Node(name string) (Node, bool) {
	if name == s.self.Name {
		return s.self, true
	}
	if p := s.nodes[name]; p != nil {
		return p.node, true
	}
	return Node{}, false
}

// Update modifies the node's own record by f and distributes it. Name, Incarnation and Sequence
// can't be modified.
func (s *State) Update(f func(n *Node)) {
	n := s.self
	f(&n)
	n.Name, n.Incarnation, n.Sequence = s.self.Name, s.self.Incarnation, s.self.Sequence+1
	s.self = n
	s.enqueueChange(nodePrefix + n.Name)
}

// Put stores and distributes an entry. It reports whether the entry was newer than the known one.
func (s *State) Put(e Entry) bool {
	if old, ok := s.entries[e.Key]; ok && !e.Newer(old) {
		return false
	}
	s.entries[e.Key] = e
	if e.Transient {
		s.pending.put(e.Key, transientRetransmits)
	} else {
		s.enqueueChange(e.Key)
	}
	return true
}

// Entry returns the entry of a key.
func (s *State) Entry(key string) (Entry, bool) {
	e, ok := s.entries[key]
	return e, ok
}

// Entries returns the entries whose keys have a prefix, sorted by key.
func (s *State) Entries(prefix string) []Entry {
	var all []Entry
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	return all
}

// Remove removes an entry from this node. Other nodes may send it again.
func (s *State) Remove(key string) {
	delete(s.entries, key)
	s.pending.remove(key)
}

// Join sets the seeds, each as IP:port, and returns the messages that announce this node to them.
// Seeds that are not live nodes are contacted again periodically, so that a node whose first
// messages were lost still joins, and the sides of a long network partition merge again. Call
// SetSeeds when the seeds change.
func (s *State) Join(now time.Time, seeds []string) []Envelope {
	s.SetSeeds(seeds)
	s.next = schedule{
		probe:  now.Add(s.settings.ProbePeriod),
		gossip: now.Add(s.settings.GossipPeriod),
		sync:   now.Add(s.settings.SyncPeriod),
		join:   now.Add(s.settings.JoinPeriod),
	}
	var out []Envelope
	for _, a := range s.unknownSeeds() {
		out = append(out, s.send(a, Message{Type: Sync, Versions: s.versions()}))
	}
	return out
}

// SetSeeds replaces the seeds.
func (s *State) SetSeeds(seeds []string) { s.seeds = slices.Clone(seeds) }

// unknownSeeds returns the seeds that are not the address of a live node.
func (s *State) unknownSeeds() []string {
	known := map[string]bool{s.self.Address: true}
	for _, p := range s.nodes {
		if p.node.Status <= Suspect {
			known[p.node.Address] = true
		}
	}
	var out []string
	for _, a := range s.seeds {
		if !known[a] {
			out = append(out, a)
		}
	}
	return out
}

// Leave marks this node as left and returns the messages that inform its peers.
func (s *State) Leave() []Envelope {
	s.Update(func(n *Node) { n.Status, n.Leaving = Left, true })
	var out []Envelope
	for _, p := range s.nodes {
		if p.node.Status <= Suspect {
			out = append(out, s.send(p.node.Address, Message{Type: Gossip}))
		}
	}
	return out
}

// enqueueChange schedules a record for pushing.
func (s *State) enqueueChange(key string) {
	s.pending.put(key, s.settings.Retransmit*bits.Len(uint(len(s.nodes)+1))+extraRetransmits)
}

// send returns a message to an address, with this node as the sender.
func (s *State) send(address string, m Message) Envelope {
	m.From = s.self
	return Envelope{Address: address, Message: m}
}

// versions returns the versions of all records of this node.
func (s *State) versions() []Version {
	v := make([]Version, 0, len(s.entries)+len(s.nodes)+1)
	for _, n := range s.Nodes() {
		v = append(v, Version{Key: nodePrefix + n.Name, Major: n.Incarnation, Minor: nodeMinor(n)})
	}
	for _, e := range s.Entries("") {
		v = append(v, Version{Key: e.Key, Major: e.Major, Minor: e.Minor})
	}
	return v
}

// nodeMinor encodes the order of node records within an incarnation as a single number.
func nodeMinor(n Node) uint64 { return n.Sequence<<2 | uint64(n.Status) }
