package gateway

import (
	"slices"
	"time"

	"guavapaddle/core/poison"
)

const (
	// leaveWindow is how long before a server's crash a request may have ended here, since its client left, and still be the cause: a
	// server may run a request whose connection is closed, after those before it.
	leaveWindow = 2 * time.Second
	// lapseWindow is the same for a crash that is noticed late. The entry of a server lapses after three heartbeats, and requests to a
	// silent one end at their deadlines.
	lapseWindow = 8 * time.Second
)

type (
	// sentRequest is a request that was sent to a server and may crash it.
	sentRequest struct {
		service string
		parts   []poison.Part
		sent    time.Time
		began   time.Time // when the first byte of a stream, or the header of a plain response, came; zero before
		ended   time.Time // when this node gave it up, or lost its connection; zero before
	}

	// sentRequests holds the requests to each incarnation of a server that may crash it: those in flight whose response isn't known to be sound, and those
	// that ended without a response lately.
	sentRequests struct {
		byServer map[string][]*sentRequest
		prunedAt time.Time
	}
)

// add adds a request to a server.
func (s *sentRequests) add(server string, r *sentRequest) {
	if s.byServer == nil {
		s.byServer = map[string][]*sentRequest{}
	}
	s.byServer[server] = append(s.byServer[server], r)
}

// remove removes a request which can't crash the server any more.
func (s *sentRequests) remove(server string, r *sentRequest) {
	list := slices.DeleteFunc(s.byServer[server], func(o *sentRequest) bool { return o == r })
	s.set(server, list)
}

func (s *sentRequests) set(server string, list []*sentRequest) {
	if len(list) == 0 {
		delete(s.byServer, server)
		return
	}
	s.byServer[server] = list
}

// prune removes the requests that ended too long ago to be the cause of a crash that is noticed now.
func (s *sentRequests) prune(now time.Time) {
	if now.Sub(s.prunedAt) < time.Second {
		return
	}
	s.prunedAt = now
	for server, list := range s.byServer {
		s.set(server, slices.DeleteFunc(list, func(r *sentRequest) bool {
			return !r.ended.IsZero() && now.Sub(r.ended) > lapseWindow+lapseConfirmTime
		}))
	}
}

// take removes all requests to a server that crashed at a time, and returns those that may be the cause.
func (s *sentRequests) take(server string, at time.Time, late bool) []poison.Request {
	window := leaveWindow
	if late {
		window = lapseWindow
	}
	var out []poison.Request
	for _, r := range s.byServer[server] {
		if r.mayCrash(at, window) && len(out) < maxCrashRequests {
			out = append(out, poison.Request{Parts: r.parts, Before: at.Sub(r.sent)})
		}
	}
	delete(s.byServer, server)
	return out
}

// mayCrash reports whether the request may have crashed its server at a time. It may have ended here up to a window before.
func (r *sentRequest) mayCrash(at time.Time, window time.Duration) bool {
	if r.sent.After(at) || !r.began.IsZero() && at.Sub(r.began) >= poison.BeginTime {
		return false
	}
	return r.ended.IsZero() || at.Sub(r.ended) <= window
}
