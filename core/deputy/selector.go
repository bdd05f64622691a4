package deputy

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxStoreAge is the maximum time since the store last answered a deputy. The deputy follows the
// store with a wait of 0.6 s, and reports at least every 0.8 s.
const MaxStoreAge = 2 * time.Second

type (
	// Candidate is a node that may become the deputy.
	Candidate struct {
		Node  string
		Age   time.Duration // time since the store last answered the node itself
		Cores float64       // processor cores that the node may use
	}

	// Selector selects the deputy. The zero value has selected none.
	Selector struct {
		node       string
		selectedAt time.Time // when the deputy was selected
		selections int
	}
)

// Select returns the deputy, or the empty string if there never was a candidate.
func (c *Selector) Select(now time.Time, list []Candidate) string {
	var recent, others []Candidate
	for _, k := range capable(list) {
		switch {
		case k.Node == c.node && (k.Age <= MaxStoreAge || now.Sub(c.selectedAt) <= MaxStoreAge):
			return c.node
		case k.Age <= MaxStoreAge:
			recent = append(recent, k)
		case k.Node != c.node:
			others = append(others, k)
		}
	}
	if len(recent) == 0 {
		recent = others
	}
	if len(recent) == 0 {
		return c.node
	}
	c.selections++
	c.node, c.selectedAt = rendezvous(recent, c.selections), now
	return c.node
}

// capable returns the candidates with at least half as many processor cores as the largest, since
// the deputy does the leader's work while there is no leader.
func capable(list []Candidate) []Candidate {
	highest := 0.0
	for _, k := range list {
		highest = max(highest, k.Cores)
	}
	var out []Candidate
	for _, k := range list {
		if 2*k.Cores >= highest {
			out = append(out, k)
		}
	}
	return out
}

// rendezvous returns the node with the highest rendezvous hash for the number of a selection.
func rendezvous(list []Candidate, number int) string {
	var name string
	var highest uint64
	for _, k := range list {
		if h := xxhash.Sum64String(strconv.Itoa(number) + "/" + k.Node); name == "" || h > highest {
			name, highest = k.Node, h
		}
	}
	return name
}
