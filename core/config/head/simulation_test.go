package head_test

import (
	"fmt"

	"pgregory.net/rapid"

	"guavapaddle/core/config/head"
	"guavapaddle/core/row"
)

type (
	// operator simulates an operator who applies documents one after another.
	operator struct {
		name     string
		read     *row.Row       // the head row it read, nil before the read
		proposal *head.Proposal // sent, without a known verdict
		applies  int            // number of proposals made
	}

	// node simulates a node that follows the head.
	node struct {
		head.Follower
		paused  bool
		replied map[int]bool // peers that replied since the last pause
		inbox   []message    // messages in flight to the node
		fetches []head.Ref   // bodies in flight to the node
	}

	// message is a reply or a hint to a node.
	message struct {
		stamp head.QueryStamp
		ref   head.Ref
		from  int // index of a node, fromTable or fromHint
		fresh bool
	}

	// simulation is a table with operators and nodes, and the failures of their
	// messages and processes.
	simulation struct {
		rows     map[string]row.Row
		revision uint64
		down     bool                    // table and object store are unavailable
		inFlight []head.Proposal         // proposals in flight, which may arrive at any time
		history  []head.Head             // accepted heads in order
		verdicts map[string]head.Verdict // by apply id, as the operators learned them

		operators  []*operator
		nodes      []*node
		maxInForce uint64 // highest version that was in force on all running nodes at the same time
	}
)

const (
	fromTable = -1
	fromHint  = -2
)

func newSimulation(operators, nodes int) *simulation {
	s := &simulation{rows: map[string]row.Row{}, verdicts: map[string]head.Verdict{}}
	for i := range operators {
		s.operators = append(s.operators, &operator{name: fmt.Sprintf("op%d", i)})
	}
	for range nodes {
		s.nodes = append(s.nodes, &node{replied: map[int]bool{}})
	}
	return s
}

// row returns the current row of the table.
func (s *simulation) row(key string) row.Row {
	r := s.rows[key]
	r.Key = key
	return r
}

// transact commits a proposal if its conditions hold, and reports whether they do.
func (s *simulation) transact(p head.Proposal) bool {
	for _, c := range p.Tx.Conditions {
		if s.row(c.Key).Revision != c.Revision {
			return false
		}
	}
	s.revision++
	for _, write := range p.Tx.Writes {
		s.rows[write.Key] = row.Row{Key: write.Key, Value: write.Value, Revision: s.revision}
		if write.Delete {
			delete(s.rows, write.Key)
		}
	}
	s.history = append(s.history, p.Head)
	return true
}

// recordVerdict records the verdict that an operator got on its proposal and
// resets the operator.
func (s *simulation) recordVerdict(o *operator, v head.Verdict) {
	s.verdicts[o.proposal.Head.ApplyID] = v
	o.proposal, o.read = nil, nil
}

// operatorReads lets an operator without a proposal read the head.
func (s *simulation) operatorReads(t *rapid.T) {
	o := rapid.SampledFrom(s.operators).Draw(t, "operator")
	if s.down || o.proposal != nil {
		return
	}
	r := s.row(head.Key)
	o.read = &r
}

// operatorSends lets an operator send or resend its proposal, and draws whether
// the call or the response is lost or delayed.
func (s *simulation) operatorSends(t *rapid.T) {
	o := rapid.SampledFrom(s.operators).Draw(t, "operator")
	if o.read == nil {
		return
	}
	if o.proposal == nil {
		o.applies++
		id := fmt.Sprintf("%s-%d", o.name, o.applies)
		p, err := head.Propose(*o.read, "hash of "+id, id, o.name, 0)
		if err != nil {
			t.Fatal(err)
		}
		o.proposal = &p
	}
	callOutcome := rapid.SampledFrom([]string{"answered", "answer lost", "call lost", "late"}).Draw(t, "outcome")
	switch {
	case callOutcome == "late":
		s.inFlight = append(s.inFlight, *o.proposal)
	case s.down || callOutcome == "call lost":
	default:
		if committed := s.transact(*o.proposal); committed && callOutcome == "answered" {
			s.recordVerdict(o, head.Won)
		}
	}
}

// callArrives delivers a delayed call.
func (s *simulation) callArrives(t *rapid.T) {
	if len(s.inFlight) == 0 || s.down {
		return
	}
	i := rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "call")
	s.transact(s.inFlight[i])
	s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
}

// operatorJudges lets an operator read the table to determine the verdict on its
// proposal.
func (s *simulation) operatorJudges(t *rapid.T) {
	o := rapid.SampledFrom(s.operators).Draw(t, "operator")
	if s.down || o.proposal == nil {
		return
	}
	own := o.proposal.Head
	j, err := head.Judge(own, s.row(head.Key), s.row(head.HistoryKey(own.Version)))
	if err != nil {
		t.Fatal(err)
	}
	if j.Verdict != head.Pending {
		s.recordVerdict(o, j.Verdict)
	}
}

// operatorApplies advances the head without competing operators.
func (s *simulation) operatorApplies(t *rapid.T) {
	if s.down {
		return
	}
	id := fmt.Sprintf("apply-%d", len(s.history))
	p, err := head.Propose(s.row(head.Key), "hash of "+id, id, "op", 0)
	if err != nil || !s.transact(p) {
		t.Fatalf("apply failed: %v", err)
	}
}

