package poison

import (
	"maps"
	"slices"
	"time"
)

const (
	// minCrashes is the number of crashes, one after the other, from which on a part is blocked. With two, a rare part that was in
	// flight at the crashes of a server and of its successor would be.
	minCrashes = 3
	// certainCrashes is the number of crashes from which on a part that has never been sound is blocked at once.
	certainCrashes = 5
	// settleTime is how long ago a crash must be to count against a part that has been sound before: responses that have begun
	// since have to last BeginTime before they are reported, through a relay.
	settleTime = 2 * time.Second
	// inquiryTime is how long a part is suspected before it is blocked, in which all nodes report when they last got a sound response
	// to it.
	inquiryTime = time.Second
	// crashRetention is how long crashes count.
	crashRetention = 10 * time.Minute
	// decideInterval is the minimum time between two decisions, each of which looks at all requests of all crashes.
	decideInterval = 200 * time.Millisecond
	// maxRequests bounds the requests of one crash that are kept.
	maxRequests = 512
	// maxSounds bounds the parts of which the last sound response is known.
	maxSounds = 4096
	// blockRetention is how long after its last crash a block is kept.
	blockRetention = 24 * time.Hour
	// maxBlocks bounds the blocks in force, and maxSuspects the suspected parts about which nodes are asked.
	maxBlocks   = 64
	maxSuspects = 64
)

// trialDelays are the times after the last crash, or trial, after which one request is let through. There are no more trials, since
// each may cost a server.
var trialDelays = []time.Duration{time.Minute, 10 * time.Minute}

type (
	// Tracker decides which requests are refused, from what all nodes have observed. The zero value is ready to use.
	Tracker struct {
		crashes   []*crash // in the order of their times
		sounds    map[soundKey]time.Time
		suspected map[Part]time.Time // since when
		blocks    []block
		lifted    map[string]time.Time // when a block with these parts was lifted
		stale     bool                 // the decisions have to be made anew
		decidedAt time.Time
	}

	// crash is the crash of one server, as observed by all nodes.
	crash struct {
		server, service string
		at              time.Time
		seen            map[uint64]bool // ids of the observations
		requests        []Request
		parts           map[Part]sent // of the requests
	}

	// block is a block in force.
	block struct {
		parts     []Part
		service   string
		crashes   int
		at        time.Time       // of the last crash that led to it
		trials    int             // requests that were let through since
		triedAt   time.Time       // when the last of them was
		explained map[string]bool // servers whose crashes it explains, nil if another node decided it
	}

	// sent is how many requests with a part were in flight at a crash, and when the last one was sent.
	sent struct {
		at       time.Time
		requests int
	}

	// suspicion is what is known against a part.
	suspicion struct {
		crashes  int // one after the other
		last     time.Time
		service  string // of the last one
		requests int    // in flight at these crashes
	}
)

