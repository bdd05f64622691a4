package poison

import (
	"maps"
	"slices"
	"time"
)

const (
	// crashRetention is how long crashes count.
	crashRetention = 10 * time.Minute
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
		crashes   []*crash // in the order of their times
		sounds    map[soundKey]time.Time
		suspected map[Part]time.Time // since when
		blocks    []block
		lifted    map[string]time.Time // when a block with these parts was lifted
		stale     bool                 // the evidence has changed since the last decisions
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
)

// Add adds a node's observation of a crash. Observations of the same server are merged, and one that is added again is ignored.
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

// AddSound adds a sound response that a node has observed.
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
