package deputy

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fresh is how long ago the store must have answered a deputy. It follows with
// a wait of 0.6 s, and reports each 0.8 s at most.
const Fresh = 2 * time.Second

type (
	// Candidate is a node that may be the deputy.
	Candidate struct {
		Node  string
		Age   time.Duration // since the store last answered the node itself
		Cores float64       // processor that it may use
	}

	// Chooser keeps the present deputy. The zero value has none.
	Chooser struct {
		node  string
		since time.Time // when it was drawn
		draws int
	}
)

// Choose returns the deputy, or the empty text if there is no candidate.
func (c *Chooser) Choose(now time.Time, list []Candidate) string {
	var fresh, rest []Candidate
	for _, k := range capable(list) {
		switch {
		case k.Node == c.node && (k.Age <= Fresh || now.Sub(c.since) <= Fresh):
			return c.node
		case k.Age <= Fresh:
			fresh = append(fresh, k)
		case k.Node != c.node:
			rest = append(rest, k)
		}
	}
	if len(fresh) == 0 {
		fresh = rest
	}
	if len(fresh) == 0 {
		return c.node
	}
	c.draws++
	c.node, c.since = draw(fresh, c.draws), now
	return c.node
}

// capable returns those with at least half as much processor as the largest: the deputy
// does the work of the holder while there is none.
func capable(list []Candidate) []Candidate {
	most := 0.0
	for _, k := range list {
		most = max(most, k.Cores)
	}
	var out []Candidate
	for _, k := range list {
		if 2*k.Cores >= most {
			out = append(out, k)
		}
	}
	return out
}

// draw returns the node with the highest rendezvous hash.
func draw(list []Candidate, number int) string {
	var name string
	var most uint64
	for _, k := range list {
		if h := xxhash.Sum64String(strconv.Itoa(number) + "/" + k.Node); name == "" || h > most {
			name, most = k.Node, h
		}
	}
	return name
}
