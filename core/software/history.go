package software

import (
	"maps"
	"slices"
	"time"

	"guavapaddle/core/fleet"
)

// Retention is how long a version is remembered after its last server has left, and a stream after it has begun. Clients
// wait up to 30 s for a stream.
const Retention = time.Minute

type (
	// History holds the versions that have served, by service. The zero value is empty.
	History struct {
		seen    map[string]map[string]time.Time // when a version was last known to be in service
		current map[string]map[string]bool      // versions that are in service now
	}

	// Ages holds how many milliseconds ago each version was last in service, by service.
	Ages map[string]map[string]int64
)

// Observe records that the listed servers are in service, until it is called again. Those of the list before were until now.
func (h *History) Observe(now time.Time, list []fleet.Server) {
	for service, versions := range h.current {
		for v := range versions {
			h.add(service, v, now)
		}
	}
	h.current = map[string]map[string]bool{}
	for _, s := range list {
		if h.current[s.Service] == nil {
			h.current[s.Service] = map[string]bool{}
		}
		h.current[s.Service][s.Software] = true
		h.add(s.Service, s.Software, now)
	}
}

// Inherit records what another node knows.
func (h *History) Inherit(now time.Time, a Ages) {
	for service, versions := range a {
		for v, ms := range versions {
			h.add(service, v, now.Add(-time.Duration(ms)*time.Millisecond))
		}
	}
}

// add records that a version was in service.
func (h *History) add(service, version string, at time.Time) {
	if h.seen == nil {
		h.seen = map[string]map[string]time.Time{}
	}
	if h.seen[service] == nil {
		h.seen[service] = map[string]time.Time{}
	}
	if at.After(h.seen[service][version]) {
		h.seen[service][version] = at
	}
}

// Ages returns what this history holds, for another node.
func (h *History) Ages(now time.Time) Ages {
	out := Ages{}
	for service := range h.seen {
		for _, v := range h.Versions(now, service) {
			if out[service] == nil {
				out[service] = map[string]int64{}
			}
			out[service][v] = 0
			if !h.current[service][v] {
				out[service][v] = max(0, now.Sub(h.seen[service][v]).Milliseconds())
			}
		}
	}
	return out
}

// HasMore reports whether a has a version of a service that b lacks.
func (a Ages) HasMore(b Ages) bool {
	for service, versions := range a {
		for v := range versions {
			if _, ok := b[service][v]; !ok {
				return true
			}
		}
	}
	return false
}

// Versions returns the versions of a service that have served within Retention, sorted.
func (h *History) Versions(now time.Time, service string) []string {
	versions := h.seen[service]
	maps.DeleteFunc(versions, func(v string, at time.Time) bool { return !h.current[service][v] && now.Sub(at) > Retention })
	return slices.Sorted(maps.Keys(versions))
}

// Only returns the version of a service that is the only one that has served within Retention, and whether there is one.
func (h *History) Only(now time.Time, service string) (string, bool) {
	list := h.Versions(now, service)
	if len(list) != 1 {
		return "", false
	}
	return list[0], true
}

// Mixed returns the services of which several versions have served within Retention, sorted.
func (h *History) Mixed(now time.Time) []string {
	var out []string
	for service := range h.seen {
		if len(h.Versions(now, service)) > 1 {
			out = append(out, service)
		}
	}
	slices.Sort(out)
	return out
}
