package suspect

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
)

const fingerprintBytes = 16

type (
	// Fingerprint identifies a request by its team, model and body.
	Fingerprint string

	// Incident is a crash of a server, or a trial whose result is not known.
	Incident struct {
		Server string `json:"server"`
		BootID string `json:"boot-id,omitempty"` // boot of the server that crashed
		Trial  string `json:"trial,omitempty"`   // attempt id, for a trial
	}

	// Mark is the suspicion mark of a fingerprint. It is immutable.
	Mark struct {
		Fingerprint Fingerprint `json:"fingerprint"`
		Incidents   []Incident  `json:"incidents,omitempty"` // sorted, without duplicates
		Cleared     []Incident  `json:"cleared,omitempty"`   // sorted, without duplicates
		ExpiresMS   int64       `json:"expires-ms"`          // milliseconds since 1970
	}
)

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(team, model string, body []byte) Fingerprint {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%d:%s%d:%s", len(team), team, len(model), model) // writes to a hash never fail
	_, _ = h.Write(body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// OpenIncidents returns the number of incidents that are not cleared.
func (m Mark) OpenIncidents() int {
	n := 0
	for _, i := range m.Incidents {
		if !contains(m.Cleared, i) {
			n++
		}
	}
	return n
}

// OnTrial reports whether a trial is charged whose result is not known.
func (m Mark) OnTrial() bool {
	for _, i := range m.Incidents {
		if i.Trial != "" && !contains(m.Cleared, i) {
			return true
		}
	}
	return false
}

// WithIncident returns m with the incident added.
func (m Mark) WithIncident(i Incident, expiresMS int64) Mark {
	m.Incidents = union(m.Incidents, []Incident{i})
	m.ExpiresMS = max(m.ExpiresMS, expiresMS)
	return m
}

// WithCleared returns m with the given incidents cleared.
func (m Mark) WithCleared(incidents ...Incident) Mark {
	m.Cleared = union(m.Cleared, incidents)
	return m
}

// Merge returns the union of m and o.
func (m Mark) Merge(o Mark) Mark {
	return Mark{
		Fingerprint: m.Fingerprint,
		Incidents:   union(m.Incidents, o.Incidents),
		Cleared:     union(m.Cleared, o.Cleared),
		ExpiresMS:   max(m.ExpiresMS, o.ExpiresMS),
	}
}

// Equal reports whether m and o have the same contents.
func (m Mark) Equal(o Mark) bool {
	return m.Fingerprint == o.Fingerprint && m.ExpiresMS == o.ExpiresMS &&
		slices.Equal(m.Incidents, o.Incidents) && slices.Equal(m.Cleared, o.Cleared)
}

// compare orders incidents by server, boot id and trial.
func compare(a, b Incident) int {
	if c := strings.Compare(a.Server, b.Server); c != 0 {
		return c
	}
	if c := strings.Compare(a.BootID, b.BootID); c != 0 {
		return c
	}
	return strings.Compare(a.Trial, b.Trial)
}

// contains reports whether the sorted slice contains i.
func contains(sorted []Incident, i Incident) bool {
	_, found := slices.BinarySearchFunc(sorted, i, compare)
	return found
}

// union returns the sorted union of a and b in a new slice.
func union(a, b []Incident) []Incident {
	if len(a)+len(b) == 0 {
		return nil
	}
	out := make([]Incident, 0, len(a)+len(b))
	out = append(append(out, a...), b...)
	slices.SortFunc(out, compare)
	return slices.Compact(out)
}
