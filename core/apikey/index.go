package apikey

import "crypto/subtle"

// bucketBytes is the length of the prefix of a digest that selects a bucket.
const bucketBytes = 2

type (
	// Index maps digests of keys to values, such as the owners of the keys. The
	// zero value is an empty index. Look-ups are safe for concurrent use if they
	// don't overlap with Add.
	Index[T any] struct {
		buckets map[[bucketBytes]byte][]entry[T]
		size    int
	}

	entry[T any] struct {
		digest Digest
		value  T
	}
)

// Add adds a value for a digest. If a digest is added more than once, Find returns
// the last value.
func (x *Index[T]) Add(d Digest, value T) {
	if x.buckets == nil {
		x.buckets = map[[bucketBytes]byte][]entry[T]{}
	}
	b := [bucketBytes]byte(d[:bucketBytes])
	x.buckets[b] = append(x.buckets[b], entry[T]{d, value})
	x.size++
}

// Find returns the value of a digest. It compares all candidates, so that its
// duration doesn't depend on which one matches.
func (x *Index[T]) Find(d Digest) (value T, ok bool) {
	for _, e := range x.buckets[[bucketBytes]byte(d[:bucketBytes])] {
		if subtle.ConstantTimeCompare(e.digest[:], d[:]) == 1 {
			value, ok = e.value, true
		}
	}
	return value, ok
}

// Len returns the number of calls of Add.
func (x *Index[T]) Len() int { return x.size }
