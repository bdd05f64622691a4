package path

import (
	"maps"
	"time"
)

const (
	// ProbeInterval is the time between two attempts of this node to reach a lost server itself.
	ProbeInterval = 500 * time.Millisecond
	// minFailed is the number of servers that must have failed before the cause may be this node's path. One
	// server alone, such as the only one of a service, fails by itself.
	minFailed = 2
	// missedTTL is how long peers aren't asked again for a server that none of them reached.
	missedTTL = time.Second
	// failureTTL is how long a failed attempt is remembered that nothing has confirmed or refuted since.
	failureTTL = 30 * time.Second
)

const (
	// Opened means that this node opened a connection.
	Opened Outcome = iota
	// Refused means that the connection was refused or reset. Those opened earlier may live on.
	Refused
	// TimedOut means that there was no response. Connections opened earlier may deliver nothing either.
	TimedOut
)

type (
	// Outcome is how an attempt of this node to open a connection ended.
	Outcome int

	// Plan is how to open a connection to a server.
	Plan struct {
		ThroughPeer bool // through another node first
		Probe       bool // this node should also try itself
	}

	// Tracker keeps what is known of this node's paths to the servers. The zero value is ready to use. It is
	// not safe for concurrent use.
	Tracker struct {
		failed      map[string]*failure // servers to which this node's last attempt failed, by address
		sinceOpened map[string]bool     // those that failed since this node last opened a connection to any server
		reached     [2]reached          // the last servers to which this node opened a connection, the latest first
		isolated    bool
		probedAt    time.Time // last probe while isolated
	}

	// reached is a server to which this node opened a connection.
	reached struct {
		address string
		at      time.Time
	}

	// failure describes a server to which this node's last attempt failed.
	failure struct {
		at       time.Time
		outcome  Outcome
		lost     bool      // another node reached the server since
		missedAt time.Time // when no other node reached it
		probedAt time.Time
	}
)

// Plan returns how to open a connection to the server with an address.
func (t *Tracker) Plan(now time.Time, address string) Plan {
	f := t.failed[address]
	if !t.isolated && (f == nil || !f.lost) {
		return Plan{}
	}
	last := &t.probedAt
	if !t.isolated {
		last = &f.probedAt
	}
	p := Plan{ThroughPeer: true, Probe: now.Sub(*last) >= ProbeInterval}
	if p.Probe {
		*last = now
	}
	return p
}

// RecordOwn records an attempt of this node to open a connection to a server.
func (t *Tracker) RecordOwn(now time.Time, address string, o Outcome) {
	if o == Opened {
		if t.reached[0].address != address {
			t.reached[1] = t.reached[0]
		}
		t.reached[0] = reached{address, now}
		delete(t.failed, address)
		clear(t.sinceOpened)
		t.isolated = false
		return
	}
	if t.failed == nil {
		t.failed, t.sinceOpened = map[string]*failure{}, map[string]bool{}
	}
	maps.DeleteFunc(t.failed, func(_ string, f *failure) bool { return now.Sub(f.at) > failureTTL })
	maps.DeleteFunc(t.sinceOpened, func(address string, _ bool) bool { return t.failed[address] == nil })
	t.sinceOpened[address] = true
	f := t.failed[address]
	if f == nil {
		f = &failure{probedAt: now}
		t.failed[address] = f
	}
	f.at, f.outcome = now, o
}

// Other returns a server that this node has reached, other than the one with an address, and whether it reached that since a
// time. The address is empty if there is none.
func (t *Tracker) Other(address string, since time.Time) (other string, reachedSince bool) {
	r := t.reached[0]
	if r.address == address {
		r = t.reached[1]
	}
	return r.address, r.address != "" && !r.at.Before(since)
}

// RecordThroughPeer records that another node opened a connection to a server that this node failed to
// reach, or failed as well. It reports whether this node is isolated by that.
func (t *Tracker) RecordThroughPeer(now time.Time, address string, opened bool) bool {
	f := t.failed[address]
	if f == nil {
		return false
	}
	if f.lost = opened; !opened {
		f.missedAt = now
	}
	if !opened || t.isolated || !t.Suspect() {
		return false
	}
	t.isolated, t.probedAt = true, now
	return true
}

// MissedByPeers reports whether other nodes recently failed to reach a server too, so that they need not be asked again.
func (t *Tracker) MissedByPeers(now time.Time, address string) bool {
	f := t.failed[address]
	return f != nil && !f.missedAt.IsZero() && now.Sub(f.missedAt) < missedTTL
}

// MaxMisses returns how many other nodes must fail to reach a server before it counts as failed. One of them may have lost
// its own path without having noticed. While only this server has failed, and only after a timeout, one is enough:
// each may need as long again.
func (t *Tracker) MaxMisses(address string) int {
	if t.Hanging(address) && !t.Suspect() {
		return 1
	}
	return 2
}

// Suspect reports whether connections to several servers failed since this node last opened one, so that a
// failed connection doesn't show that its server has failed.
func (t *Tracker) Suspect() bool { return len(t.sinceOpened) >= minFailed }

// Isolated reports whether this node has lost its path to all servers.
func (t *Tracker) Isolated() bool { return t.isolated }

// Failed returns the number of servers that failed since this node last opened a connection to any.
func (t *Tracker) Failed() int { return len(t.sinceOpened) }

// Hanging reports whether connections to a server that were opened earlier may deliver nothing.
func (t *Tracker) Hanging(address string) bool {
	f := t.failed[address]
	return f != nil && f.outcome == TimedOut
}

// AllHanging reports whether this node is isolated and connections to any server that were opened earlier may
// deliver nothing.
func (t *Tracker) AllHanging() bool {
	if !t.isolated {
		return false
	}
	for address := range t.sinceOpened {
		if t.Hanging(address) {
			return true
		}
	}
	return false
}
