package software

import (
	"slices"
	"sort"
	"time"
)

// maxOrigins bounds the streams that are remembered. The version of one that has been dropped isn't known.
const maxOrigins = 1 << 15

type (
	// Origin is the version that began a stream.
	Origin struct {
		Stream  string // id of the client's request that brought the first event
		Service string
		Version string
	}

	// Origins holds the origins of recent streams. The zero value is empty.
	Origins struct {
		list   []numbered // in the order of their numbers and times
		index  map[string]Origin
		number uint64 // of the last one
	}

	// numbered is an origin with its number, counted from one, and the time when it was added.
	numbered struct {
		Origin

		number uint64
		at     time.Time
	}
)

// Add adds an origin. An origin that is known stays as it is, since a stream begins once.
func (o *Origins) Add(now time.Time, origin Origin) {
	o.expire(now)
	if _, ok := o.index[origin.Stream]; ok {
		return
	}
	if o.index == nil {
		o.index = map[string]Origin{}
	}
	o.number++
	o.index[origin.Stream] = origin
	o.list = append(o.list, numbered{origin, o.number, now})
}

// Find returns the origin of a stream, and whether it is known.
func (o *Origins) Find(now time.Time, stream string) (Origin, bool) {
	o.expire(now)
	origin, ok := o.index[stream]
	return origin, ok
}

// After returns up to limit origins of the given services that were added after the one with a number, and the number of the
// last one that was considered. No services mean all.
func (o *Origins) After(now time.Time, number uint64, services []string, limit int) ([]Origin, uint64) {
	o.expire(now)
	var out []Origin
	first := sort.Search(len(o.list), func(i int) bool { return o.list[i].number > number })
	for _, n := range o.list[first:] {
		if len(out) == limit {
			break
		}
		number = n.number
		if len(services) == 0 || slices.Contains(services, n.Service) {
			out = append(out, n.Origin)
		}
	}
	return out, number
}

// expire drops the oldest origins.
func (o *Origins) expire(now time.Time) {
	n := max(0, len(o.list)-maxOrigins)
	for n < len(o.list) && now.Sub(o.list[n].at) > Retention {
		n++
	}
	for _, old := range o.list[:n] {
		delete(o.index, old.Stream)
	}
	o.list = o.list[n:]
}
