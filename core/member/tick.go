package member

import (
	"math/bits"
	"slices"
	"time"
)

// Tick does what is due at now and returns the messages to send. It is to be
// called several times a gossip period.
func (s *State) Tick(now time.Time) []Send {
	var out []Send
	out = s.continueProbe(now, out)
	if !now.Before(s.next.probe) {
		s.next.probe = now.Add(s.settings.ProbePeriod)
		out = s.startProbe(now, out)
	}
	if !now.Before(s.next.gossip) {
		s.next.gossip = now.Add(s.settings.GossipPeriod)
		s.age(now)
		out = s.push(out)
	}
	if !now.Before(s.next.sync) {
		s.next.sync = now.Add(s.syncPeriod())
		out = s.startSync(out)
	}
	if !now.Before(s.next.join) {
		s.next.join = now.Add(s.settings.JoinPeriod)
		out = s.rejoin(out)
	}
	return out
}

// rejoin greets one random seed that is not a live node.
func (s *State) rejoin(out []Send) []Send {
	all := s.strangers()
	if len(all) == 0 {
		return out
	}
	a := all[s.rng.IntN(len(all))]
	return append(out, s.send(a, Message{Type: Sync, Versions: s.versions()}))
}

// age turns suspects into dead nodes and forgets old dead ones.
func (s *State) age(now time.Time) {
	for name, p := range s.nodes {
		passed := now.Sub(p.since)
		switch {
		case p.node.Status == Suspect && passed >= s.suspectTimeout():
			p.node.Status, p.since = Dead, now
			s.heat(nodePrefix + name)
		case p.node.Status >= Dead && passed >= s.settings.Forget:
			delete(s.nodes, name)
			s.names = nil
			s.hot.drop(nodePrefix + name)
		}
	}
	for seq, r := range s.relayed {
		if now.Sub(r.at) > s.settings.ProbePeriod {
			delete(s.relayed, seq)
		}
	}
}

// suspectTimeout grows with the logarithm of the count of nodes, since a
// refutation needs that many rounds to come back.
func (s *State) suspectTimeout() time.Duration {
	rounds := bits.Len(uint(len(s.nodes) + 1))
	return max(s.settings.SuspectTimeout, time.Duration(2*rounds)*s.settings.GossipPeriod)
}

// syncPeriod grows with the count of records, whose versions a comparison
// carries, so that comparing costs no more in a large system.
func (s *State) syncPeriod() time.Duration {
	return max(s.settings.SyncPeriod, time.Duration(len(s.nodes)+len(s.entries))*syncPerRecord)
}

// startProbe pings the next node of a shuffled round.
func (s *State) startProbe(now time.Time, out []Send) []Send {
	if s.probe.target != "" && !s.probe.done {
		s.suspect(now, s.probe.target)
	}
	target := s.nextTarget()
	s.sequence++
	s.probe = probe{target: target, sequence: s.sequence, sent: now, done: target == ""}
	if target == "" {
		return out
	}
	p := s.nodes[target]
	m := Message{Type: Ping, Sequence: s.sequence}
	if p.node.Status != Alive {
		m.Nodes = append(m.Nodes, p.node) // so that it can refute
	}
	return append(out, s.send(p.node.Address, s.loaded(m)))
}

// nextTarget returns the next name to probe, or "".
func (s *State) nextTarget() string {
	for range 2 {
		for len(s.order) > 0 {
			name := s.order[0]
			s.order = s.order[1:]
			p := s.nodes[name]
			if p == nil || p.node.Status == Left {
				continue
			}
			if p.node.Status == Dead && s.rng.IntN(deadProbeShare) != 0 {
				continue
			}
			return name
		}
		s.order = append(slices.Clone(s.neighbours()), s.dead()...)
		s.rng.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
	}
	return ""
}

// dead returns the nodes that count as dead, each of which may be back.
func (s *State) dead() []string {
	var out []string
	for _, name := range s.sorted() {
		if s.nodes[name].node.Status == Dead {
			out = append(out, name)
		}
	}
	return out
}

