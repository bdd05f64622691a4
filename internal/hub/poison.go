package hub

import (
	"slices"
	"time"

	"guavapaddle/core/poison"
)

// relayedCrashes holds the crashes and blocks that a relay passes on.
type relayedCrashes struct {
	log      poison.Log     // crashes that nodes have reported
	sounds   poison.Sounds  // likewise
	suspects []poison.Part  // as the leader last sent them
	blocks   []poison.Block // likewise; until the first reply of a leader, as nodes reported them
	replied  bool           // a leader has replied
	at       time.Time      // when the blocks were received
}

// mergeCrashes merges the crashes, sound responses and blocks in a node's report; h.mu is held.
func (h *Hub) mergeCrashes(now time.Time, r Report) {
	h.tracker.Inherit(now, r.Blocks)
	for _, c := range r.Crashes {
		h.tracker.Add(now, c)
		if len(c.Requests) > 0 {
			h.observed.Add(now, c)
		}
		h.announce(now, CrashedServer{Server: c.Server, Age: c.Age, Late: c.Late})
	}
	for _, s := range r.Sounds {
		h.tracker.AddSound(now, s)
	}
}

// announce has a server's crash announced to all nodes, unless it was before; h.mu is held. A node whose client has left, and which
// closed its connection, doesn't notice the crash itself.
func (h *Hub) announce(now time.Time, c CrashedServer) {
	known := slices.ContainsFunc(h.crashed, func(n numbered[CrashedServer]) bool { return n.value.Server == c.Server })
	if !known && c.Age < crashedTTL {
		h.crashed = append(h.crashed, numbered[CrashedServer]{c, now.Add(-c.Age), h.nextNumber()})
	}
}

// crashedAfter returns the crashed servers with a higher number; h.mu is held.
func (h *Hub) crashedAfter(now time.Time, number uint64) []CrashedServer {
	var out []CrashedServer
	for _, c := range h.crashed {
		if c.number > number {
			out = append(out, CrashedServer{Server: c.value.Server, Age: now.Sub(c.at), Late: c.value.Late})
		}
	}
	return out
}

// crashesForDeputy returns the crashes that the deputy lacks, as its last report shows, and the number of the last; h.mu is held. With
// them what nodes observed outlasts the leader and those nodes.
func (h *Hub) crashesForDeputy(now time.Time, r Report) ([]poison.Crash, uint64) {
	known := uint64(0)
	if r.Heard.Hub == h.id {
		known = r.KnownCrashes
	}
	return h.observed.After(now, known, 0)
}

// Evidence returns the crashes that have to outlast the nodes that observed them; see poison.Tracker.
func (h *Hub) Evidence(now time.Time) []poison.Crash {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tracker.Evidence(now)
}

// AddEvidence adds crashes that another leader has passed on.
func (h *Hub) AddEvidence(now time.Time, list []poison.Crash) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range list {
		h.tracker.Add(now, c)
		h.tracker.AddSound(now, poison.NoResponse(c.Service))
	}
}

// blocks returns the blocks in force, and calls OnBlock for those that have changed; h.mu is held.
func (h *Hub) blocks(now time.Time) []poison.Block {
	list := h.tracker.Blocks(now)
	if h.OnBlock == nil || len(list)+len(h.inForce) == 0 {
		return list
	}
	before := h.inForce
	h.inForce = map[string]poison.Block{}
	for _, b := range list {
		h.inForce[b.Name()] = b
		if old, ok := before[b.Name()]; !ok || old.Provisional != b.Provisional {
			h.OnBlock(b, false)
		}
	}
	for name, b := range before {
		if _, ok := h.inForce[name]; !ok {
			h.OnBlock(b, true)
		}
	}
	return list
}

// Blocks returns the blocks in force, which the leader decides.
func (h *Hub) Blocks(now time.Time) []poison.Block {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.blocks(now)
}

// Admit decides whether a request to a service with the given parts may have a slot, and whether as a trial; see poison.Tracker.
func (h *Hub) Admit(now time.Time, service string, parts []poison.Part) (b poison.Block, blocked, trial bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tracker.Admit(now, service, parts)
}

// SetBlocks puts the blocks in force that another leader has decided.
func (h *Hub) SetBlocks(now time.Time, list []poison.Block) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.SetBlocks(now, list)
}

// mergeCrashesAsRelay keeps the crashes and sound responses in a node's report, to pass them on; h.mu is held.
func (h *Hub) mergeCrashesAsRelay(now time.Time, r Report) {
	c := &h.relay.crashes
	for _, x := range r.Crashes {
		c.log.Add(now, x)
	}
	for _, s := range r.Sounds {
		c.sounds.Add(s.Service, s.Part, now.Add(-s.Age))
	}
	if !c.replied && len(r.Blocks) > 0 {
		c.blocks, c.at = r.Blocks, now
	}
}

// withCrashes returns a relay's own report with what its nodes reported about requests that crash servers; h.mu is held.
func (h *Hub) withCrashes(now time.Time, r Report) Report {
	c := &h.relay.crashes
	r.Crashes = append(r.Crashes, c.log.Unsent(now)...)
	r.Sounds = append(r.Sounds, c.sounds.Unsent(now, nil)...)
	return r
}

// applyBlocksAsRelay records the suspects and blocks in the leader's reply; h.mu is held.
func (h *Hub) applyBlocksAsRelay(now time.Time, reply ReportReply) {
	c := &h.relay.crashes
	c.log.Acknowledge(reply.Heard.Hub)
	c.sounds.Acknowledge(reply.Heard.Hub)
	c.suspects, c.blocks, c.replied, c.at = reply.Suspects, reply.Blocks, true, now
}

// relayedBlocks returns the blocks that a relay passes on; h.mu is held.
func (h *Hub) relayedBlocks(now time.Time) []poison.Block {
	c := &h.relay.crashes
	out := slices.Clone(c.blocks)
	for i, b := range out {
		out[i] = b.WithAge(b.Age + now.Sub(c.at))
	}
	return out
}
