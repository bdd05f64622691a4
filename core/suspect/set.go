package suspect

import (
	"cmp"
	"slices"
	"time"
)

// Verdict is what may be done with a fingerprint.
type Verdict string

const (
	// Clear means that the request runs as any other.
	Clear Verdict = "clear"
	// Alone means that the request may run on trial.
	Alone Verdict = "alone"
	// Refuse means that the request is refused.
	Refuse Verdict = "refuse"
)

const (
	// DefaultLifetime is how long a mark lasts after its last incident.
	DefaultLifetime = time.Hour
	// DefaultMaxMarks bounds the marks that a node keeps.
	DefaultMaxMarks = 4096

	refuseAt = 2 // standing incidents
)

type (
	// Set is a node's copy of the marks. The zero value uses the defaults. Its
	// owner guards it against concurrent use.
	Set struct {
		Lifetime time.Duration // of a mark after its last incident
		MaxMarks int

		marks   map[Fingerprint]entry
		changes uint64
		dropped uint64
	}

	// entry is a mark and when it last changed here.
	entry struct {
		mark    Mark
		changed uint64
	}
)

// Crash notes that a server crashed with requests in flight and returns their
// marks, to be told to the other nodes at once. The same incident may be noted
// by several nodes; it counts once. The charge of a request that was on trial
// stays, so a second crash of the same server counts whatever its boot id.
func (s *Set) Crash(now time.Time, i Incident, inflight []Fingerprint) []Mark {
	out := make([]Mark, 0, len(inflight))
	for _, fp := range inflight {
		out = append(out, s.note(now, fp, i))
	}
	s.bound(now)
	return out
}

// Charged notes that a request is on trial and returns its mark, to be told to
// the other nodes.
func (s *Set) Charged(now time.Time, fp Fingerprint, trial Incident) Mark {
	m := s.note(now, fp, trial)
	s.bound(now)
	return m
}

// Success notes that a request ran to its end: all that is known against it is
// cleared. It returns its mark and whether there was one.
func (s *Set) Success(now time.Time, fp Fingerprint) (Mark, bool) {
	m := s.mark(now, fp)
	if m.Standing() == 0 {
		return m, false
	}
	m = m.WithCleared(m.Incidents...)
	s.put(m)
	return m, true
}

// NotRun notes that a trial provably did not run and returns the mark.
func (s *Set) NotRun(now time.Time, fp Fingerprint, trial Incident) Mark {
	m := s.mark(now, fp).WithCleared(trial)
	s.put(m)
	return m
}

// Verdict tells what may be done with fp.
func (s *Set) Verdict(now time.Time, fp Fingerprint) Verdict {
	return s.mark(now, fp).verdict()
}

// Mark returns what is known against fp.
func (s *Set) Mark(now time.Time, fp Fingerprint) Mark { return s.mark(now, fp) }

// Merge takes over what others know and returns the number of marks that
// changed.
func (s *Set) Merge(now time.Time, marks []Mark) int {
	changed := 0
	for _, o := range marks {
		if o.ExpiresMS <= now.UnixMilli() {
			continue
		}
		m := s.mark(now, o.Fingerprint)
		if n := m.Merge(o); !n.Equal(m) {
			s.put(n)
			changed++
		}
	}
	s.bound(now)
	return changed
}

// Marks returns the marks that have not expired, those that changed last first.
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

// Len returns the number of marks, expired ones included.
func (s *Set) Len() int { return len(s.marks) }

// Dropped returns how many marks were dropped because there were too many.
func (s *Set) Dropped() uint64 { return s.dropped }

// verdict tells what may be done with the request that m is about.
func (m Mark) verdict() Verdict {
	switch n := m.Standing(); {
	case n == 0:
		return Clear
	case n < refuseAt:
		return Alone
	}
	return Refuse
}

// note adds an incident.
func (s *Set) note(now time.Time, fp Fingerprint, i Incident) Mark {
	lifetime := s.Lifetime
	if lifetime == 0 {
		lifetime = DefaultLifetime
	}
	m := s.mark(now, fp).WithIncident(i, now.Add(lifetime).UnixMilli())
	s.put(m)
	return m
}

// mark returns the mark of fp, an empty one if there is none in force.
func (s *Set) mark(now time.Time, fp Fingerprint) Mark {
	e, found := s.marks[fp]
	if !found || e.mark.ExpiresMS <= now.UnixMilli() {
		return Mark{Fingerprint: fp}
	}
	return e.mark
}

// put keeps m.
func (s *Set) put(m Mark) {
	if s.marks == nil {
		s.marks = map[Fingerprint]entry{}
	}
	s.changes++
	s.marks[m.Fingerprint] = entry{mark: m, changed: s.changes}
}

// expire removes the marks whose time has passed.
func (s *Set) expire(now time.Time) {
	for fp, e := range s.marks {
		if e.mark.ExpiresMS <= now.UnixMilli() {
			delete(s.marks, fp)
		}
	}
}

// bound removes marks until there are at most MaxMarks: cleared ones first,
// refused ones last, and of those the ones that changed longest ago first.
func (s *Set) bound(now time.Time) {
	most := s.MaxMarks
	if most == 0 {
		most = DefaultMaxMarks
	}
	if len(s.marks) <= most {
		return
	}
	s.expire(now)
	all := make([]entry, 0, len(s.marks))
	for _, e := range s.marks {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b entry) int {
		return cmp.Or(
			cmp.Compare(min(a.mark.Standing(), refuseAt), min(b.mark.Standing(), refuseAt)),
			cmp.Compare(a.changed, b.changed))
	})
	for _, e := range all[:max(0, len(all)-most)] {
		delete(s.marks, e.mark.Fingerprint)
		s.dropped++
	}
}
