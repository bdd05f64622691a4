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
	// certainCrashes is the number of crashes, one after the other, from which on a part of prompts that has never been sound is blocked
	// at once. For a whole request it is minCrashes: what was in flight beside it at the next crash is another one.
	certainCrashes = 5
	// settleTime is how long ago a crash must be to count against a part that has been sound before: responses that have begun
	// since have to last BeginTime before they are reported, through a relay.
	settleTime = 2 * time.Second
	// inquiryTime is how long a part is suspected before it is blocked, in which all nodes report when they last got a sound response
	// to it.
	inquiryTime = time.Second
	// blockTime is how long after the crash from which on a part is refused all nodes refuse it.
	blockTime = 3 * time.Second
	// decideInterval is the minimum time between two decisions, each of which looks at all requests of all crashes.
	decideInterval = 200 * time.Millisecond
)

type (
	// sent is how many requests with a part were in flight at a crash, and when the last one was sent.
	sent struct {
		at       time.Time
		requests int
	}

	// suspicion is the evidence against a part.
	suspicion struct {
		crashes   int // that count
		last      time.Time
		chain     int // how many of them came one after the other
		chainedAt time.Time
		service   string // of the last one
		requests  int    // in flight at these crashes
	}
)

// decide repeats the decisions if the evidence has changed, or time has made more of it count.
func (t *Tracker) decide(now time.Time) {
	isDue := t.stale || !t.dueAt.IsZero() && !now.Before(t.dueAt)
	if !isDue || !t.Eager && now.Sub(t.decidedAt) < decideInterval {
		return
	}
	t.stale, t.decidedAt, t.dueAt = false, now, time.Time{}
	rest := t.crashes
	if i := slices.IndexFunc(rest, func(c *crash) bool { return now.Sub(c.at) < settleTime }); i >= 0 {
		t.decideBy(rest[i].at.Add(settleTime))
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

// decideBy makes the next decisions due at a time, unless they are earlier.
func (t *Tracker) decideBy(at time.Time) {
	if t.dueAt.IsZero() || at.Before(t.dueAt) {
		t.dueAt = at
	}
}

// suspicions returns the evidence against each part, from crashes in the order of their times. Crashes that didn't come one after the
// other count as one, but for a whole request that was never sound: several clients may send copies of it at the same time.
func (t *Tracker) suspicions(list []*crash) map[Part]suspicion {
	out := map[Part]suspicion{}
	for _, c := range list {
		for p, sent := range c.parts {
			if p.IsCopy() && t.copies[p] < minCrashes-1 {
				continue
			}
			s := out[p]
			soundAt := t.sounds[soundKey{c.service, p}]
			chained := s.chain == 0 || sent.at.After(s.chainedAt)
			if !c.at.After(soundAt) || !chained && (!p.IsCopy() || !soundAt.IsZero()) {
				continue
			}
			if chained {
				s.chain++
				s.chainedAt = c.at
			}
			s.crashes, s.last, s.service = s.crashes+1, c.at, c.service
			s.requests += sent.requests
			out[p] = s
		}
	}
	return out
}

// settle leaves the latest crashes out of the evidence against parts that have been sound before.
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
// requests were in flight: a sound part that always occurs beside it has as many at least. A whole request goes before a part of its
// prompt, unless that explains minCrashes more.
func (t *Tracker) culprit(now time.Time, suspicions map[Part]suspicion) (best Part, ok bool) {
	var whole Part // request that explains the most crashes, empty if there is none
	for p, s := range suspicions {
		if s.crashes < minCrashes {
			continue
		}
		if !t.isCertain(p, s) && now.Sub(t.suspected[p]) < inquiryTime {
			t.decideBy(t.suspected[p].Add(inquiryTime))
			continue
		}
		if !ok || s.exceeds(p, suspicions[best], best) {
			best, ok = p, true
		}
		if p.IsCopy() && (whole == "" || s.exceeds(p, suspicions[whole], whole)) {
			whole = p
		}
	}
	if whole != "" && suspicions[best].crashes-suspicions[whole].crashes < minCrashes {
		return whole, true
	}
	return best, ok
}

// isCertain reports whether a part is blocked before all nodes have reported when it was last sound.
func (t *Tracker) isCertain(p Part, s suspicion) bool {
	enough := certainCrashes
	if p.IsCopy() {
		enough = minCrashes
	}
	return s.chain >= enough && t.sounds[soundKey{s.service, p}].IsZero()
}

// exceeds reports whether the suspicion against a part is stronger than another one.
func (s suspicion) exceeds(p Part, o suspicion, q Part) bool {
	return s.crashes > o.crashes || s.crashes == o.crashes && (s.requests < o.requests || s.requests == o.requests && p < q)
}

// blockFor returns the block for a part, from the crashes that aren't explained yet. The block of a whole request has no other parts.
func (t *Tracker) blockFor(p Part, s suspicion, list []*crash) block {
	b := block{service: s.service, crashes: s.crashes, at: s.last, explained: map[string]bool{}}
	var common []Part
	var times []time.Time               // of the crashes
	counted := map[string][]time.Time{} // by service, of those after its last sound response
	for _, c := range list {
		if c.parts[p].requests == 0 {
			continue
		}
		b.explained[c.server] = true
		times = append(times, c.at)
		if c.at.After(t.sounds[soundKey{c.service, p}]) {
			counted[c.service] = append(counted[c.service], c.at)
		}
		for _, r := range c.requests {
			if !slices.Contains(r.Parts, p) || !c.at.After(t.sounds[soundKey{c.service, p}]) { // from before its last sound response
				continue
			}
			if common == nil {
				common = slices.Clone(r.Parts)
			}
			common = slices.DeleteFunc(common, func(q Part) bool {
				return q != p && (p.IsCopy() || !slices.Contains(r.Parts, q) || !c.at.After(t.sounds[soundKey{c.service, q}]))
			})
		}
	}
	slices.Sort(common)
	b.parts = slices.Compact(common)
	b.trials = lateCrashes(p, times)
	first := counted[s.service][0]
	for key := range t.sounds {
		if key.part == p && key.service != s.service && t.allSound(key.service, b.parts, first) {
			b.except = union(b.except, []string{key.service})
		}
	}
	for service, at := range counted {
		if service != s.service && !t.mayBeOutage(service, at) && !t.wasSound(service, p) {
			b.services = union(b.services, []string{service})
		}
	}
	b.wasSound = t.wasSound(s.service, p)
	outage := t.mayBeOutage(s.service, counted[s.service])
	b.alone = outage && p.IsCopy() && !t.hasOthers(p, s.service, first, s.last)
	b.provisional = b.wasSound || outage && !b.alone
	return b
}

// lateCrashes returns how many of the crashes of a part, in the order of their times, came though the part should have been refused.
// Each takes the place of a trial.
func lateCrashes(p Part, times []time.Time) int {
	enough := certainCrashes
	if p.IsCopy() {
		enough = minCrashes
	}
	late := 0
	for _, at := range times[min(enough, len(times)):] {
		if at.Sub(times[enough-1]) > blockTime {
			late++
		}
	}
	return late
}

// failedTrial reports whether a crash at a time shows that a trial of a provisional block has crashed a server, after a response to another request
// was sound.
func (t *Tracker) failedTrial(b block, crashed time.Time) bool {
	return !b.triedAt.IsZero() && crashed.After(b.triedAt) && t.respondedBetween(b.service, b.at, crashed)
}

// replace puts the decided blocks in force. Blocks of before stay, unless others explain so many of the crashes that led to them that
// the rest wouldn't have.
func (t *Tracker) replace(now time.Time, decided []block, found map[string]bool) {
	for _, old := range t.blocks {
		again := slices.ContainsFunc(decided, func(b block) bool { return slices.Equal(b.parts, old.parts) })
		unexplained := 0
		for server := range old.explained {
			if !found[server] {
				unexplained++
			}
		}
		if old.explained != nil && unexplained < minCrashes && !again {
			t.lift(old.parts, now)
			t.blocks = slices.DeleteFunc(slices.Clone(t.blocks), func(b block) bool { return slices.Equal(b.parts, old.parts) })
		}
	}
	for _, b := range decided {
		i := t.indexOf(b.parts)
		switch {
		case i >= 0:
			b.provisional = b.wasSound || b.provisional && t.blocks[i].provisional && !t.failedTrial(t.blocks[i], b.at)
			b.except = union(b.except, t.blocks[i].except)
			b.services = union(b.services, t.blocks[i].services)
			b.trials, b.triedAt = max(b.trials, t.blocks[i].trials), t.blocks[i].triedAt
			t.blocks[i] = b
		case !t.covers(b.parts):
			t.insert(b)
		}
	}
}
