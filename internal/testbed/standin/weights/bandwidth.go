package weights

import "time"

type (
	// bandwidth divides the store's speed equally among the running loads. It does
	// not read a clock: times are passed as arguments.
	bandwidth struct {
		fullSpeed int // number of concurrent loads that run at full speed
		loads     map[*load]struct{}
		updatedAt time.Time // time of the last advance
	}

	// load is a running load.
	load struct {
		remaining time.Duration // remaining duration at full speed
		done      chan struct{} // closed when the load is complete
	}
)

// advance applies the progress of all loads up to now and completes the loads that
// have no work left.
func (s *bandwidth) advance(now time.Time) {
	for s.updatedAt.Before(now) && len(s.loads) > 0 {
		least, speed := s.leastRemaining(), s.speed()
		end := s.updatedAt.Add(timeFor(least, speed))
		if end.After(now) {
			s.progress(time.Duration(float64(now.Sub(s.updatedAt)) * speed))
			s.updatedAt = now
			return
		}
		s.progress(least)
		s.updatedAt = end
	}
	s.updatedAt = latest(s.updatedAt, now)
}

// add starts a load that takes the duration work at full speed.
func (s *bandwidth) add(now time.Time, work time.Duration) *load {
	s.advance(now)
	l := &load{remaining: work, done: make(chan struct{})}
	s.loads[l] = struct{}{}
	return l
}

// remove removes a load that was cancelled.
func (s *bandwidth) remove(now time.Time, l *load) {
	s.advance(now)
	delete(s.loads, l)
}

// next returns when the next load completes if no load is added or removed, and
// false if no load is running.
func (s *bandwidth) next() (time.Time, bool) {
	if len(s.loads) == 0 {
		return time.Time{}, false
	}
	return s.updatedAt.Add(timeFor(s.leastRemaining(), s.speed())), true
}

// speed returns the speed of each load, 1 for full speed.
func (s *bandwidth) speed() float64 {
	if n := len(s.loads); n > s.fullSpeed {
		return float64(s.fullSpeed) / float64(n)
	}
	return 1
}

// leastRemaining returns the remaining work of the load that has the least, or zero
// if there are no loads.
func (s *bandwidth) leastRemaining() time.Duration {
	least := time.Duration(-1)
	for l := range s.loads {
		if least < 0 || l.remaining < least {
			least = l.remaining
		}
	}
	return max(least, 0)
}

// progress reduces the remaining work of each load by d and completes the loads that
// have none left.
func (s *bandwidth) progress(d time.Duration) {
	for l := range s.loads {
		l.remaining -= d
		if l.remaining <= 0 {
			close(l.done)
			delete(s.loads, l)
		}
	}
}

// timeFor returns how long work takes at the given speed, rounded up.
func timeFor(work time.Duration, speed float64) time.Duration {
	return time.Duration(float64(work)/speed) + 1
}

// latest returns the later of a and b.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