// continueProbe asks other nodes to ping the target once it is late.
func (s *State) continueProbe(now time.Time, out []Send) []Send {
	p := &s.probe
	if p.done || p.indirect || p.target == "" || now.Sub(p.sent) < s.settings.ProbeTimeout {
		return out
	}
	p.indirect = true
	if t := s.nodes[p.target]; t != nil {
		s.late = append(s.late, t.node.Address)
	}
	for _, name := range s.sample(s.settings.Indirect, p.target) {
		m := Message{Type: PingRequest, Sequence: p.sequence, Target: p.target}
		out = append(out, s.send(s.nodes[name].node.Address, m))
	}
	return out
}

// suspect marks a node that did not answer.
func (s *State) suspect(now time.Time, name string) {
	p := s.nodes[name]
	if p == nil || p.node.Status != Alive {
		return
	}
	p.node.Status, p.since = Suspect, now
	s.heat(nodePrefix + name)
}

// Unreachable tells the state that a connection to a node failed, which makes
// it a suspect at once. The node refutes if it lives.
func (s *State) Unreachable(now time.Time, name string) { s.suspect(now, name) }

// Late returns the addresses of nodes whose answers have become late since the
// last call. The connections to them may have gone silent although the nodes
// live, so what is sent to them next should go over new ones.
func (s *State) Late() []string {
	all := s.late
	s.late = nil
	return all
}

// push sends changed records to a few random peers.
func (s *State) push(out []Send) []Send {
	if s.hot.len() == 0 {
		return out
	}
	for _, name := range s.some(s.neighbours(), s.settings.Fanout, "") {
		m := s.loaded(Message{Type: Gossip})
		if len(m.Nodes)+len(m.Entries) == 0 {
			break
		}
		out = append(out, s.send(s.nodes[name].node.Address, m))
	}
	return out
}

// startSync compares everything with one random peer.
func (s *State) startSync(out []Send) []Send {
	for _, name := range s.sample(1, "") {
		m := Message{Type: Sync, Versions: s.versions()}
		out = append(out, s.send(s.nodes[name].node.Address, m))
	}
	return out
}

// sample returns up to k random live names without one.
func (s *State) sample(k int, without string) []string {
	return s.some(s.liveNames(), k, without)
}

// some returns up to k random names of all without one.
func (s *State) some(all []string, k int, without string) []string {
	var names []string
	for _, i := range s.rng.Perm(len(all)) {
		if len(names) == k {
			break
		}
		if all[i] != without {
			names = append(names, all[i])
		}
	}
	return names
}

// sorted returns the names of all other nodes. The slice is shared.
func (s *State) sorted() []string {
	if s.names == nil {
		for name := range s.nodes {
			s.names = append(s.names, name)
		}
		slices.Sort(s.names)
	}
	return s.names
}

// loaded returns m with as many changed records as fit, those that were pushed
// least first.
func (s *State) loaded(m Message) Message {
	room := s.settings.MessageBytes
	var taken []change
	for room >= entryOverhead {
		c, ok := s.hot.take()
		if !ok {
			break
		}
		left, fits := s.load(&m, c.key, room)
		if fits {
			c.left--
		}
		taken = append(taken, c)
		if !fits {
			break
		}
		room = left
	}
	for _, c := range taken {
		if c.left > 0 {
			s.hot.put(c.key, c.left)
		}
	}
	return m
}

// load adds the record of a key to m if there is room and returns what is left.
// A record larger than a message goes alone. The record of a key that is gone
// counts as added.
func (s *State) load(m *Message, key string, room int) (left int, fits bool) {
	n, isNode := s.record(key)
	e, isEntry := s.entries[key]
	size := nodeBytes
	if isEntry {
		size = entryOverhead + len(key) + len(e.Value)
	}
	if size > room && len(m.Nodes)+len(m.Entries) > 0 {
		return room, false
	}
	switch {
	case isNode:
		m.Nodes = append(m.Nodes, n)
	case isEntry:
		m.Entries = append(m.Entries, e)
	default:
		return room, true
	}
	return room - size, true
}

// record returns the node record of a key with the node prefix.
func (s *State) record(key string) (Node, bool) {
	if len(key) <= len(nodePrefix) || key[:len(nodePrefix)] != nodePrefix {
		return Node{}, false
	}
	return s.Node(key[len(nodePrefix):])
}