// Add adds what a node has observed of a crash. Observations of the same server are merged, and one that is added again is ignored.
func (t *Tracker) Add(now time.Time, c Crash) {
	at := now.Add(-c.Age)
	i := slices.IndexFunc(t.crashes, func(e *crash) bool { return e.server == c.Server })
	var e *crash
	if i >= 0 {
		e = t.crashes[i]
		if e.seen[c.ID] {
			return
		}
		if at.Before(e.at) {
			e.at = at
		}
	} else {
		e = &crash{server: c.Server, service: c.Service, at: at, seen: map[uint64]bool{}}
		t.crashes = append(t.crashes, e)
	}
	e.seen[c.ID] = true
	e.requests = append(e.requests, c.Requests[:min(len(c.Requests), maxRequests-len(e.requests))]...)
	e.parts = e.countParts()
	slices.SortStableFunc(t.crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
	if len(t.crashes) > maxCrashes {
		t.crashes = t.crashes[1:]
	}
	t.crashes = slices.DeleteFunc(t.crashes, func(e *crash) bool { return now.Sub(e.at) > crashRetention })
	t.stale = true
}

// AddSound adds what a node knows of a sound response.
func (t *Tracker) AddSound(now time.Time, s Sound) {
	key, at := soundKey{s.Service, s.Part}, now.Add(-s.Age)
	if !at.After(t.sounds[key]) {
		return
	}
	if t.sounds == nil {
		t.sounds = map[soundKey]time.Time{}
	}
	if len(t.sounds) >= maxSounds {
		t.pruneSounds()
	}
	t.sounds[key] = at
	t.stale = true
	t.narrow(key, at)
}

// pruneSounds forgets the sound responses to parts of which no request was in flight at a crash that is kept, or all if there are too many.
func (t *Tracker) pruneSounds() {
	maps.DeleteFunc(t.sounds, func(key soundKey, _ time.Time) bool {
		return !slices.ContainsFunc(t.crashes, func(c *crash) bool { return c.parts[key.part].requests > 0 })
	})
	if len(t.sounds) >= maxSounds {
		clear(t.sounds)
	}
}

// narrow takes a part that is sound out of the blocks whose last crash was before.
func (t *Tracker) narrow(key soundKey, at time.Time) {
	for i := range t.blocks {
		b := &t.blocks[i]
		if key.service == b.service && at.After(b.at) && slices.Contains(b.parts, key.part) {
			t.lift(b.parts, at)
			b.parts = slices.DeleteFunc(slices.Clone(b.parts), func(q Part) bool { return q == key.part })
		}
	}
	t.blocks = slices.DeleteFunc(t.blocks, func(b block) bool { return len(b.parts) == 0 })
}

// lift records that a block with the given parts isn't in force any more.
func (t *Tracker) lift(parts []Part, at time.Time) {
	if t.lifted == nil || len(t.lifted) >= maxBlocks {
		t.lifted = map[string]time.Time{}
	}
	t.lifted[Block{Parts: parts}.Name()] = at
}

// Inherit adds blocks that another node has decided, unless they have been lifted or replaced since.
func (t *Tracker) Inherit(now time.Time, list []Block) {
	for _, b := range list {
		at := now.Add(-b.Age)
		lifted, ok := t.lifted[b.Name()]
		if len(b.Parts) == 0 || b.Age > blockRetention || ok && !at.After(lifted) || t.covers(b.Parts) {
			continue
		}
		t.insert(block{parts: b.Parts, service: b.Service, crashes: b.Crashes, at: at, trials: b.Trials, triedAt: now})
	}
}

// SetBlocks puts the blocks in force that another node has decided, in place of all others.
func (t *Tracker) SetBlocks(now time.Time, list []Block) {
	t.blocks = nil
	t.Inherit(now, list)
	t.stale = true
}

// covers reports whether each request with the given parts is refused already.
func (t *Tracker) covers(parts []Part) bool {
	return slices.ContainsFunc(t.blocks, func(b block) bool { return Block{Parts: b.parts}.Matches(parts) })
}

// insert puts a block in force, in place of those that it covers.
func (t *Tracker) insert(b block) {
	t.blocks = slices.DeleteFunc(t.blocks, func(o block) bool { return Block{Parts: b.parts}.Matches(o.parts) })
	t.blocks = append(t.blocks, b)
	if len(t.blocks) > maxBlocks {
		t.blocks = t.blocks[1:]
	}
}

// Suspects returns the parts of which nodes report sound responses: those that are suspected or blocked.
func (t *Tracker) Suspects(now time.Time) []Part {
	t.decide(now)
	out := map[Part]bool{}
	for _, b := range t.blocks {
		for _, p := range b.parts {
			out[p] = true
		}
	}
	list := slices.Collect(maps.Keys(t.suspected))
	slices.SortFunc(list, func(a, b Part) int { return t.suspected[a].Compare(t.suspected[b]) })
	for _, p := range list {
		if len(out) < maxSuspects {
			out[p] = true
		}
	}
	return slices.Sorted(maps.Keys(out))
}

// Blocks returns the blocks in force.
func (t *Tracker) Blocks(now time.Time) []Block {
	t.decide(now)
	t.blocks = slices.DeleteFunc(t.blocks, func(b block) bool { return now.Sub(b.at) > blockRetention })
	var out []Block
	for _, b := range t.blocks {
		out = append(out, b.export(now))
	}
	return out
}

// export returns the block for other nodes.
func (b block) export(now time.Time) Block {
	return Block{Parts: b.parts, Service: b.service, Crashes: b.crashes, Age: max(0, now.Sub(b.at)), Trials: b.trials, Trial: b.isTrialDue(now)}
}

// isTrialDue reports whether a request may be let through to find out whether it still crashes servers.
func (b block) isTrialDue(now time.Time) bool {
	last := b.at
	if b.triedAt.After(last) {
		last = b.triedAt
	}
	return b.trials < len(trialDelays) && now.Sub(last) >= trialDelays[b.trials]
}

// Admit decides whether a request with the given parts may have a slot. It returns the block that refuses it, false if there is
// none, and whether the request is let through as a trial. It makes no new decisions about crashes.
func (t *Tracker) Admit(now time.Time, parts []Part) (b Block, blocked, trial bool) {
	for i := range t.blocks {
		b = t.blocks[i].export(now)
		if !b.Matches(parts) {
			continue
		}
		if !b.Trial {
			return b, true, false
		}
		t.blocks[i].trials++
		t.blocks[i].triedAt = now
		return b, false, true
	}
	return Block{}, false, false
}

// decide makes the decisions anew if anything has changed.
func (t *Tracker) decide(now time.Time) {
	if !t.stale || now.Sub(t.decidedAt) < decideInterval {
		return
	}
	t.stale, t.decidedAt = false, now
	rest := t.crashes
	if n := len(rest); n > 0 && now.Sub(rest[n-1].at) < settleTime {
		t.stale = true
	}
	found := map[string]bool{} // servers whose crashes a block explains
	var decided []block
	for {
		suspicions := t.suspicions(rest)
		t.updateSuspected(now, suspicions, len(decided) == 0)
		t.settle(now, suspicions, rest)
		p, ok := t.culprit(now, suspicions)
		if !ok {
			break
		}
		b := t.blockFor(p, suspicions[p], rest)
		decided = append(decided, b)
		maps.Copy(found, b.explained)
		rest = slices.DeleteFunc(slices.Clone(rest), func(c *crash) bool { return b.explained[c.server] })
	}
	t.replace(now, decided, found)
}

// suspicions returns what is known against each part, from crashes in the order of their times.
func (t *Tracker) suspicions(list []*crash) map[Part]suspicion {
	out := map[Part]suspicion{}
	for _, c := range list {
		for p, sent := range c.parts {
			s := out[p]
			if !c.at.After(t.sounds[soundKey{c.service, p}]) {
				continue
			}
			if s.crashes > 0 && !sent.at.After(s.last) {
				continue
			}
			out[p] = suspicion{s.crashes + 1, c.at, c.service, s.requests + sent.requests}
		}
	}
	return out
}

// settle leaves out the latest crashes from what is known against parts that have been sound before.
func (t *Tracker) settle(now time.Time, suspicions map[Part]suspicion, list []*crash) {
	var settled map[Part]suspicion
	for p, s := range suspicions {
		if s.crashes < minCrashes || t.sounds[soundKey{s.service, p}].IsZero() {
			continue
		}
		if settled == nil {
			settled = t.suspicions(slices.DeleteFunc(slices.Clone(list), func(c *crash) bool { return now.Sub(c.at) < settleTime }))
		}
		suspicions[p] = settled[p]
	}
}

// countParts returns the parts of the requests that were in flight.
func (c *crash) countParts() map[Part]sent {
	out := map[Part]sent{}
	for _, r := range c.requests {
		at := c.at.Add(-r.Before)
		for _, p := range r.Parts {
			s := out[p]
			if s.requests == 0 || at.After(s.at) {
				s.at = at
			}
			s.requests++
			out[p] = s
		}
	}
	return out
}

// updateSuspected records since when parts are suspected; first is false while crashes that a block explains are left out.
func (t *Tracker) updateSuspected(now time.Time, suspicions map[Part]suspicion, first bool) {
	if t.suspected == nil {
		t.suspected = map[Part]time.Time{}
	}
	if first {
		maps.DeleteFunc(t.suspected, func(p Part, _ time.Time) bool { return suspicions[p].crashes < minCrashes-1 })
	}
	for p, s := range suspicions {
		if _, ok := t.suspected[p]; !ok && s.crashes >= minCrashes-1 {
			t.suspected[p] = now
		}
	}
}

// culprit returns the part that explains the most crashes, if one has to be blocked. Of several, it is the one of which the fewest
// requests were in flight: a sound part that always occurs beside it has as many at least.
func (t *Tracker) culprit(now time.Time, suspicions map[Part]suspicion) (best Part, ok bool) {
	for p, s := range suspicions {
		if s.crashes < minCrashes {
			continue
		}
		certain := s.crashes >= certainCrashes && t.sounds[soundKey{s.service, p}].IsZero()
		if !certain && now.Sub(t.suspected[p]) < inquiryTime {
			t.stale = true // it may have to be blocked soon
			continue
		}
		b := suspicions[best]
		if !ok || s.crashes > b.crashes || s.crashes == b.crashes && (s.requests < b.requests || s.requests == b.requests && p < best) {
			best, ok = p, true
		}
	}
	return best, ok
}

// blockFor returns the block for a part, from the crashes that aren't explained yet.
func (t *Tracker) blockFor(p Part, s suspicion, list []*crash) block {
	b := block{service: s.service, crashes: s.crashes, at: s.last, explained: map[string]bool{}}
	var common []Part
	for _, c := range list {
		for _, r := range c.requests {
			if !slices.Contains(r.Parts, p) {
				continue
			}
			b.explained[c.server] = true
			if !c.at.After(t.sounds[soundKey{c.service, p}]) {
				continue // from before its last sound response
			}
			if common == nil {
				common = slices.Clone(r.Parts)
			}
			common = slices.DeleteFunc(common, func(q Part) bool {
				return q != p && (!slices.Contains(r.Parts, q) || !c.at.After(t.sounds[soundKey{c.service, q}]))
			})
		}
	}
	slices.Sort(common)
	b.parts = slices.Compact(common)
	return b
}

// replace puts the decided blocks in force. Blocks of before stay, unless others explain all crashes that led to them.
func (t *Tracker) replace(now time.Time, decided []block, found map[string]bool) {
	for _, old := range t.blocks {
		again := slices.ContainsFunc(decided, func(b block) bool { return slices.Equal(b.parts, old.parts) })
		explained := old.explained != nil
		for server := range old.explained {
			explained = explained && found[server]
		}
		if explained && !again {
			t.lift(old.parts, now)
			t.blocks = slices.DeleteFunc(slices.Clone(t.blocks), func(b block) bool { return slices.Equal(b.parts, old.parts) })
		}
	}
	for _, b := range decided {
		i := slices.IndexFunc(t.blocks, func(o block) bool { return slices.Equal(o.parts, b.parts) })
		switch {
		case i >= 0:
			b.trials, b.triedAt = t.blocks[i].trials, t.blocks[i].triedAt
			t.blocks[i] = b
		case !t.covers(b.parts):
			t.insert(b)
		}
	}
}
