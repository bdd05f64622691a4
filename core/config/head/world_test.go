package head_test

import (
	"fmt"

	"pgregory.net/rapid"

	"guavapaddle/core/config/head"
	"guavapaddle/core/row"
)

type (
	// operator applies one document after another.
	operator struct {
		name     string
		read     *row.Row       // what it read of the head
		proposal *head.Proposal // what it sent and has no verdict on
		applies  int
	}

	// node follows the head.
	node struct {
		head.Follower
		paused  bool
		heard   map[int]bool // peers that answered since the last pause
		inbox   []message    // on its way to the node
		fetches []head.Ref   // bodies on their way to the node
	}

	// message is an answer or a hint to a node.
	message struct {
		ticket head.Ticket
		ref    head.Ref
		from   int // a node, or one of the two below
		fresh  bool
	}

	// world is a table, operators and nodes, with everything that may fail.
	world struct {
		rows     map[string]row.Row
		revision uint64
		down     bool
		onTheWay []head.Proposal // sent, may arrive any time
		history  []head.Head     // accepted, in order
		told     map[string]head.Verdict

		operators []*operator
		nodes     []*node
		floor     uint64 // highest version that all live nodes had at one moment
	}
)

const (
	fromTable = -1
	fromHint  = -2
)

func newWorld(operators, nodes int) *world {
	w := &world{rows: map[string]row.Row{}, told: map[string]head.Verdict{}}
	for i := range operators {
		w.operators = append(w.operators, &operator{name: fmt.Sprintf("op%d", i)})
	}
	for range nodes {
		w.nodes = append(w.nodes, &node{heard: map[int]bool{}})
	}
	return w
}

// row returns a row as the table has it.
func (w *world) row(key string) row.Row {
	r := w.rows[key]
	r.Key = key
	return r
}

// transact is the table's side of a proposal.
func (w *world) transact(p head.Proposal) bool {
	for _, c := range p.Tx.Conditions {
		if w.row(c.Key).Revision != c.Revision {
			return false
		}
	}
	w.revision++
	for _, wr := range p.Tx.Writes {
		w.rows[wr.Key] = row.Row{Key: wr.Key, Value: wr.Value, Revision: w.revision}
		if wr.Delete {
			delete(w.rows, wr.Key)
		}
	}
	w.history = append(w.history, p.Head)
	return true
}

// tell notes what an operator was told and lets it begin anew.
func (w *world) tell(o *operator, v head.Verdict) {
	w.told[o.proposal.Head.ApplyID] = v
	o.proposal, o.read = nil, nil
}

// operatorReads lets an operator read the head and propose.
func (w *world) operatorReads(t *rapid.T) {
	o := rapid.SampledFrom(w.operators).Draw(t, "operator")
	if w.down || o.proposal != nil {
		return
	}
	r := w.row(head.Key)
	o.read = &r
}

// operatorSends lets an operator send its proposal, for the first time or
// again, and draws what becomes of call and answer.
func (w *world) operatorSends(t *rapid.T) {
	o := rapid.SampledFrom(w.operators).Draw(t, "operator")
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
	fate := rapid.SampledFrom([]string{"answered", "answer lost", "call lost", "late"}).Draw(t, "fate")
	switch {
	case fate == "late":
		w.onTheWay = append(w.onTheWay, *o.proposal)
	case w.down || fate == "call lost":
	default:
		if committed := w.transact(*o.proposal); committed && fate == "answered" {
			w.tell(o, head.Won)
		}
	}
}

// callArrives lets a late call take effect.
func (w *world) callArrives(t *rapid.T) {
	if len(w.onTheWay) == 0 || w.down {
		return
	}
	i := rapid.IntRange(0, len(w.onTheWay)-1).Draw(t, "call")
	w.transact(w.onTheWay[i])
	w.onTheWay = append(w.onTheWay[:i], w.onTheWay[i+1:]...)
}

// operatorJudges lets an operator read back.
func (w *world) operatorJudges(t *rapid.T) {
	o := rapid.SampledFrom(w.operators).Draw(t, "operator")
	if w.down || o.proposal == nil {
		return
	}
	mine := o.proposal.Head
	j, err := head.Judge(mine, w.row(head.Key), w.row(head.HistoryKey(mine.Version)))
	if err != nil {
		t.Fatal(err)
	}
	if j.Verdict != head.Pending {
		w.tell(o, j.Verdict)
	}
}

// operatorApplies lets an operator read and advance the head undisturbed.
func (w *world) operatorApplies(t *rapid.T) {
	if w.down {
		return
	}
	id := fmt.Sprintf("apply-%d", len(w.history))
	p, err := head.Propose(w.row(head.Key), "hash of "+id, id, "op", 0)
	if err != nil || !w.transact(p) {
		t.Fatalf("apply failed: %v", err)
	}
}

