package status

import (
	"cmp"
	"slices"
)

type (
	// Field is a key and value of an event, as in the logs.
	Field struct {
		Name  string `json:"name"`
		Value string `json:"value"`
	}

	// Event records one decision about a request.
	Event struct {
		AtUnixMS int64   `json:"at-unix-ms"`
		Sequence uint64  `json:"sequence"` // orders the events of one node
		Node     string  `json:"node"`
		Event    string  `json:"event"`
		Fields   []Field `json:"fields"`
	}

	// Explanation lists the events of one request, oldest first.
	Explanation struct {
		RequestID string  `json:"request-id"`
		Events    []Event `json:"events"`
	}
)

// Merge combines the explanations of the request with the given ID into one,
// without duplicate events and ordered by time. Events of one node keep their
// order even if its clock was set back.
func Merge(id string, parts ...Explanation) Explanation {
	type key struct {
		node     string
		sequence uint64
	}
	e := Explanation{RequestID: id, Events: []Event{}}
	seen := make(map[key]bool)
	for _, p := range parts {
		for _, ev := range p.Events {
			k := key{node: ev.Node, sequence: ev.Sequence}
			if p.RequestID == id && !seen[k] {
				seen[k] = true
				e.Events = append(e.Events, ev)
			}
		}
	}
	slices.SortFunc(e.Events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Sequence, b.Sequence))
	})
	makeMonotonic(e.Events)
	slices.SortStableFunc(e.Events, func(a, b Event) int {
		return cmp.Compare(a.AtUnixMS, b.AtUnixMS)
	})
	return e
}

// makeMonotonic raises the times of each node's events so that they never
// decrease. The events must be sorted by node and sequence.
func makeMonotonic(events []Event) {
	for i := 1; i < len(events); i++ {
		if events[i].Node == events[i-1].Node {
			events[i].AtUnixMS = max(events[i].AtUnixMS, events[i-1].AtUnixMS)
		}
	}
}
