package poison

import (
	"maps"
	"slices"
	"time"
)

const (
	// crashRetention is how long crashes count. Copies of a request may come minutes apart.
	crashRetention = time.Hour
	// maxRequests bounds the requests of one crash that are kept.
	maxRequests = 512
	// maxSounds bounds the parts of which the last sound response is known.
	maxSounds = 4096
	// maxSuspects bounds the suspected parts about which nodes are asked.
	maxSuspects = 64
)

type (
	// Tracker decides which requests are refused, from what all nodes have observed. The zero value is ready to use.
	Tracker struct {
		// Eager makes it decide whenever the evidence has changed. It is for one node's observations, which are few.
		Eager bool

		crashes   []*crash     // in the order of their times
		copies    map[Part]int // at how many of them copies of a request were in flight
		sounds    map[soundKey]time.Time
		responses map[string][]time.Time // by service: begins of sound responses to any request; no entry if none reports them
		suspected map[Part]time.Time     // since when
		blocks    []block
		lifted    map[string]time.Time // when a block with these parts was lifted
		stale     bool                 // the evidence has changed since the last decisions
		decidedAt time.Time
		dueAt     time.Time // when decisions have to be made again though the evidence hasn't changed, zero for never
	}

	// crash is the crash of one server, as observed by all nodes.
	crash struct {
		server, service string
		at              time.Time
		observed        map[uint64][]Request // requests of each observation, by its id
		requests        []Request            // of all
		parts           map[Part]sent        // of the requests
	}
)

// Add adds a node's observation of a crash. Observations of the same server are merged. One that is added again replaces what was known
// of it if it has more requests. Without requests it isn't kept.
func (t *Tracker) Add(now time.Time, c Crash) {
	if len(c.Requests) == 0 {
		return
	}
	at := now.Add(-c.Age)
	i := slices.IndexFunc(t.crashes, func(e *crash) bool { return e.server == c.Server })
	var e *crash
	if i >= 0 {
		e = t.crashes[i]
		if len(e.observed[c.ID]) >= len(c.Requests) {
			return
		}
		if at.Before(e.at) {
			e.at = at
		}
	} else {
		e = &crash{server: c.Server, service: c.Service, at: at, observed: map[uint64][]Request{}}
		t.crashes = append(t.crashes, e)
	}
	e.observed[c.ID] = c.Requests
	t.countCopies(e, -1)
	e.merge()
	t.countCopies(e, 1)
	slices.SortStableFunc(t.crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
	for len(t.crashes) > 1 && now.Sub(t.crashes[0].at) > crashRetention {
		t.removeCrash(0)
	}
	if len(t.crashes) > maxCrashes {
		t.evict()
	}
	t.stale = true
}

// merge joins the requests of all observations.
func (c *crash) merge() {
	c.requests = nil
	for _, id := range slices.Sorted(maps.Keys(c.observed)) {
		list := c.observed[id]
		c.requests = append(c.requests, list[:min(len(list), maxRequests-len(c.requests))]...)
	}
	c.parts = c.countParts()
}

// evict removes the oldest crash that is no evidence needed against a suspected part, or the oldest if there is none. Servers that end
// for another reason, many together, thus don't displace the crashes of a request that comes seldom.
func (t *Tracker) evict() {
	i := slices.IndexFunc(t.crashes, func(c *crash) bool {
		for p := range c.parts {
			if t.isNeeded(c, p) {
				return false
			}
		}
		return true
	})
	t.removeCrash(max(i, 0))
}

func (t *Tracker) removeCrash(i int) {
	t.countCopies(t.crashes[i], -1)
	t.crashes = slices.Delete(t.crashes, i, i+1)
}

// countCopies adds a crash to the numbers of crashes at which copies were in flight, or takes it out of them. Nearly all requests were
// in flight at one crash only; decisions leave them out.
func (t *Tracker) countCopies(c *crash, change int) {
	if t.copies == nil {
		t.copies = map[Part]int{}
	}
	for p := range c.parts {
		if !p.IsCopy() {
			continue
		}
		if t.copies[p] += change; t.copies[p] == 0 {
			delete(t.copies, p)
		}
	}
}

// isNeeded reports whether a crash is needed as evidence against a part: it is suspected, was not sound since, and was in flight at few
// other crashes.
func (t *Tracker) isNeeded(c *crash, p Part) bool {
	_, ok := t.suspected[p]
	return ok && c.at.After(t.sounds[soundKey{c.service, p}]) && t.countCrashes(p) <= certainCrashes
}

// countCrashes returns at how many crashes a request with the part was in flight.
func (t *Tracker) countCrashes(p Part) int {
	n := 0
	for _, c := range t.crashes {
		if c.parts[p].requests > 0 {
			n++
		}
	}
	return n
}

// AddSound adds a sound response that a node has observed.
func (t *Tracker) AddSound(now time.Time, s Sound) {
	if s.Part == AnyRequest {
		t.addResponse(now, s)
		return
	}
	key, at := soundKey{s.Service, s.Part}, now.Add(-s.Age)
	before := t.sounds[key]
	if !at.After(before) {
		return
	}
	if t.sounds == nil {
		t.sounds = map[soundKey]time.Time{}
	}
	if len(t.sounds) >= maxSounds {
		t.pruneSounds()
	}
	t.sounds[key] = at
	t.stale = t.stale || t.changesEvidence(s.Part, before, at)
	t.narrow(key, at)
	t.exceptService(s.Service)
}

// changesEvidence reports whether a sound response to a part, later than the last one known before, takes a crash out of the evidence against
// it, or is the first one.
func (t *Tracker) changesEvidence(p Part, before, at time.Time) bool {
	return slices.ContainsFunc(t.crashes, func(c *crash) bool {
		return c.parts[p].requests > 0 && (before.IsZero() || c.at.After(before) && !c.at.After(at))
	})
}

// wasSound reports whether a response of a service to a part is known to have been sound.
func (t *Tracker) wasSound(service string, p Part) bool {
	return !t.sounds[soundKey{service, p}].IsZero()
}

// pruneSounds forgets the sound responses to parts of which no request was in flight at a crash that is kept, or all if there are too many.
func (t *Tracker) pruneSounds() {
	maps.DeleteFunc(t.sounds, func(key soundKey, _ time.Time) bool { return !t.isInEvidence(key.part) })
	if len(t.sounds) >= maxSounds {
		clear(t.sounds)
	}
}

// isInEvidence reports whether a request with the part was in flight at a crash that is kept.
func (t *Tracker) isInEvidence(p Part) bool {
	return t.countCrashes(p) > 0
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
