package member

import "time"

// Receive takes a message in and returns the messages that answer it.
func (s *State) Receive(now time.Time, m Message) []Send {
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
		return []Send{s.send(m.From.Address, s.loaded(Message{Type: Ack, Sequence: m.Sequence}))}
	case Ack:
		return s.acked(now, m)
	case PingRequest:
		return s.relay(now, m)
	case Sync:
		return []Send{s.answerSync(m)}
	case SyncReply:
		return s.answerWanted(m)
	}
	return nil
}

// mergeNode takes a node record in if it is newer, and refutes a wrong one of
// this node itself.
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
		s.heat(nodePrefix + n.Name)
		return
	}
	if !n.newer(p.node) {
		return
	}
	if n.Status != p.node.Status {
		p.since = now
	}
	p.node = n
	s.heat(nodePrefix + n.Name)
}

// refute raises the own sequence if another node believes this one suspect or
// dead, or remembers a later record than this process has written.
func (s *State) refute(n Node) {
	if !n.newer(s.self) {
		return
	}
	s.self.Incarnation = max(s.self.Incarnation, n.Incarnation)
	s.self.Sequence = max(s.self.Sequence, n.Sequence) + 1
	s.heat(nodePrefix + s.self.Name)
}

// acked ends the probe, or passes the answer on to who asked for it.
func (s *State) acked(now time.Time, m Message) []Send {
	if r, ok := s.relayed[m.Sequence]; ok {
		delete(s.relayed, m.Sequence)
		return []Send{s.send(r.address, Message{Type: Ack, Sequence: r.sequence, Target: m.From.Name})}
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

// relay pings a target for another node.
func (s *State) relay(now time.Time, m Message) []Send {
	p := s.nodes[m.Target]
	if p == nil {
		return nil
	}
	s.sequence++
	s.relayed[s.sequence] = relay{address: m.From.Address, sequence: m.Sequence, at: now}
	return []Send{s.send(p.node.Address, Message{Type: Ping, Sequence: s.sequence})}
}

// answerSync returns what the sender lacks and asks for what this node lacks.
func (s *State) answerSync(m Message) Send {
	reply := Message{Type: SyncReply}
	theirs := make(map[string]Version, min(len(m.Versions), maxSyncVersions))
	for _, v := range m.Versions[:min(len(m.Versions), maxSyncVersions)] {
		theirs[v.Key] = v
	}
	for _, mine := range s.versions() {
		v, known := theirs[mine.Key]
		delete(theirs, mine.Key)
		switch {
		case !known || less(v, mine):
			s.attach(&reply, mine.Key)
		case less(mine, v):
			reply.Wanted = append(reply.Wanted, mine.Key)
		}
	}
	for key := range theirs {
		reply.Wanted = append(reply.Wanted, key)
	}
	return s.send(m.From.Address, reply)
}

// answerWanted returns the records that a peer asked for.
func (s *State) answerWanted(m Message) []Send {
	if len(m.Wanted) == 0 {
		return nil
	}
	out := Message{Type: Gossip}
	for _, key := range m.Wanted[:min(len(m.Wanted), maxSyncVersions)] {
		s.attach(&out, key)
	}
	return []Send{s.send(m.From.Address, out)}
}

// attach adds the record of a key to m.
func (s *State) attach(m *Message, key string) {
	if n, ok := s.record(key); ok {
		m.Nodes = append(m.Nodes, n)
	} else if e, ok := s.entries[key]; ok {
		m.Entries = append(m.Entries, e)
	}
}

// less tells whether version a is older than b, both of the same key.
func less(a, b Version) bool {
	if a.Major != b.Major {
		return a.Major < b.Major
	}
	return a.Minor < b.Minor
}
