package poison

import (
	"slices"
	"time"
)

const (
	// maxEvidence bounds the crashes in Evidence, and maxEvidenceRequests the requests of each.
	maxEvidence         = 16
	maxEvidenceRequests = 8
)

// Evidence returns the latest crashes that are needed, with those of their requests whose parts are suspected and not blocked yet. It is
// what has to outlast the nodes that observed the crashes: other requests were in flight at one crash only, or were sound since.
func (t *Tracker) Evidence(now time.Time) []Crash {
	t.decide(now)
	var out []Crash
	for i := len(t.crashes) - 1; i >= 0 && len(out) < maxEvidence; i-- {
		e := t.crashes[i]
		for id, list := range e.observed {
			if list = t.suspectedRequests(e, list); len(list) > 0 {
				out = append(out, Crash{ID: id, Server: e.server, Service: e.service, Age: max(0, now.Sub(e.at)), Requests: list})
			}
		}
	}
	return out
}

// suspectedRequests returns the requests of a crash of which a part is suspected and that no block refuses.
func (t *Tracker) suspectedRequests(c *crash, list []Request) []Request {
	var out []Request
	for _, r := range list {
		needed := slices.ContainsFunc(r.Parts, func(p Part) bool { return t.isNeeded(c, p) })
		if needed && !t.covers(r.Parts) && len(out) < maxEvidenceRequests {
			out = append(out, r)
		}
	}
	return out
}
