package limit

import (
	"time"

	"guavapaddle/core/config"
)

const (
	// DefaultWindow is the time constant over which usage is measured.
	DefaultWindow = 10 * time.Second
	// DefaultNormalFraction is the fraction of the capacity up to which normal work
	// is admitted.
	DefaultNormalFraction = 0.95
	// DefaultDeferrableFraction is the fraction of the capacity up to which
	// deferrable work is admitted.
	DefaultDeferrableFraction = 0.8
	// MinRetryAfter is the minimum retry delay of a refused request.
	MinRetryAfter = 100 * time.Millisecond
	// MaxRetryAfter is the maximum retry delay of a refused request.
	MaxRetryAfter = 30 * time.Second
)

type (
	// Policy admits or refuses requests.
	Policy interface {
		// Admit reports whether a request of team is admitted at the time now.
		// It returns the reservation or, for a refused request, the delay before
		// a retry.
		Admit(now time.Time, team config.Team, kind config.Kind, estimate float64) (Reservation, bool, time.Duration)
		// Settle replaces the units that r reserved by the actual ones. It does
		// nothing if r is already settled.
		Settle(now time.Time, r Reservation, actual float64)
	}

	// Reservation records the units that an admitted request holds of its team's
	// share.
	Reservation struct {
		id    uint64
		team  string
		kind  string
		units float64
	}

	// Rule limits the usage of a team and kind regardless of the capacity.
	Rule struct {
		Team string  `json:"team"` // "*" for each team separately
		Kind string  `json:"kind"` // "*" for all kinds together
		Rate float64 `json:"rate"` // units per second
	}

	// Settings configures a policy. With a Capacity of zero only the rules
	// apply.
	Settings struct {
		Capacity           float64       // of this node, in units per second
		Window             time.Duration // DefaultWindow if zero
		NormalFraction     float64       // DefaultNormalFraction if zero
		DeferrableFraction float64       // DefaultDeferrableFraction if zero
		Rules              []Rule
	}
)

// Units returns the number of units that r holds until it is settled.
func (r Reservation) Units() float64 { return r.units }

// usableFraction returns the fraction of the capacity that is available to work
// of urgency u.
func (s Settings) usableFraction(u config.Urgency) float64 {
	switch u {
	case config.Urgent:
		return 1
	case config.Deferrable:
		return orDefault(s.DeferrableFraction, DefaultDeferrableFraction)
	}
	return orDefault(s.NormalFraction, DefaultNormalFraction)
}

// window returns the window in seconds.
func (s Settings) window() float64 {
	if s.Window == 0 {
		return DefaultWindow.Seconds()
	}
	return s.Window.Seconds()
}

// orDefault returns v, or the default d if v is zero.
func orDefault(v, d float64) float64 {
	if v == 0 {
		return d
	}
	return v
}
