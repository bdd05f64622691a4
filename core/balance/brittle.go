package balance

import "time"

const (
	// brittleTTL is how long a server counts as brittle for its service after its last answer. All servers of a
	// service are brittle at the same time, and say so in each answer.
	brittleTTL = 5 * time.Second
	// brittleAvoid is how long a brittle server gets no requests after it has rejected one, for each node that
	// picks servers by itself: its limit applies to the rejections of a second.
	brittleAvoid = time.Second
	// brittleSpread bounds the random factor on brittleAvoid, so that nodes don't return together.
	brittleSpread = 1.5
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

// isBrittle reports whether the server's last answer announced that it is brittle.
func (s *server) isBrittle() bool { return s.throttle.Limit().Brittle }

// brittleShare returns how many requests this node may have at a brittle server if no scheduler counts those of all
// nodes: its share of the slots, and at least one.
func (p *Picker) brittleShare(s *server) int { return max(1, s.Slots/max(1, p.nodes)) }

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
