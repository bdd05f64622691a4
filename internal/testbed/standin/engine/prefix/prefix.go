// Package prefix is the prompt prefix cache of the engine stand-in. It keeps
// hashes of prompt prefixes in bounded space, the least recently used go first,
// and publishes what it stores and evicts with gaps. Time is an argument.
//
// # Usage
//
//	c := prefix.New(64, 0.1, seed)
//	cached := c.Use(item.String(), prompt, now) // tokens that need no prefill
//	events := c.Since(last, now.Add(-lag))
package prefix

import (
	"container/list"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	ioengine "guavapaddle/io/engine"
)

const (
	// BlockBytes is the length of prompt that one block of the prefix cache
	// covers.
	BlockBytes = 64
	// BytesPerToken is how much of a prompt makes a token.
	BytesPerToken = 4

	maxEvents = 1 << 14
)

type (
	// Cache holds the prompt prefixes whose processing can be saved, the least
	// recently used go first.
	Cache struct {
		blocks int     // capacity
		loss   float64 // part of the events that is never published
		random *rand.Rand

		order    *list.List // of uint64, the most recently used in front
		index    map[uint64]*list.Element
		sequence uint64
		events   []event
	}

	// event is a cache event and when it happened.
	event struct {
		at time.Time
		ioengine.CacheEvent
	}
)

// New returns an empty cache.
func New(blocks int, loss float64, seed uint64) *Cache {
	return &Cache{blocks: blocks, loss: loss, random: rand.New(rand.NewPCG(seed, 1)),
		order: list.New(), index: map[uint64]*list.Element{}}
}

// Hashes returns the hashes of the prefixes of a prompt that a cache
// keeps: one for each whole block.
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

// Use returns how many tokens of a prompt are in the cache and stores it all.
func (c *Cache) Use(item, prompt string, now time.Time) (cached int) {
	hit := true
	for _, h := range Hashes(item, prompt) {
		e, ok := c.index[h]
		if hit = hit && ok; hit {
			cached += BlockBytes / BytesPerToken
		}
		if ok {
			c.order.MoveToFront(e)
			continue
		}
		c.store(h, now)
	}
	return cached
}

// store puts a prefix in and evicts others for it.
func (c *Cache) store(h uint64, now time.Time) {
	if c.blocks <= 0 {
		return
	}
	for c.order.Len() >= c.blocks {
		last := c.order.Back()
		old := c.order.Remove(last).(uint64)
		delete(c.index, old)
		c.publish(old, false, now)
	}
	c.index[h] = c.order.PushFront(h)
	c.publish(h, true, now)
}

// publish notes an event, or loses it.
func (c *Cache) publish(h uint64, stored bool, now time.Time) {
	c.sequence++
	if c.random.Float64() < c.loss {
		return
	}
	c.events = append(c.events, event{at: now, CacheEvent: ioengine.CacheEvent{Sequence: c.sequence, PrefixHash: h, Stored: stored}})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents/2:]
	}
}

// Since returns the events after sequence n that happened by until.
func (c *Cache) Since(n uint64, until time.Time) ioengine.CacheEvents {
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
