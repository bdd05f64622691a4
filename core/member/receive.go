package member

import "time"

// Receive processes a message and returns the messages to send in reply.
func (s *State) Receive(now time.Time, m Message) []Envelope {
	if m.From.Name == s.self.Name {
		return nil
	}
	s.mergeNode(now, m.From)
	for _, n := range m.Nodes {
		s.mergeNode(now, n)
	}
	for _, e := range m.Entries {
		s.Put(e)
	}
	switch m.Type {
	case Ping:
		return []Envelope{s.send(m.From.Address, s.withChanges(Message{Type: Ack, Sequence: m.Sequence}))}
	case Ack:
		return s.handleAck(now, m)
	case PingRequest:
		return s.relay(now, m)
	case Sync:
		return []Envelope{s.replySync(m)}
	case SyncReply:
		return s.replyWanted(m)
	}
	return nil
}

// mergeNode stores a node record if it is newer. It refutes a record of this node that is wrong.
func (s *State) mergeNode(now time.Time, n Node) {
	if n.Name == "" || n.Address == "" {
		return
	}
	if n.Name == s.self.Name {
		s.refute(n)
		return
	}
	p := s.nodes[n.Name]
	if p == nil {
		if n.Status >= Dead {
			return
		}
		s.nodes[n.Name] = &peer{node: n, since: now}
		s.names = nil
		s.enqueueChange(nodePrefix + n.Name)
		return
	}
	if !n.newer(p.node) {
		return
	}
	if n.Status != p.node.Status {
		p.since = now
	}
	p.node = n
	s.enqueueChange(nodePrefix + n.Name)
}

// refute increases this node's sequence if another node suspects it or believes it dead, or
// remembers a later record than this process has written.
func (s *State) refute(n Node) {
	if !n.newer(s.self) {
		return
	}
	s.self.Incarnation = max(s.self.Incarnation, n.Incarnation)
	s.self.Sequence = max(s.self.Sequence, n.Sequence) + 1
	s.enqueueChange(nodePrefix + s.self.Name)
}

// handleAck ends the probe, or forwards the answer to the node that requested it.
func (s *State) handleAck(now time.Time, m Message) []Envelope {
	if r, ok := s.relayed[m.Sequence]; ok {
		delete(s.relayed, m.Sequence)
		return []Envelope{s.send(r.address, Message{Type: Ack, Sequence: r.sequence, Target: m.From.Name})}
	}
	if m.Sequence != s.probe.sequence || s.probe.done {
		return nil
	}
	if m.From.Name != s.probe.target && m.Target != s.probe.target {
		return nil
	}
	s.probe.done = true
	p := s.nodes[s.probe.target]
	if p != nil && p.node.Status == Suspect {
		p.node.Status, p.since = Alive, now
	}
	return nil
}

// relay pings a target on behalf of another node.
func (s *State) relay(now time.Time, m Message) []Envelope {
	p := s.nodes[m.Target]
	if p == nil {
		return nil
	}
	s.sequence++
	s.relayed[s.sequence] = relay{address: m.From.Address, sequence: m.Sequence, at: now}
	return []Envelope{s.send(p.node.Address, Message{Type: Ping, Sequence: s.sequence})}
}

// replySync returns the records that the sender lacks and requests those that this node lacks.
func (s *State) replySync(m Message) Envelope {
	reply := Message{Type: SyncReply}
	remote := make(map[string]Version, min(len(m.Versions), maxSyncVersions))
	for _, v := range m.Versions[:min(len(m.Versions), maxSyncVersions)] {
		remote[v.Key] = v
	}
	for _, own := range s.versions() {
		v, known := remote[own.Key]
		delete(remote, own.Key)
		switch {
		case !known || older(v, own):
			s.attach(&reply, own.Key)
		case older(own, v):
			reply.Wanted = append(reply.Wanted, own.Key)
		}
	}
	for key := range remote {
		reply.Wanted = append(reply.Wanted, key)
	}
	return s.send(m.From.Address, reply)
}

// replyWanted returns the records that a peer requested.
func (s *State) replyWanted(m Message) []Envelope {
	if len(m.Wanted) == 0 {
		return nil
	}
	out := Message{Type: Gossip}
	for _, key := range m.Wanted[:min(len(m.Wanted), maxSyncVersions)] {
		s.attach(&out, key)
	}
	return []Envelope{s.send(m.From.Address, out)}
}

// attach adds the record of a key to a message.
func (s *State) attach(m *Message, key string) {
	if n, ok := s.record(key); ok {
		m.Nodes = append(m.Nodes, n)
	} else if e, ok := s.entries[key]; ok {
		m.Entries = append(m.Entries, e)
	}
}

// older reports whether version a is older than version b of the same key.
func older(a, b Version) bool {
	if a.Major != b.Major {
		return a.Major < b.Major
	}
	return a.Minor < b.Minor
}
