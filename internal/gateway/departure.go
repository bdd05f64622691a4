package gateway

// Stages of requests whose clients left, which the log and a counter name.
const (
	departedUnsent     departureStage = "unsent"     // no server had got the request
	departedSent       departureStage = "sent"       // a server had, and hadn't responded
	departedResponding departureStage = "responding" // a part of the response had come
)

// departureStage is how far a request had come when its client left.
type departureStage string

// departureStage returns how far the request had come when its client left, empty if it didn't leave.
func (r *request) departureStage() departureStage {
	switch {
	case r.outcome.reason != ClientLeft:
		return ""
	case r.responseBegun:
		return departedResponding
	case r.sends > 0:
		return departedSent
	}
	return departedUnsent
}
