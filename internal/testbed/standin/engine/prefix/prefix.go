// Package prefix implements the prompt prefix cache of the engine stand-in. It is an
// LRU cache of hashes of prompt prefixes, and it publishes events for what it stores
// and evicts, a fraction of which is lost. Times are passed as arguments.
//
// # Usage
//
//	c := prefix.New(64, 0.1, seed)
//	cached := c.Use(item.String(), prompt, now) // tokens that need no prefill
//	events := c.EventsSince(last, now.Add(-lag))
package prefix

import (
	"container/list"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	ioengine "guavapaddle/io/engine"
)

const (
	// BlockBytes is the length of the part of a prompt that one cache block covers.
	BlockBytes = 64
	// BytesPerToken is the length of a prompt token.
	BytesPerToken = 4

	maxEvents = 1 << 14
)

type (
	// Cache is an LRU cache of the prompt prefixes that need no prefill. It is not
	// safe for concurrent use.
	Cache struct {
		blocks int     // capacity in blocks
		loss   float64 // fraction of the events that is never published
		rng    *rand.Rand

		lru      *list.List // of uint64 hashes, most recently used first
		elements map[uint64]*list.Element
		sequence uint64
		events   []event
	}

	// event is a cache event and the time at which it happened.
	event struct {
		at time.Time
		ioengine.CacheEvent
	}
)

// New returns an empty cache of the given capacity in blocks. The fraction loss of
// its events, selected by seed, is never published.
func New(blocks int, loss float64, seed uint64) *Cache {
	return &Cache{blocks: blocks, loss: loss, rng: rand.New(rand.NewPCG(seed, 1)),
		lru: list.New(), elements: map[uint64]*list.Element{}}
}

// Hashes returns the hashes of the cacheable prefixes of a prompt: one for each whole
// block.
func Hashes(item, prompt string) []uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(item + "\x00")
	var out []uint64
	for len(prompt) >= BlockBytes {
		_, _ = h.WriteString(prompt[:BlockBytes])
		out = append(out, h.Sum64())
		prompt = prompt[BlockBytes:]
	}
	return out
}

// Use returns the number of tokens at the start of a prompt that are cached, and
// stores all whole blocks of the prompt.
func (c *Cache) Use(item, prompt string, now time.Time) (cached int) {
	hit := true
	for _, h := range Hashes(item, prompt) {
		e, ok := c.elements[h]
		if hit = hit && ok; hit {
			cached += BlockBytes / BytesPerToken
		}
		if ok {
			c.lru.MoveToFront(e)
			continue
		}
		c.store(h, now)
	}
	return cached
}

// store adds a prefix and evicts the least recently used ones to make room.
func (c *Cache) store(h uint64, now time.Time) {
	if c.blocks <= 0 {
		return
	}
	for c.lru.Len() >= c.blocks {
		last := c.lru.Back()
		old := c.lru.Remove(last).(uint64)
		delete(c.elements, old)
		c.publish(old, false, now)
	}
	c.elements[h] = c.lru.PushFront(h)
	c.publish(h, true, now)
}

// publish records an event, or drops it with probability loss.
func (c *Cache) publish(h uint64, stored bool, now time.Time) {
	c.sequence++
	if c.rng.Float64() < c.loss {
		return
	}
	c.events = append(c.events, event{at: now, CacheEvent: ioengine.CacheEvent{Sequence: c.sequence, PrefixHash: h, Stored: stored}})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents/2:]
	}
}

// EventsSince returns the events with a sequence number above n that happened no later than
// until.
func (c *Cache) EventsSince(n uint64, until time.Time) ioengine.CacheEvents {
	out := ioengine.CacheEvents{Events: []ioengine.CacheEvent{}, Last: n}
	for _, e := range c.events {
		if e.at.After(until) {
			break
		}
		if e.Sequence > n {
			out.Events = append(out.Events, e.CacheEvent)
			out.Last = e.Sequence
		}
	}
	return out
}
