package member

import (
	"math/bits"
	"slices"
	"time"
)

// Tick performs all work that is due at now and returns the messages to send. It must be called
// several times within a gossip period.
func (s *State) Tick(now time.Time) []Envelope {
	var out []Envelope
	out = s.continueProbe(now, out)
	if !now.Before(s.next.probe) {
		s.next.probe = now.Add(s.settings.ProbePeriod)
		out = s.startProbe(now, out)
	}
	if !now.Before(s.next.gossip) {
		s.next.gossip = now.Add(s.settings.GossipPeriod)
		s.expire(now)
		out = s.push(out)
	}
	if !now.Before(s.next.sync) {
		s.next.sync = now.Add(s.syncPeriod())
		out = s.startSync(out)
	}
	if !now.Before(s.next.join) {
		s.next.join = now.Add(s.settings.JoinPeriod)
		out = s.contactSeed(out)
	}
	return out
}

// contactSeed sends a sync to one random seed that is not a live node.
func (s *State) contactSeed(out []Envelope) []Envelope {
	all := s.unknownSeeds()
	if len(all) == 0 {
		return out
	}
	a := all[s.rng.IntN(len(all))]
	return append(out, s.send(a, Message{Type: Sync, Versions: s.versions()}))
}

// expire declares suspects dead after the suspicion timeout, removes nodes that have long been
// dead, and drops expired relays.
func (s *State) expire(now time.Time) {
	for name, p := range s.nodes {
		passed := now.Sub(p.since)
		switch {
		case p.node.Status == Suspect && passed >= s.suspectTimeout():
			p.node.Status, p.since = Dead, now
			s.enqueueChange(nodePrefix + name)
		case p.node.Status >= Dead && passed >= s.settings.ForgetAfter:
			delete(s.nodes, name)
			s.names = nil
			s.pending.remove(nodePrefix + name)
		}
	}
	for seq, r := range s.relayed {
		if now.Sub(r.at) > s.settings.ProbePeriod {
			delete(s.relayed, seq)
		}
	}
}

// suspectTimeout returns the suspicion timeout. It grows with the logarithm of the number of nodes,
// since a refutation needs that many rounds to arrive.
func (s *State) suspectTimeout() time.Duration {
	rounds := bits.Len(uint(len(s.nodes) + 1))
	return max(s.settings.SuspectTimeout, time.Duration(2*rounds)*s.settings.GossipPeriod)
}

// syncPeriod returns the time between syncs. It grows with the number of records, because a sync
// carries the versions of all of them and should cost no more per second in a large system.
func (s *State) syncPeriod() time.Duration {
	return max(s.settings.SyncPeriod, time.Duration(len(s.nodes)+len(s.entries))*syncPerRecord)
}

// startProbe suspects the target of an unanswered probe and pings the next node of the round.
func (s *State) startProbe(now time.Time, out []Envelope) []Envelope {
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
		m.Nodes = append(m.Nodes, p.node) // lets the node refute its status
	}
	return append(out, s.send(p.node.Address, s.withChanges(m)))
}

// nextTarget returns the name of the next node to probe, or "". A round probes the neighbours and
// some of the dead nodes in random order.
func (s *State) nextTarget() string {
	for range 2 {
		for len(s.probeOrder) > 0 {
			name := s.probeOrder[0]
			s.probeOrder = s.probeOrder[1:]
			p := s.nodes[name]
			if p == nil || p.node.Status == Left {
				continue
			}
			if p.node.Status == Dead && s.rng.IntN(deadProbeInterval) != 0 {
				continue
			}
			return name
		}
		s.probeOrder = append(slices.Clone(s.neighbours()), s.dead()...)
		s.rng.Shuffle(len(s.probeOrder), func(i, j int) { s.probeOrder[i], s.probeOrder[j] = s.probeOrder[j], s.probeOrder[i] })
	}
	return ""
}

// dead returns the nodes that count as dead, any of which may have returned.
func (s *State) dead() []string {
	var out []string
	for _, name := range s.nodeNames() {
		if s.nodes[name].node.Status == Dead {
			out = append(out, name)
		}
	}
	return out
}

