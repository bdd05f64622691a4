package route

import (
	"math/rand/v2"
	"time"

	"guavapaddle/core/backend"
	"guavapaddle/core/config"
	"guavapaddle/core/view"
)

// Reason is the reason for a selection, or for selecting no candidate.
type Reason string

const (
	// NameRoundRobin is the name of the policy that picks the holders in turn.
	NameRoundRobin = "round-robin"
	// NameStatic is the name of the policy that picks a random holder, regardless
	// of its load.
	NameStatic = "static"
	// NameDirect is the name of the policy that picks the less loaded of two random
	// holders.
	NameDirect = "direct"
	// NameHome is the name of the policy that picks the holder with the least
	// estimated wait.
	NameHome = "home"
)

const (
	// InTurn means that the server was next in round-robin order.
	InTurn Reason = "in-turn"
	// AtRandom means that the server was selected at random.
	AtRandom Reason = "at-random"
	// OnlyHolder means that no other server is usable.
	OnlyHolder Reason = "only-holder"
	// TwoChoices means that the server is the less loaded of two random ones.
	TwoChoices Reason = "two-choices"
	// Affinity means that the server is likely to have the prefix in its cache.
	Affinity Reason = "prefix-affinity"
	// LeastWait means that the server has the least estimated wait.
	LeastWait Reason = "least-wait"
	// LateAnyway means that no server is estimated to meet the deadline, and this
	// one has the least wait.
	LateAnyway Reason = "late-anyway"
	// NoHolder means that no server holds the item.
	NoHolder Reason = "no-holder"
	// NoneUsable means that all holders are excluded, leaving or unreachable.
	NoneUsable Reason = "none-usable"
)

type (
	// Request holds the properties of a request that a policy considers.
	Request struct {
		Item       backend.Item
		Urgency    config.Urgency
		Deadline   time.Time       // zero for none
		Seconds    float64         // estimated service time in seconds, zero if unknown
		PrefixHash uint64          // zero if the prompt has no known prefix
		Exclude    map[string]bool // servers that must not be picked, by name
	}

	// Candidate is a server that a request may be sent to.
	Candidate struct {
		view.Server
		SameDataCentre bool // the server is in the data centre of the routing node
		OwnInFlight    int  // this node's requests in flight at the server
		OwnRecent      int  // own requests that the view can't include, see Tracker
	}

	// Selection is the result of a pick.
	Selection struct {
		Index  int // of the candidate, -1 if none
		Reason Reason
		WaitMS int64 // estimated wait at the server, in milliseconds
	}

	// Policy picks the candidate to send a request to. Pick returns false, with a
	// reason, if no candidate is usable.
	Policy interface {
		Name() string
		Pick(now time.Time, r Request, cs []Candidate, random *rand.Rand) (Selection, bool)
	}

	// UnknownPolicyError is returned by New for a name that no policy has.
	UnknownPolicyError struct{ Name string }
)

// Error names the unknown policy.
func (e *UnknownPolicyError) Error() string { return "route: no policy named " + e.Name }

// Names returns the policy names that New accepts.
func Names() []string { return []string{NameRoundRobin, NameStatic, NameDirect, NameHome} }

// New returns the policy with the given name and its default settings, or an
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

// usable reports whether r may be sent to c.
func usable(r Request, c *Candidate) bool {
	return c.Reachable && !c.Leaving && !r.Exclude[c.Server.Server] && c.Holds(r.Item)
}

// filter appends the indices of the usable candidates to buf and returns it.
func filter(r Request, cs []Candidate, buf []int) []int {
	for i := range cs {
		if usable(r, &cs[i]) {
			buf = append(buf, i)
		}
	}
	return buf
}

// noSelection returns the selection for the case that no candidate is usable.
func noSelection(r Request, cs []Candidate) (Selection, bool) {
	for i := range cs {
		if cs[i].Holds(r.Item) {
			return Selection{Index: -1, Reason: NoneUsable}, false
		}
	}
	return Selection{Index: -1, Reason: NoHolder}, false
}
