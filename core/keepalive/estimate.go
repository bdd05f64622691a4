package keepalive

import (
	"strconv"
	"strings"
	"time"
)

const (
	// OnceShare is the share of the time for which a connection is kept in which it may be used for requests that must not run twice.
	OnceShare = 0.5
	// defaultLimit is how long an idle connection is kept at most if the server states no time.
	defaultLimit = 4 * time.Second
	// minLimit is the least that is learned.
	minLimit = 50 * time.Millisecond
	// margin is the part of a stated time in which a connection isn't used: a request may arrive as the server closes it.
	margin = 700 * time.Millisecond
	// growth is by how much the time grows when a connection that was idle for most of it was found open, and cut the part of the idle
	// time at which a server was found to have closed a connection that is learned.
	growth, cut = 1.25, 0.5
	// most is the part of the time from which an idle connection counts as evidence for a longer one.
	most = 0.5
)

// Estimate is what was learned of a server that doesn't state how long it keeps idle connections. The zero value has no evidence.
type Estimate struct{ limit time.Duration }

// Limit returns how long an idle connection may be used.
func (e Estimate) Limit() time.Duration {
	if e.limit == 0 {
		return defaultLimit
	}
	return e.limit
}

// WithClosed returns the estimate after the server was found to have closed a connection that had been idle for a time.
func (e Estimate) WithClosed(idle time.Duration) Estimate {
	return Estimate{max(minLimit, min(e.Limit(), time.Duration(float64(idle)*cut)))}
}

// WithOpen returns the estimate after a connection that had been idle for a time was found open.
func (e Estimate) WithOpen(idle time.Duration) Estimate {
	if e.limit == 0 || float64(idle) < most*float64(e.limit) {
		return e
	}
	return Estimate{min(defaultLimit, time.Duration(float64(e.limit)*growth))}
}

// Stated returns how long an idle connection may be used according to the value of a Keep-Alive header (RFC 2068, section 19.7.1.1:
// timeout in whole seconds), and false if it states no time.
func Stated(header string) (time.Duration, bool) {
	for param := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(param), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds)*time.Second - margin, true
		}
	}
	return 0, false
}
