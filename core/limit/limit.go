package limit

import (
	"time"

	"guavapaddle/core/config"
)

const (
	// DefaultWindow is the time over which use is measured.
	DefaultWindow = 10 * time.Second
	// DefaultNormalPart is the part of the capacity up to which normal work is
	// taken on.
	DefaultNormalPart = 0.95
	// DefaultDeferrablePart is the part of the capacity up to which deferrable
	// work is taken on.
	DefaultDeferrablePart = 0.8
	// MinRetryAfter is the least time after which a refused caller may come back.
	MinRetryAfter = 100 * time.Millisecond
	// MaxRetryAfter is the longest time after which a refused caller may come back.
	MaxRetryAfter = 30 * time.Second
)

type (
	// Policy takes requests on or refuses them.
	Policy interface {
		// Admit tells whether a request of team is taken on at now, and if
		// not, when its caller may come back.
		Admit(now time.Time, team config.Team, kind config.Kind, estimate float64) (Reservation, bool, time.Duration)
		// Settle replaces the units that r reserved by the actual ones. It does
		// nothing for a reservation that is settled already.
		Settle(now time.Time, r Reservation, actual float64)
	}

	// Reservation is the hold of an admitted request on its team's share.
	Reservation struct {
		id    uint64
		team  string
		kind  string
		units float64
	}

	// Rule bounds the use of one team and kind, whatever the capacity.
	Rule struct {
		Team string  `json:"team"` // "*" for each team on its own
		Kind string  `json:"kind"` // "*" for all kinds together
		Rate float64 `json:"rate"` // units a second
	}

	// Settings are the settings of a policy. Capacity zero means no limit but
	// the rules.
	Settings struct {
		Capacity       float64       // units a second of this node
		Window         time.Duration // DefaultWindow if zero
		NormalPart     float64       // DefaultNormalPart if zero
		DeferrablePart float64       // DefaultDeferrablePart if zero
		Rules          []Rule
	}
)

// Units returns the units that r holds until it is settled.
func (r Reservation) Units() float64 { return r.units }

// part returns the part of the capacity that work of urgency u may fill.
func (s Settings) part(u config.Urgency) float64 {
	switch u {
	case config.Urgent:
		return 1
	case config.Deferrable:
		return or(s.DeferrablePart, DefaultDeferrablePart)
	}
	return or(s.NormalPart, DefaultNormalPart)
}

// window returns the window in seconds.
func (s Settings) window() float64 {
	if s.Window == 0 {
		return DefaultWindow.Seconds()
	}
	return s.Window.Seconds()
}

// or returns v, or d if v is zero.
func or(v, d float64) float64 {
	if v == 0 {
		return d
	}
	return v
}
