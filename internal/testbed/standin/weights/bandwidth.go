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
func (b *bandwidth) advance(now time.Time) {
	for b.updatedAt.Before(now) && len(b.loads) > 0 {
		least, speed := b.leastRemaining(), b.speed()
		end := b.updatedAt.Add(timeFor(least, speed))
		if end.After(now) {
			b.progress(time.Duration(float64(now.Sub(b.updatedAt)) * speed))
			b.updatedAt = now
			return
		}
		b.progress(least)
		b.updatedAt = end
	}
	b.updatedAt = latest(b.updatedAt, now)
}

// add starts a load that takes the duration work at full speed.
func (b *bandwidth) add(now time.Time, work time.Duration) *load {
	b.advance(now)
	l := &load{remaining: work, done: make(chan struct{})}
	b.loads[l] = struct{}{}
	return l
}

// remove removes a load that was cancelled.
func (b *bandwidth) remove(now time.Time, l *load) {
	b.advance(now)
	delete(b.loads, l)
}

// next returns when the next load completes if no load is added or removed, and
// false if no load is running.
func (b *bandwidth) next() (time.Time, bool) {
	if len(b.loads) == 0 {
		return time.Time{}, false
	}
	return b.updatedAt.Add(timeFor(b.leastRemaining(), b.speed())), true
}

// speed returns the speed of each load, 1 for full speed.
func (b *bandwidth) speed() float64 {
	if n := len(b.loads); n > b.fullSpeed {
		return float64(b.fullSpeed) / float64(n)
	}
	return 1
}

// leastRemaining returns the remaining work of the load that has the least, or zero
// if there are no loads.
func (b *bandwidth) leastRemaining() time.Duration {
	least := time.Duration(-1)
	for l := range b.loads {
		if least < 0 || l.remaining < least {
			least = l.remaining
		}
	}
	return max(least, 0)
}

// progress reduces the remaining work of each load by d and completes the loads that
// have none left.
func (b *bandwidth) progress(d time.Duration) {
	for l := range b.loads {
		l.remaining -= d
		if l.remaining <= 0 {
			close(l.done)
			delete(b.loads, l)
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
