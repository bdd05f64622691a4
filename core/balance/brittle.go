package balance

import "time"

const (
	// brittleTTL is how long a server counts as brittle for its service after its last answer. All servers of a
	// service are brittle at the same time and announce it in each answer, but a node that refuses requests gets few answers.
	brittleTTL = 30 * time.Second
	// brittleAvoid is how long a brittle server gets no requests after it has rejected one, for each node that
	// picks servers by itself: its limit applies to the rejections of a second.
	brittleAvoid = 2 * time.Second
	// brittleSpread bounds the random factor on brittleAvoid, so that nodes don't return together.
	brittleSpread = 1.5
	// maxReportedLoad is the fraction of its slots up to which a brittle server may report to be in use for nodes to
	// send it requests by themselves. Several may do so at once before its next report.
	maxReportedLoad = 0.5
	// unscheduledRejections is the fraction of the rejections that a brittle server bears which may come from nodes that
	// pick on their own. Their requests come at random, and several may fall into one second.
	unscheduledRejections = 0.25
	// minUnscheduledRate is the least rate, in requests per second from all nodes that pick on their own, for a brittle server
	// that bears no rejections.
	minUnscheduledRate = 0.25
)

// IsBrittle reports whether the servers of a service have recently announced that they fail if they have to reject too
// many requests. Requests to them start only where a scheduler that counts the requests of all nodes has found room.
func (p *Picker) IsBrittle(now time.Time, service string) bool {
	for _, s := range p.byService[service] {
		if s.isBrittle() && now.Sub(s.throttle.Limit().At) < brittleTTL {
			return true
		}
	}
	return false
}

// NeedsGrants reports whether requests to the plain service start only where a scheduler that counts the requests of all nodes
// has found room: its servers are brittle or name rates. Nodes that share a rate evenly would use it only as far as they get
// even shares of the requests.
func (p *Picker) NeedsGrants(now time.Time, service string) bool {
	for _, s := range p.byService[service] {
		if s.throttle.Limit().Active {
			return true
		}
	}
	return p.IsBrittle(now, service)
}

// isBrittle reports whether the server's last answer announced that it is brittle.
func (s *server) isBrittle() bool { return s.throttle.Limit().Brittle }

// usableSlots returns the number of slots that a scheduler may grant at a server. A deputy grants the same fraction of
// a brittle server's slots as of the rates that servers name.
func (p *Picker) usableSlots(s *server) float64 {
	if s.isBrittle() {
		return p.rateFraction * float64(s.Slots)
	}
	return float64(s.Slots)
}

// hasLocalRoom reports whether this node may send a request to a brittle server though no scheduler counts the requests of
// all nodes. Another node's scheduler may be granting all slots. So a server that doesn't report many free slots gets no
// more requests in a second, from all nodes that pick on their own together, than it bears to reject.
func (p *Picker) hasLocalRoom(now time.Time, s *server) bool {
	nodes := max(1, p.nodes)
	if s.local.Pending+s.local.Running >= max(1, s.Slots/nodes) {
		return false
	}
	taken := s.report.Pending + s.report.Running + s.local.Pending + s.local.Running
	if now.Sub(s.reportAt) < serverReportTTL && float64(taken) <= maxReportedLoad*float64(s.Slots) {
		return true
	}
	return !now.Before(s.nextUnscheduled)
}

// unscheduledPeriod returns the mean time between two requests of this node to a brittle server that no scheduler has
// granted.
func (p *Picker) unscheduledPeriod(s *server) time.Duration {
	perSecond := max(minUnscheduledRate, unscheduledRejections*float64(s.throttle.Limit().MaxRejections))
	return time.Duration(float64(max(1, p.nodes)) / perSecond * float64(time.Second))
}

// delayUnscheduled sets when this node may send the next such request to a brittle server, at random, so that nodes
// don't send them together.
func (p *Picker) delayUnscheduled(now time.Time, s *server) {
	if s.isBrittle() {
		s.nextUnscheduled = now.Add(time.Duration(p.rng.ExpFloat64() * float64(p.unscheduledPeriod(s))))
	}
}

// avoidAfterRejection returns how long a server gets no requests after it has rejected one. Nodes that pick on their own
// share the rejections that a brittle server bears in a second.
func (p *Picker) avoidAfterRejection(s *server) time.Duration {
	if !s.isBrittle() {
		return fullAvoid
	}
	nodes := float64(max(1, p.nodes)) / float64(max(1, s.throttle.Limit().MaxRejections))
	factor := 1 + (brittleSpread-1)*p.rng.Float64()
	return time.Duration(max(1, nodes) * factor * float64(brittleAvoid))
}