// continueProbe asks other nodes to ping the target when its answer is late.
func (s *State) continueProbe(now time.Time, out []Envelope) []Envelope {
	p := &s.probe
	if p.done || p.indirect || p.target == "" || now.Sub(p.sent) < s.settings.ProbeTimeout {
		return out
	}
	p.indirect = true
	if t := s.nodes[p.target]; t != nil {
		s.lateAnswerers = append(s.lateAnswerers, t.node.Address)
	}
	for _, name := range s.sampleLive(s.settings.Indirect, p.target) {
		m := Message{Type: PingRequest, Sequence: p.sequence, Target: p.target}
		out = append(out, s.send(s.nodes[name].node.Address, m))
	}
	return out
}

// suspect marks a node that did not answer as suspect.
func (s *State) suspect(now time.Time, name string) {
	p := s.nodes[name]
	if p == nil || p.node.Status != Alive {
		return
	}
	p.node.Status, p.since = Suspect, now
	s.enqueueChange(nodePrefix + name)
}

// Unreachable records that a connection to a node failed. The node becomes a suspect at once, and
// refutes that if it is alive.
func (s *State) Unreachable(now time.Time, name string) { s.suspect(now, name) }

// LateAnswerers returns the addresses of the nodes whose answers have become late since the last
// call. Connections to them may be dead although the nodes are alive, so the next messages to them
// should use new connections.
func (s *State) LateAnswerers() []string {
	all := s.lateAnswerers
	s.lateAnswerers = nil
	return all
}

// push sends changed records to a few random neighbours.
func (s *State) push(out []Envelope) []Envelope {
	if s.pending.len() == 0 {
		return out
	}
	for _, name := range s.sampleOf(s.neighbours(), s.settings.Fanout, "") {
		m := s.withChanges(Message{Type: Gossip})
		if len(m.Nodes)+len(m.Entries) == 0 {
			break
		}
		out = append(out, s.send(s.nodes[name].node.Address, m))
	}
	return out
}

// startSync sends the versions of all records to one random peer.
func (s *State) startSync(out []Envelope) []Envelope {
	for _, name := range s.sampleLive(1, "") {
		m := Message{Type: Sync, Versions: s.versions()}
		out = append(out, s.send(s.nodes[name].node.Address, m))
	}
	return out
}

// sampleLive returns up to k random names of live nodes, except one.
func (s *State) sampleLive(k int, except string) []string {
	return s.sampleOf(s.liveNames(), k, except)
}

// sampleOf returns up to k random names from a list, except one.
func (s *State) sampleOf(all []string, k int, except string) []string {
	var names []string
	for _, i := range s.rng.Perm(len(all)) {
		if len(names) == k {
			break
		}
		if all[i] != except {
			names = append(names, all[i])
		}
	}
	return names
}

// nodeNames returns the sorted names of all other nodes. The slice is shared.
func (s *State) nodeNames() []string {
	if s.names == nil {
		for name := range s.nodes {
			s.names = append(s.names, name)
		}
		slices.Sort(s.names)
	}
	return s.names
}

// withChanges returns m with as many changed records as fit, those with the fewest pushes first.
func (s *State) withChanges(m Message) Message {
	room := s.settings.MessageBytes
	var taken []change
	for room >= entryOverhead {
		c, ok := s.pending.take()
		if !ok {
			break
		}
		remaining, fits := s.addRecord(&m, c.key, room)
		if fits {
			c.remaining--
		}
		taken = append(taken, c)
		if !fits {
			break
		}
		room = remaining
	}
	for _, c := range taken {
		if c.remaining > 0 {
			s.pending.put(c.key, c.remaining)
		}
	}
	return m
}

// addRecord adds the record of a key to m if it fits in room, and returns the remaining room. A
// record larger than a message is sent alone. A record that no longer exists counts as added.
func (s *State) addRecord(m *Message, key string, room int) (remaining int, fits bool) {
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

// record returns the node record of a key that has the node prefix.
func (s *State) record(key string) (Node, bool) {
	if len(key) <= len(nodePrefix) || key[:len(nodePrefix)] != nodePrefix {
		return Node{}, false
	}
	return s.Node(key[len(nodePrefix):])
}
