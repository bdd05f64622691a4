package poison

import (
	"slices"
	"time"
)

const (
	// maxLogged bounds the crashes that a Log keeps, counted together with their requests.
	maxLogged = 4096
	// maxReported bounds the same in one report, unless it has only one crash.
	maxReported = 1024
	// maxCrashes bounds the crashes that a Tracker keeps.
	maxCrashes = 64
)

type (
	// Log keeps the crashes that a node has observed or passes on, and returns those that the hub to which it reports lacks.
	// The zero value is empty.
	Log struct {
		list   []logged
		size   int    // crashes in the list and their requests
		last   uint64 // number of the last crash
		hub    uint64 // that has acknowledged
		acked  uint64 // number of the last crash that it has
		unread uint64 // number of the last crash in the report under way
	}

	logged struct {
		Crash

		number uint64
		from   uint64 // hub from which the crash was received, zero if none
		at     time.Time
	}
)

// Add adds a crash. One that is added again is ignored.
func (l *Log) Add(now time.Time, c Crash) { l.add(now, c, 0) }

// AddFrom adds a crash that was received from a hub, and which isn't reported to it again.
func (l *Log) AddFrom(now time.Time, c Crash, hub uint64) { l.add(now, c, hub) }

func (l *Log) add(now time.Time, c Crash, from uint64) {
	if slices.ContainsFunc(l.list, func(o logged) bool { return o.ID == c.ID }) {
		return
	}
	l.last++
	l.list = append(l.list, logged{c, l.last, from, now.Add(-c.Age)})
	l.size += c.size()
	for len(l.list) > 1 && (l.size > maxLogged || now.Sub(l.list[0].at) > crashRetention) {
		l.size -= l.list[0].size()
		l.list = l.list[1:]
	}
}

// size returns the number of requests of the crash, and one for itself.
func (c Crash) size() int { return 1 + len(c.Requests) }

// Unsent returns the crashes for the next report.
func (l *Log) Unsent(now time.Time) []Crash {
	var out []Crash
	out, l.unread = l.After(now, l.acked, l.hub)
	return out
}

// After returns the crashes after the one with a number, but for those that were received from a hub, and the number of the last. The
// next call returns the rest if there are too many.
func (l *Log) After(now time.Time, number, hub uint64) (list []Crash, last uint64) {
	size := 0
	last = number
	for _, c := range l.list {
		if c.number <= number {
			continue
		}
		age := now.Sub(c.at)
		if age <= crashRetention && (c.from == 0 || c.from != hub) {
			if size += c.size(); size > maxReported && len(list) > 0 {
				return list, last
			}
			list = append(list, c.WithAge(age))
		}
		last = c.number
	}
	return list, last
}

// HasUnsent reports whether the hub lacks a crash.
func (l *Log) HasUnsent(now time.Time) bool {
	list, _ := l.After(now, l.acked, l.hub)
	return len(list) > 0
}

// Acknowledge records that a hub has replied to the report. Another hub than before lacks all earlier crashes.
func (l *Log) Acknowledge(hub uint64) {
	if hub != l.hub {
		l.hub, l.acked = hub, 0
		return
	}
	l.acked = l.unread
}