// outage starts or ends an outage of the table and the object store.
func (s *simulation) outage(*rapid.T) { s.down = !s.down }

// runningNode draws a node and skips the step if the node is paused.
func (s *simulation) runningNode(t *rapid.T) (int, *node) {
	i := rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")
	if s.nodes[i].paused {
		t.Skip("the node is paused")
	}
	return i, s.nodes[i]
}

// nodeCatchesUp lets a node read the head and adopt its body without delay.
func (s *simulation) nodeCatchesUp(t *rapid.T) {
	_, n := s.runningNode(t)
	if s.down {
		return
	}
	h, err := head.Parse(s.row(head.Key))
	if err == nil {
		n.Follower, err = n.WithRead(n.QueryStamp(), h.Ref())
	}
	if err != nil {
		t.Fatal(err)
	}
	if ref, behind := n.Missing(); behind {
		n.Follower = n.WithAdopted(ref)
	}
}

// nodeReads lets a node read the head row; the reply may be delayed.
func (s *simulation) nodeReads(t *rapid.T) {
	_, n := s.runningNode(t)
	if s.down {
		return
	}
	h, err := head.Parse(s.row(head.Key))
	if err != nil {
		t.Fatal(err)
	}
	n.inbox = append(n.inbox, message{stamp: n.QueryStamp(), ref: h.Ref(), from: fromTable})
}

// nodeQueriesPeer lets a node query a peer; the reply may be delayed.
func (s *simulation) nodeQueriesPeer(t *rapid.T) {
	_, n := s.runningNode(t)
	j, peer := s.runningNode(t)
	n.inbox = append(n.inbox, message{stamp: n.QueryStamp(), ref: peer.InForce(), from: j, fresh: peer.Fresh()})
}

// nodeSendsHint lets a node send a hint to a peer.
func (s *simulation) nodeSendsHint(t *rapid.T) {
	_, n := s.runningNode(t)
	peer := rapid.SampledFrom(s.nodes).Draw(t, "peer")
	peer.inbox = append(peer.inbox, message{ref: n.InForce(), from: fromHint})
}

// messageArrives delivers one message to a node, not necessarily the oldest.
func (s *simulation) messageArrives(t *rapid.T) {
	_, n := s.runningNode(t)
	if len(n.inbox) == 0 {
		return
	}
	i := rapid.IntRange(0, len(n.inbox)-1).Draw(t, "message")
	m := n.inbox[i]
	n.inbox = append(n.inbox[:i], n.inbox[i+1:]...)
	var err error
	switch m.from {
	case fromTable:
		n.Follower, err = n.WithRead(m.stamp, m.ref)
	case fromHint:
		n.Follower, err = n.WithHint(m.ref)
	default:
		n.Follower, err = n.WithReply(m.stamp, m.ref, m.fresh)
		if m.stamp == n.QueryStamp() {
			n.replied[m.from] = true
		}
	}
	if err != nil {
		t.Fatal(err)
	}
}

// nodeFetches lets a node request the body that it is missing from the store or
// from a peer.
func (s *simulation) nodeFetches(t *rapid.T) {
	_, n := s.runningNode(t)
	ref, behind := n.Missing()
	available := !s.down
	for _, p := range s.nodes {
		available = available || !p.paused && p.InForce() == ref
	}
	if behind && available {
		n.fetches = append(n.fetches, ref)
	}
}

// bodyArrives puts a fetched body in force, not necessarily the oldest.
func (s *simulation) bodyArrives(t *rapid.T) {
	_, n := s.runningNode(t)
	if len(n.fetches) == 0 {
		return
	}
	i := rapid.IntRange(0, len(n.fetches)-1).Draw(t, "body")
	ref := n.fetches[i]
	n.fetches = append(n.fetches[:i], n.fetches[i+1:]...)
	n.Follower = n.WithAdopted(ref)
}

// nodeRestarts replaces a node by an empty one. The first node is never
// restarted, because if all nodes restarted during an outage, none would know
// the version in force.
func (s *simulation) nodeRestarts(t *rapid.T) {
	i := rapid.IntRange(1, len(s.nodes)-1).Draw(t, "node")
	s.nodes[i] = &node{replied: map[int]bool{}}
}

// nodePauses pauses a node.
func (s *simulation) nodePauses(t *rapid.T) {
	_, n := s.runningNode(t)
	n.paused = true
}

// nodeResumes ends the pause of a node, which detects the pause before anything
// else.
func (s *simulation) nodeResumes(t *rapid.T) {
	n := rapid.SampledFrom(s.nodes).Draw(t, "node")
	if n.paused {
		n.paused = false
		n.Follower = n.WithPause()
		n.replied = map[int]bool{}
	}
}

// nodeAssumesConfirmed lets a node assume the newest version that it has seen to
// be confirmed, if all other nodes replied during an outage.
func (s *simulation) nodeAssumesConfirmed(t *rapid.T) {
	i, n := s.runningNode(t)
	for j, p := range s.nodes {
		if j != i && (p.paused || !n.replied[j]) {
			return
		}
	}
	if s.down {
		n.Follower = n.WithAssumed(n.QueryStamp())
	}
}
