package poison

import (
	"slices"
	"time"
)

const (
	// maxResponses bounds the sound responses of a service that a Tracker keeps, of those to any request, and responseInterval is the time
	// between two of them. They reach back for longer than an outage lasts.
	maxResponses     = 1024
	responseInterval = 100 * time.Millisecond
)

// NoResponse states that the reporting node observes the responses of a service, of which none may have been sound yet.
func NoResponse(service string) Sound {
	return Sound{Service: service, Part: AnyRequest, Age: crashRetention}
}

// mayBeOutage reports whether servers of a service may have ended at the given times, in their order, whatever was in flight: the nodes report its
// sound responses, and these don't separate minCrashes of the crashes.
func (t *Tracker) mayBeOutage(service string, crashes []time.Time) bool {
	if _, reported := t.responses[service]; !reported {
		return false
	}
	separate := 1
	for i := 1; i < len(crashes); i++ {
		if t.respondedBetween(service, crashes[i-1], crashes[i]) {
			separate++
		}
	}
	return separate < minCrashes
}

// respondedBetween reports whether a sound response of a service is known to have begun between two times.
func (t *Tracker) respondedBetween(service string, from, to time.Time) bool {
	list := t.responses[service]
	i, _ := slices.BinarySearchFunc(list, from, time.Time.Compare)
	return i < len(list) && list[i].Before(to)
}

// hasOthers reports whether requests without a part were in flight at crashes of a service between two times. Where only copies of one request
// come, no responses to others can show that the servers live without it.
func (t *Tracker) hasOthers(p Part, service string, first, last time.Time) bool {
	return slices.ContainsFunc(t.crashes, func(c *crash) bool {
		return c.service == service && !c.at.Before(first) && !c.at.After(last) &&
			slices.ContainsFunc(c.requests, func(r Request) bool { return !slices.Contains(r.Parts, p) })
	})
}

// addResponse adds a sound response to any request of a service.
func (t *Tracker) addResponse(now time.Time, s Sound) {
	if t.responses == nil {
		t.responses = map[string][]time.Time{}
	}
	list := t.responses[s.Service]
	if s.Age >= crashRetention {
		t.responses[s.Service] = list
		return
	}
	at := now.Add(-s.Age)
	i, _ := slices.BinarySearchFunc(list, at, time.Time.Compare)
	if i > 0 && at.Sub(list[i-1]) < responseInterval || i < len(list) && list[i].Sub(at) < responseInterval {
		return
	}
	list = slices.Insert(list, i, at)
	t.responses[s.Service] = list[max(0, len(list)-maxResponses):]
	if n := len(t.crashes); n > 0 && at.Before(t.crashes[n-1].at) {
		t.stale = true
	}
}
