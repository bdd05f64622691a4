package suspect

import (
	"cmp"
	"slices"
	"time"
)

// Verdict is the decision on the requests of a fingerprint.
type Verdict string

const (
	// Clear means that the request may run like any other.
	Clear Verdict = "clear"
	// Isolate means that the request may run only on trial.
	Isolate Verdict = "alone"
	// Refuse means that the request is refused.
	Refuse Verdict = "refuse"
)

const (
	// DefaultLifetime is how long a mark is kept after its last incident.
	DefaultLifetime = time.Hour
	// DefaultMaxMarks is the default limit of the marks that a node keeps.
	DefaultMaxMarks = 4096

	refusalThreshold = 2 // open incidents at which a request is refused
)

type (
	// Set is a node's copy of the marks. The zero value is ready to use, with the
	// defaults. A Set is not safe for concurrent use.
	Set struct {
		Lifetime time.Duration // of a mark after its last incident
		MaxMarks int

		marks   map[Fingerprint]entry
		changes uint64
		dropped uint64
	}

	// entry is a mark and the number of its last change in the set.
	entry struct {
		mark    Mark
		changed uint64
	}
)

// RecordCrash records that a server crashed with the given requests in flight. It
// returns their marks, which must be broadcast to the other nodes immediately. An
// incident that is recorded by several nodes counts once. The charge of a request
// on trial remains, so that a crash during the trial counts even if the incident
// has the boot id of an earlier one.
func (s *Set) RecordCrash(now time.Time, i Incident, inflight []Fingerprint) []Mark {
	out := make([]Mark, 0, len(inflight))
	for _, fp := range inflight {
		out = append(out, s.addIncident(now, fp, i))
	}
	s.enforceLimit(now)
	return out
}

// RecordCharge records that a request is on trial and returns its mark, which must be
// broadcast to the other nodes.
func (s *Set) RecordCharge(now time.Time, fp Fingerprint, trial Incident) Mark {
	m := s.addIncident(now, fp, trial)
	s.enforceLimit(now)
	return m
}

// RecordSuccess records that a request completed, which clears all its known incidents.
// It returns the mark, and whether there were incidents to clear.
func (s *Set) RecordSuccess(now time.Time, fp Fingerprint) (Mark, bool) {
	m := s.mark(now, fp)
	if m.OpenIncidents() == 0 {
		return m, false
	}
	m = m.WithCleared(m.Incidents...)
	s.store(m)
	return m, true
}

// RecordNotRun records that a trial provably did not run, which clears its charge, and
// returns the mark.
func (s *Set) RecordNotRun(now time.Time, fp Fingerprint, trial Incident) Mark {
	m := s.mark(now, fp).WithCleared(trial)
	s.store(m)
	return m
}

// Verdict returns the decision on requests with the fingerprint fp.
func (s *Set) Verdict(now time.Time, fp Fingerprint) Verdict {
	return s.mark(now, fp).verdict()
}

// Mark returns the mark of fp, which is empty if there is none in force.
func (s *Set) Mark(now time.Time, fp Fingerprint) Mark { return s.mark(now, fp) }

// Merge merges marks received from other nodes and returns the number of marks
// that changed.
func (s *Set) Merge(now time.Time, marks []Mark) int {
	changed := 0
	for _, o := range marks {
		if o.ExpiresMS <= now.UnixMilli() {
			continue
		}
		m := s.mark(now, o.Fingerprint)
		if n := m.Merge(o); !n.Equal(m) {
			s.store(n)
			changed++
		}
	}
	s.enforceLimit(now)
	return changed
}

// Marks returns the marks that have not expired, the most recently changed first.
func (s *Set) Marks(now time.Time) []Mark {
	s.expire(now)
	all := make([]entry, 0, len(s.marks))
	for _, e := range s.marks {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b entry) int { return cmp.Compare(b.changed, a.changed) })
	out := make([]Mark, len(all))
	for i, e := range all {
		out[i] = e.mark
	}
	return out
}

// Len returns the number of marks, including expired ones.
func (s *Set) Len() int { return len(s.marks) }

// Evicted returns the number of marks that were removed to keep the limit.
func (s *Set) Evicted() uint64 { return s.dropped }

// verdict returns the decision on the requests that m applies to.
func (m Mark) verdict() Verdict {
	switch n := m.OpenIncidents(); {
	case n == 0:
		return Clear
	case n < refusalThreshold:
		return Isolate
	}
	return Refuse
}

// addIncident adds an incident to the mark of fp and extends the mark's lifetime.
func (s *Set) addIncident(now time.Time, fp Fingerprint, i Incident) Mark {
	lifetime := s.Lifetime
	if lifetime == 0 {
		lifetime = DefaultLifetime
	}
	m := s.mark(now, fp).WithIncident(i, now.Add(lifetime).UnixMilli())
	s.store(m)
	return m
}

// mark returns the mark of fp, or an empty one if there is none in force.
func (s *Set) mark(now time.Time, fp Fingerprint) Mark {
	e, found := s.marks[fp]
	if !found || e.mark.ExpiresMS <= now.UnixMilli() {
		return Mark{Fingerprint: fp}
	}
	return e.mark
}

// store replaces the mark of m's fingerprint by m.
func (s *Set) store(m Mark) {
	if s.marks == nil {
		s.marks = map[Fingerprint]entry{}
	}
	s.changes++
	s.marks[m.Fingerprint] = entry{mark: m, changed: s.changes}
}

// expire removes expired marks.
func (s *Set) expire(now time.Time) {
	for fp, e := range s.marks {
		if e.mark.ExpiresMS <= now.UnixMilli() {
			delete(s.marks, fp)
		}
	}
}

// enforceLimit removes marks until there are at most MaxMarks: first those without
// open incidents, last those that are refused, and among equals the least
// recently changed first.
func (s *Set) enforceLimit(now time.Time) {
	limit := s.MaxMarks
	if limit == 0 {
		limit = DefaultMaxMarks
	}
	if len(s.marks) <= limit {
		return
	}
	s.expire(now)
	all := make([]entry, 0, len(s.marks))
	for _, e := range s.marks {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b entry) int {
		return cmp.Or(
			cmp.Compare(min(a.mark.OpenIncidents(), refusalThreshold), min(b.mark.OpenIncidents(), refusalThreshold)),
			cmp.Compare(a.changed, b.changed))
	})
	for _, e := range all[:max(0, len(all)-limit)] {
		delete(s.marks, e.mark.Fingerprint)
		s.dropped++
	}
}
