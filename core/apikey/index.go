package apikey

import "crypto/subtle"

// bucketBytes is how much of a digest picks the candidates of a look-up.
const bucketBytes = 2

type (
	// Index maps digests of keys to their holders. The zero value is empty. It is
	// safe for concurrent use once nothing is added any more.
	Index[T any] struct {
		buckets map[[bucketBytes]byte][]entry[T]
		size    int
	}

	entry[T any] struct {
		digest Digest
		holder T
	}
)

// Add adds a key. If the digest is there already the later holder is found.
func (x *Index[T]) Add(d Digest, holder T) {
	if x.buckets == nil {
		x.buckets = map[[bucketBytes]byte][]entry[T]{}
	}
	b := [bucketBytes]byte(d[:bucketBytes])
	x.buckets[b] = append(x.buckets[b], entry[T]{d, holder})
	x.size++
}

// Find returns the holder of a key.
func (x *Index[T]) Find(d Digest) (holder T, ok bool) {
	for _, e := range x.buckets[[bucketBytes]byte(d[:bucketBytes])] {
		if subtle.ConstantTimeCompare(e.digest[:], d[:]) == 1 {
			holder, ok = e.holder, true
		}
	}
	return holder, ok
}

// Len returns the number of keys that were added.
func (x *Index[T]) Len() int { return x.size }
