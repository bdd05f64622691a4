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
	// State is what one node knows. It is not safe for concurrent use.
	State struct {
		settings Settings
		self     Node
		rng      *rand.Rand
		nodes    map[string]*peer
		entries  map[string]Entry
		hot      changes
		names    []string // of nodes, sorted; nil if stale
		order    []string // names left to probe in this round
		ring     []string // neighbours of the live nodes that ringKey stands for
		ringKey  uint64
		probe    probe
		relayed  map[uint64]relay
		seeds    []string // addresses from outside
		sequence uint64
		next     schedule
		late     []string // addresses, see Late
	}

	peer struct {
		node  Node
		since time.Time // of the current status
	}

	probe struct {
		target   string
		sequence uint64
		sent     time.Time
		indirect bool
		done     bool
	}

	// relay is a probe that this node sends for another.
	relay struct {
		address  string // of who asked
		sequence uint64 // of the asker's probe
		at       time.Time
	}

	schedule struct {
		probe, gossip, sync, join time.Time
	}
)

// New returns the state of node self, which knows only itself. It panics if
// self has no name or address or if rng is nil.
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
		hot:      newChanges(),
		relayed:  map[uint64]relay{},
	}
}

// Self returns the node's own record.
func (s *State) Self() Node { return s.self }

// Nodes returns all known nodes with this one, sorted by name.
func (s *State) Nodes() []Node {
	all := []Node{s.self}
	for _, p := range s.nodes {
		all = append(all, p.node)
	}
	slices.SortFunc(all, func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Live returns the names of nodes that are not dead and have not left, this
// one included, sorted. Suspected nodes count as live.
func (s *State) Live() []string {
	var names []string
	for _, n := range s.Nodes() {
		if n.Status <= Suspect {
			names = append(names, n.Name)
		}
	}
	return names
}

// Node returns what is known of a node.
func (s *State) Node(name string) (Node, bool) {
	if name == s.self.Name {
		return s.self, true
	}
	if p := s.nodes[name]; p != nil {
		return p.node, true
	}
	return Node{}, false
}

// Update changes the node's own record by f and spreads it. Name, Incarnation
// and Sequence stay with the State.
func (s *State) Update(f func(n *Node)) {
	n := s.self
	f(&n)
	n.Name, n.Incarnation, n.Sequence = s.self.Name, s.self.Incarnation, s.self.Sequence+1
	s.self = n
	s.heat(nodePrefix + n.Name)
}

// Put spreads an entry. It reports whether the entry was newer than the known.
func (s *State) Put(e Entry) bool {
	if old, ok := s.entries[e.Key]; ok && !e.Newer(old) {
		return false
	}
	s.entries[e.Key] = e
	if e.Light {
		s.hot.put(e.Key, lightRetransmits)
	} else {
		s.heat(e.Key)
	}
	return true
}

// Entry returns the entry of a key.
func (s *State) Entry(key string) (Entry, bool) {
	e, ok := s.entries[key]
	return e, ok
}

// Entries returns the entries whose key has a prefix, sorted by key.
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

// Drop forgets an entry here. Other nodes may bring it back.
func (s *State) Drop(key string) {
	delete(s.entries, key)
	s.hot.drop(key)
}

// Join sets the seeds, IP:port each, and returns the messages that make this
// node known to them. Seeds that are not live nodes are tried again at times,
// so that a node whose first messages were lost gets in, and a network that was
// split for long grows together. Call SetSeeds when they change.
func (s *State) Join(now time.Time, seeds []string) []Send {
	s.SetSeeds(seeds)
	s.next = schedule{
		probe:  now.Add(s.settings.ProbePeriod),
		gossip: now.Add(s.settings.GossipPeriod),
		sync:   now.Add(s.settings.SyncPeriod),
		join:   now.Add(s.settings.JoinPeriod),
	}
	var out []Send
	for _, a := range s.strangers() {
		out = append(out, s.send(a, Message{Type: Sync, Versions: s.versions()}))
	}
	return out
}

// SetSeeds replaces the seeds.
func (s *State) SetSeeds(seeds []string) { s.seeds = slices.Clone(seeds) }

// strangers returns the seeds that are not the address of a live node.
func (s *State) strangers() []string {
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

// Leave returns messages that tell peers that this node stops.
func (s *State) Leave() []Send {
	s.Update(func(n *Node) { n.Status, n.Leaving = Left, true })
	var out []Send
	for _, p := range s.nodes {
		if p.node.Status <= Suspect {
			out = append(out, s.send(p.node.Address, Message{Type: Gossip}))
		}
	}
	return out
}

// heat makes a record spread.
func (s *State) heat(key string) {
	s.hot.put(key, s.settings.Retransmit*bits.Len(uint(len(s.nodes)+1))+spareRetransmits)
}

// send fills in the sender.
func (s *State) send(address string, m Message) Send {
	m.From = s.self
	return Send{Address: address, Message: m}
}

// versions lists what this node has.
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

// nodeMinor orders node records of one incarnation in a single number.
func nodeMinor(n Node) uint64 { return n.Sequence<<2 | uint64(n.Status) }
