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
func (s *Selector) Select(now time.Time, list []Candidate) string {
	var recent, others []Candidate
	for _, c := range capable(list) {
		switch {
		case c.Node == s.node && (c.Age <= MaxStoreAge || now.Sub(s.selectedAt) <= MaxStoreAge):
			return s.node
		case c.Age <= MaxStoreAge:
			recent = append(recent, c)
		case c.Node != s.node:
			others = append(others, c)
		}
	}
	if len(recent) == 0 {
		recent = others
	}
	if len(recent) == 0 {
		return s.node
	}
	s.selections++
	s.node, s.selectedAt = rendezvous(recent, s.selections), now
	return s.node
}

// capable returns the candidates with at least half as many processor cores as the largest, since
// the deputy does the leader's work while there is no leader.
func capable(list []Candidate) []Candidate {
	highest := 0.0
	for _, c := range list {
		highest = max(highest, c.Cores)
	}
	var out []Candidate
	for _, c := range list {
		if 2*c.Cores >= highest {
			out = append(out, c)
		}
	}
	return out
}

// rendezvous returns the node with the highest rendezvous hash for the number of a selection.
func rendezvous(list []Candidate, number int) string {
	var name string
	var highest uint64
	for _, c := range list {
		if h := xxhash.Sum64String(strconv.Itoa(number) + "/" + c.Node); name == "" || h > highest {
			name, highest = c.Node, h
		}
	}
	return name
}
