package route

import (
	"math/rand/v2"
	"time"

	"guavapaddle/core/backend"
	"guavapaddle/core/config"
	"guavapaddle/core/view"
)

// Reason tells why a candidate was chosen, or why none was.
type Reason string

const (
	// NameRoundRobin takes the holders in turn.
	NameRoundRobin = "round-robin"
	// NameStatic takes a random holder, whatever its load.
	NameStatic = "static"
	// NameDirect takes the better of two random holders.
	NameDirect = "direct"
	// NameHome takes the holder with the least estimated wait.
	NameHome = "home"
)

const (
	// InTurn means that it was the server's turn.
	InTurn Reason = "in-turn"
	// AtRandom means that the server was drawn.
	AtRandom Reason = "at-random"
	// OnlyHolder means that no other server could be taken.
	OnlyHolder Reason = "only-holder"
	// TwoChoices means that the server was the less busy of two drawn.
	TwoChoices Reason = "two-choices"
	// Affinity means that the server is likely to have the prefix in its cache.
	Affinity Reason = "prefix-affinity"
	// LeastWait means that the server has the least estimated wait.
	LeastWait Reason = "least-wait"
	// LateAnyway means that no server can meet the deadline by its estimate, and
	// this one has the least wait.
	LateAnyway Reason = "late-anyway"
	// NoHolder means that no server holds the item.
	NoHolder Reason = "no-holder"
	// NoneUsable means that all holders are excluded, leaving or unreachable.
	NoneUsable Reason = "none-usable"
)

type (
	// Request is what a policy has to know of a request.
	Request struct {
		Item       backend.Item
		Urgency    config.Urgency
		Deadline   time.Time       // zero for none
		Seconds    float64         // estimated service time in seconds, zero if unknown
		PrefixHash uint64          // zero if the prompt has no known prefix
		Exclude    map[string]bool // servers not to be taken, by name
	}

	// Candidate is a server that a request may be sent to.
	Candidate struct {
		view.Server
		SameDataCentre bool // as the node that chooses
		OwnInFlight    int  // requests of this node at the server
		OwnRecent      int  // own requests that the view can't include, see Tracker
	}

	// Choice is what a policy decided.
	Choice struct {
		Index  int // of the candidate, -1 if none
		Reason Reason
		WaitMS int64 // estimated wait at the server, milliseconds
	}

	// Policy picks the candidate to send a request to. It returns false, with a
	// reason, if none can be taken.
	Policy interface {
		Name() string
		Pick(now time.Time, r Request, cs []Candidate, random *rand.Rand) (Choice, bool)
	}

	// UnknownPolicyError tells that no policy has the name.
	UnknownPolicyError struct{ Name string }
)

// Error names the unknown policy.
func (e *UnknownPolicyError) Error() string { return "route: no policy named " + e.Name }

// Names returns the names that New knows.
func Names() []string { return []string{NameRoundRobin, NameStatic, NameDirect, NameHome} }

// New returns the policy of a name with its default settings, or an
// *UnknownPolicyError.
func New(name string) (Policy, error) {
	switch name {
	case NameRoundRobin:
		return &RoundRobin{}, nil
	case NameStatic:
		return Static{}, nil
	case NameDirect:
		return &Direct{}, nil
	case NameHome:
		return &Home{}, nil
	default:
		return nil, &UnknownPolicyError{Name: name}
	}
}

// usable tells whether c may be sent r.
func usable(r Request, c *Candidate) bool {
	return c.Reachable && !c.Leaving && !r.Exclude[c.Server.Server] && c.Holds(r.Item)
}

// filter returns the indices of the usable candidates, in buf if it is large
// enough.
func filter(r Request, cs []Candidate, buf []int) []int {
	for i := range cs {
		if usable(r, &cs[i]) {
			buf = append(buf, i)
		}
	}
	return buf
}

// none returns the choice when no candidate is usable.
func none(r Request, cs []Candidate) (Choice, bool) {
	for i := range cs {
		if cs[i].Holds(r.Item) {
			return Choice{Index: -1, Reason: NoneUsable}, false
		}
	}
	return Choice{Index: -1, Reason: NoHolder}, false
}
