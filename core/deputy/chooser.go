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
		Node string
		Age  time.Duration // since the store last answered the node itself
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
	var fresh, rest []string
	for _, k := range list {
		switch {
		case k.Node == c.node && (k.Age <= Fresh || now.Sub(c.since) <= Fresh):
			return c.node
		case k.Age <= Fresh:
			fresh = append(fresh, k.Node)
		case k.Node != c.node:
			rest = append(rest, k.Node)
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

// draw returns the node with the highest rendezvous hash.
func draw(nodes []string, number int) string {
	var name string
	var most uint64
	for _, n := range nodes {
		if h := xxhash.Sum64String(strconv.Itoa(number) + "/" + n); name == "" || h > most {
			name, most = n, h
		}
	}
	return name
}
