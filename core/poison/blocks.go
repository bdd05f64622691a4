package poison

import (
	"slices"
	"time"
)

const (
	// blockRetention is how long after its last crash a block is kept.
	blockRetention = 24 * time.Hour
	// maxBlocks bounds the blocks in force.
	maxBlocks = 64
)

// trialDelays are the times after the last crash, or trial, after which one request is let through. There are no more trials, since
// each may cost a server.
var trialDelays = []time.Duration{time.Minute, 10 * time.Minute}

// aloneTrialDelays replace trialDelays for a block of copies beside which no other request comes. Nothing tells an outage of all servers from a
// request that crashes them then, so the first trials are early: the second when the block is four times as old as at the first. No more than three
// requests may reach servers after the block.
var aloneTrialDelays = []time.Duration{4 * time.Second, 12 * time.Second, 10 * time.Minute}

// provisionalTrialDelay is the time after the last crash, or trial, after which one request is let through a provisional block. Their number has
// no limit: after an outage of all servers a trial lifts the block, and a request that does crash servers crashes one between sound responses to
// others, which makes the block final.
const provisionalTrialDelay = 2 * time.Second

// suspectTrialDelay is how much longer a request has to wait for a trial if another of its parts may crash servers: its crash
// would count against the block.
const suspectTrialDelay = 2 * time.Second

// block is a block in force.
type block struct {
	parts       []Part
	service     string
	crashes     int
	at          time.Time       // of the last crash that led to it
	services    []string        // others with such crashes, for which the block isn't provisional
	except      []string        // other services at which the parts are sound
	wasSound    bool            // a response to the part was sound before the crashes
	provisional bool            // the servers may have ended for another reason
	alone       bool            // they may have, but no other request comes that would show it
	trials      int             // requests that were let through since, but for those while it was provisional
	triedAt     time.Time       // when the last request was let through
	explained   map[string]bool // servers whose crashes it explains, nil if another node decided it
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

// exceptService takes a service out of the blocks whose parts its servers have shown to be sound since the last crash.
func (t *Tracker) exceptService(service string) {
	for i := range t.blocks {
		b := &t.blocks[i]
		if b.service != service && t.allSound(service, b.parts, b.at) {
			b.except = union(b.except, []string{service})
		}
	}
}

// allSound reports whether the servers of a service have shown all parts to be sound since a time.
func (t *Tracker) allSound(service string, parts []Part, since time.Time) bool {
	return !slices.ContainsFunc(parts, func(p Part) bool { return !t.sounds[soundKey{service, p}].After(since) })
}

// union returns the names of two lists, sorted.
func union(a, b []string) []string {
	out := slices.Concat(a, b)
	slices.Sort(out)
	return slices.Compact(out)
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
		if len(b.Parts) == 0 || b.Age > blockRetention || ok && !at.After(lifted) {
			continue
		}
		if i := t.indexOf(b.Parts); i >= 0 {
			t.blocks[i].provisional = t.blocks[i].wasSound || t.blocks[i].provisional && b.Provisional
			t.blocks[i].except = union(t.blocks[i].except, b.Except)
			t.blocks[i].services = union(t.blocks[i].services, b.Services)
		}
		if !t.covers(b.Parts) {
			triedAt := now
			if b.Alone { // the crash of a trial is the last one
				triedAt = time.Time{}
			}
			t.insert(block{parts: b.Parts, service: b.Service, crashes: b.Crashes, at: at, services: b.Services, except: b.Except, provisional: b.Provisional, alone: b.Alone, trials: b.Trials, triedAt: triedAt})
		}
	}
}

// indexOf returns the index of the block with exactly the given parts, -1 if there is none.
func (t *Tracker) indexOf(parts []Part) int {
	return slices.IndexFunc(t.blocks, func(b block) bool { return slices.Equal(b.parts, parts) })
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

// export returns the block for other nodes.
func (b block) export(now time.Time) Block {
	return Block{Parts: b.parts, Service: b.service, Crashes: b.crashes, Age: max(0, now.Sub(b.at)), Services: b.services, Except: b.except, Provisional: b.provisional, Alone: b.alone, Trials: b.trials,
		Trial: b.isTrialDue(now), TrialElsewhere: b.isTested(now)}
}

// isTrialDue reports whether a request may be let through to find out whether it still crashes servers.
func (b block) isTrialDue(now time.Time) bool {
	if b.provisional {
		return b.isTested(now)
	}
	delays := trialDelays
	if b.alone {
		delays = aloneTrialDelays
	}
	return b.trials < len(delays) && now.Sub(b.lastTrial()) >= delays[b.trials]
}

// isTested reports whether a request may be let through while the block is provisional, or to a service for which it always is.
func (b block) isTested(now time.Time) bool { return now.Sub(b.lastTrial()) >= provisionalTrialDelay }

// lastTrial returns the time of the last crash or trial.
func (b block) lastTrial() time.Time {
	if b.triedAt.After(b.at) {
		return b.triedAt
	}
	return b.at
}

// Admit decides whether a request to a service with the given parts may have a slot. It returns the block that refuses it, false if there is
// none, and whether the request is let through as a trial, of all blocks that match it. It makes no new decisions about crashes.
func (t *Tracker) Admit(now time.Time, service string, parts []Part) (b Block, blocked, trial bool) {
	var tried []int
	for i := range t.blocks {
		next := t.blocks[i].export(now)
		if !next.Refuses(service, parts) {
			continue
		}
		b = next
		isLate := t.blocks[i].export(now.Add(-suspectTrialDelay)).AllowsTrial(service)
		if !b.AllowsTrial(service) || !isLate && t.isSuspect(service, parts, b) {
			return b, true, false
		}
		tried = append(tried, i)
	}
	for _, i := range tried {
		if !t.blocks[i].provisional && t.blocks[i].isTrialDue(now) {
			t.blocks[i].trials++
		}
		t.blocks[i].triedAt = now
	}
	return b, false, len(tried) > 0
}

// isSuspect reports whether one of the given parts that a block doesn't have is suspected, and no response of the service to it is known to have been
// sound.
func (t *Tracker) isSuspect(service string, parts []Part, b Block) bool {
	return slices.ContainsFunc(parts, func(p Part) bool {
		_, suspected := t.suspected[p]
		return suspected && !slices.Contains(b.Parts, p) && t.sounds[soundKey{service, p}].IsZero()
	})
}