// outage begins or ends an outage of table and object store.
func (w *world) outage(*rapid.T) { w.down = !w.down }

// running draws a node that isn't paused.
func (w *world) running(t *rapid.T) (int, *node) {
	i := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")
	if w.nodes[i].paused {
		t.Skip("the node is paused")
	}
	return i, w.nodes[i]
}

// nodeCatchesUp lets a node read the head and fetch its body at once.
func (w *world) nodeCatchesUp(t *rapid.T) {
	_, n := w.running(t)
	if w.down {
		return
	}
	h, err := head.Parse(w.row(head.Key))
	if err == nil {
		n.Follower, err = n.WithRead(n.Ticket(), h.Ref())
	}
	if err != nil {
		t.Fatal(err)
	}
	if ref, behind := n.Want(); behind {
		n.Follower = n.WithAdopted(ref)
	}
}

// nodeReads lets a node ask for the head row; the answer may be late.
func (w *world) nodeReads(t *rapid.T) {
	_, n := w.running(t)
	if w.down {
		return
	}
	h, err := head.Parse(w.row(head.Key))
	if err != nil {
		t.Fatal(err)
	}
	n.inbox = append(n.inbox, message{ticket: n.Ticket(), ref: h.Ref(), from: fromTable})
}

// nodeAsks lets a node ask a peer; the answer may be late.
func (w *world) nodeAsks(t *rapid.T) {
	_, n := w.running(t)
	j, peer := w.running(t)
	n.inbox = append(n.inbox, message{ticket: n.Ticket(), ref: peer.InForce(), from: j, fresh: peer.Fresh()})
}

// nodeTells lets a node send a hint to a peer.
func (w *world) nodeTells(t *rapid.T) {
	_, n := w.running(t)
	peer := rapid.SampledFrom(w.nodes).Draw(t, "peer")
	peer.inbox = append(peer.inbox, message{ref: n.InForce(), from: fromHint})
}

// messageArrives delivers one message to a node, not always the oldest.
func (w *world) messageArrives(t *rapid.T) {
	_, n := w.running(t)
	if len(n.inbox) == 0 {
		return
	}
	i := rapid.IntRange(0, len(n.inbox)-1).Draw(t, "message")
	m := n.inbox[i]
	n.inbox = append(n.inbox[:i], n.inbox[i+1:]...)
	var err error
	switch m.from {
	case fromTable:
		n.Follower, err = n.WithRead(m.ticket, m.ref)
	case fromHint:
		n.Follower, err = n.WithHint(m.ref)
	default:
		n.Follower, err = n.WithAnswer(m.ticket, m.ref, m.fresh)
		if m.ticket == n.Ticket() {
			n.heard[m.from] = true
		}
	}
	if err != nil {
		t.Fatal(err)
	}
}

// nodeFetches lets a node ask for the body that it wants, from the store or
// from a peer.
func (w *world) nodeFetches(t *rapid.T) {
	_, n := w.running(t)
	ref, behind := n.Want()
	available := !w.down
	for _, p := range w.nodes {
		available = available || !p.paused && p.InForce() == ref
	}
	if behind && available {
		n.fetches = append(n.fetches, ref)
	}
}

// bodyArrives puts a body in force that was fetched, not always the oldest.
func (w *world) bodyArrives(t *rapid.T) {
	_, n := w.running(t)
	if len(n.fetches) == 0 {
		return
	}
	i := rapid.IntRange(0, len(n.fetches)-1).Draw(t, "body")
	ref := n.fetches[i]
	n.fetches = append(n.fetches[:i], n.fetches[i+1:]...)
	n.Follower = n.WithAdopted(ref)
}

// nodeRestarts replaces a node by an empty one. The first node is never
// restarted: when all are at once, an outage leaves nobody who knows.
func (w *world) nodeRestarts(t *rapid.T) {
	i := rapid.IntRange(1, len(w.nodes)-1).Draw(t, "node")
	w.nodes[i] = &node{heard: map[int]bool{}}
}

func (w *world) nodePauses(t *rapid.T) {
	_, n := w.running(t)
	n.paused = true
}

// nodeWakes ends a pause, which the node notices first of all.
func (w *world) nodeWakes(t *rapid.T) {
	n := rapid.SampledFrom(w.nodes).Draw(t, "node")
	if n.paused {
		n.paused = false
		n.Follower = n.WithPause()
		n.heard = map[int]bool{}
	}
}

// nodeTrusts lets a node that was answered by all others trust what it knows.
func (w *world) nodeTrusts(t *rapid.T) {
	i, n := w.running(t)
	for j, p := range w.nodes {
		if j != i && (p.paused || !n.heard[j]) {
			return
		}
	}
	if w.down {
		n.Follower = n.WithTrust(n.Ticket())
	}
}
