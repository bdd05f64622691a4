package weights

import "time"

type (
	// share divides the store's speed among the loads that run. It knows no
	// clock: time is an argument.
	share struct {
		full  int // loads that run at full speed
		loads map[*load]struct{}
		last  time.Time // of the last advance
	}

	// load is a load that runs.
	load struct {
		left time.Duration // work left, at full speed
		done chan struct{} // closed at the end
	}
)

// advance does the work of the time up to now and ends loads without work left.
func (s *share) advance(now time.Time) {
	for s.last.Before(now) && len(s.loads) > 0 {
		left, speed := s.shortest(), s.speed()
		end := s.last.Add(stretch(left, speed))
		if end.After(now) {
			s.work(time.Duration(float64(now.Sub(s.last)) * speed))
			s.last = now
			return
		}
		s.work(left)
		s.last = end
	}
	s.last = later(s.last, now)
}

// add starts a load of so much work at full speed.
func (s *share) add(now time.Time, work time.Duration) *load {
	s.advance(now)
	l := &load{left: work, done: make(chan struct{})}
	s.loads[l] = struct{}{}
	return l
}

// remove drops a load that was given up.
func (s *share) remove(now time.Time, l *load) {
	s.advance(now)
	delete(s.loads, l)
}

// next returns when the next load ends if nothing changes; false if none runs.
func (s *share) next() (time.Time, bool) {
	if len(s.loads) == 0 {
		return time.Time{}, false
	}
	return s.last.Add(stretch(s.shortest(), s.speed())), true
}

// speed returns the speed of each load, 1 at full speed.
func (s *share) speed() float64 {
	if n := len(s.loads); n > s.full {
		return float64(s.full) / float64(n)
	}
	return 1
}

// shortest returns the least work left.
func (s *share) shortest() time.Duration {
	least := time.Duration(-1)
	for l := range s.loads {
		if least < 0 || l.left < least {
			least = l.left
		}
	}
	return max(least, 0)
}

// work does d of work on each load.
func (s *share) work(d time.Duration) {
	for l := range s.loads {
		l.left -= d
		if l.left <= 0 {
			close(l.done)
			delete(s.loads, l)
		}
	}
}

// stretch returns how long work takes at a speed, rounded up.
func stretch(work time.Duration, speed float64) time.Duration {
	return time.Duration(float64(work)/speed) + 1
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
