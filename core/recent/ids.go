package recent

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// DefaultMax is how many ids are remembered by default.
const DefaultMax = 64

// IDs remembers the most recent ids that were added. The zero value is ready to use. It is not safe for concurrent use.
type IDs struct {
	Max int // number of ids that are remembered, DefaultMax if zero

	hashes []uint64
	oldest int // index of the hash that the next id replaces, once Max are remembered
}

// Add adds an id, for which the oldest one is forgotten if Max are remembered.
func (r *IDs) Add(id string) {
	hash := xxhash.Sum64String(id)
	if len(r.hashes) < cmp.Or(r.Max, DefaultMax) {
		r.hashes = append(r.hashes, hash)
		return
	}
	r.hashes[r.oldest] = hash
	r.oldest = (r.oldest + 1) % len(r.hashes)
}

// Contains reports whether an id is among those that are remembered.
func (r *IDs) Contains(id string) bool { return slices.Contains(r.hashes, xxhash.Sum64String(id)) }
