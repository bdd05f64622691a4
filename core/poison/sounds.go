package poison

import (
	"maps"
	"time"
)

// maxSoundParts bounds the parts whose last sound responses a node remembers: this many at least, and twice at most.
const maxSoundParts = 2048

type (
	// Sounds holds when responses to requests with parts last began that were sound, as a node has observed or passes on, and
	// returns those that the hub to which it reports lacks. The zero value is empty.
	Sounds struct {
		recent   map[soundKey]time.Time
		previous map[soundKey]time.Time // older ones
		reported map[soundKey]time.Time // that the hub has
		sending  map[soundKey]time.Time // in the report under way
		hub      uint64                 // that has acknowledged
	}

	soundKey struct {
		service string
		part    Part
	}
)

// Add records that a server of a service began a response at a time to a request with a part, and that it is sound.
func (s *Sounds) Add(service string, p Part, at time.Time) {
	if s.recent == nil || len(s.recent) >= maxSoundParts {
		s.recent, s.previous = map[soundKey]time.Time{}, s.recent
	}
	if key := (soundKey{service, p}); at.After(s.recent[key]) {
		s.recent[key] = at
	}
}

// Unsent returns the last sound responses to the given parts for the next report, to all parts if wanted is nil.
func (s *Sounds) Unsent(now time.Time, wanted map[Part]bool) []Sound {
	s.sending = map[soundKey]time.Time{}
	for _, known := range []map[soundKey]time.Time{s.recent, s.previous} {
		for key, at := range known {
			if (wanted == nil || wanted[key.part]) && at.After(s.sending[key]) && at.After(s.reported[key]) {
				s.sending[key] = at
			}
		}
	}
	var out []Sound
	for key, at := range s.sending {
		out = append(out, Sound{Service: key.service, Part: key.part, Age: now.Sub(at)})
	}
	return out
}

// Acknowledge records that a hub has replied to the report. Another hub than before lacks all.
func (s *Sounds) Acknowledge(hub uint64) {
	if hub != s.hub || len(s.reported) >= maxSoundParts {
		s.hub, s.reported = hub, map[soundKey]time.Time{}
		return
	}
	maps.Copy(s.reported, s.sending)
}
