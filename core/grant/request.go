package grant

import (
	"time"

	"guavapaddle/core/balance"
	"guavapaddle/core/turns"
)

type (
	// Class is how a request competes with the others of its service.
	Class int

	// Request is a request that waits for a grant.
	Request struct {
		ID          uint64
		ArrivedAt   time.Time // when it first arrived; a request that is enqueued again keeps its turn
		Pick        balance.Request
		Priority    int  // 0 is the most urgent
		OverShare   bool // its team is over its fair share of its quota, so others of the same priority go first
		Class       Class
		Team        string        // empty if the deployment has no teams
		Copy        string        // identifies the request among attempts of the same client, empty if unknown
		Patience    time.Duration // longest retry delay that the client honours
		TargetStart time.Time     // when it should have started; a deferrable one is due from then on
		Deadline    time.Time     // when it must have started, or is refused

		overUsual bool           // exceeds the share of its team
		turn      turns.Standing // of a request that was refused before
	}

	// Decision is a grant or a refusal, which ends the wait of a request.
	Decision struct {
		ID         uint64
		Granted    bool
		Selection  balance.Selection
		Reason     balance.Reason // reason of a refusal
		RetryAfter time.Duration  // delay after which a refused client may retry
		Promised   bool           // a turn is kept for the client then
		Turn       turns.Standing // what an earlier promise was worth
		// Reserve is the number of slots that a deferrable request had to leave free at the server, or for a refusal
		// at the server where it was the fewest. It is 0 for other requests.
		Reserve float64
		// OverUsual reports whether the request exceeded its team's usual rate, and so waited behind others.
		OverUsual bool
	}
)

const (
	// Ordinary requests belong to a service without deferrable routes. They are scheduled by priority and arrival.
	Ordinary Class = iota
	// Urgent requests share their service with deferrable ones, but aren't deferrable.
	Urgent
	// Deferrable requests may start seconds later without being late.
	Deferrable
)

// String returns the class as logs and metrics name it.
func (c Class) String() string {
	switch c {
	case Urgent:
		return "urgent"
	case Deferrable:
		return "deferrable"
	default:
		return "ordinary"
	}
}
