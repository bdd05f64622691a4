package poison

import "time"

const (
	// retention is how long a node keeps crashes, to report them to the next leader.
	retention = time.Minute
	// maxCrashes bounds the crashes that a node or a Tracker keeps.
	maxCrashes = 64
)

type (
	// Log keeps the crashes that a node has observed or passes on, and returns those that the hub to which it reports lacks.
	// The zero value is empty.
	Log struct {
		list   []logged
		last   uint64 // number of the last crash
		hub    uint64 // that has acknowledged
		acked  uint64 // number of the last crash that it has
		unread uint64 // number of the last crash in the report under way
	}

	logged struct {
		Crash

		number uint64
		at     time.Time
	}
)

// Add adds a crash.
func (l *Log) Add(now time.Time, c Crash) {
	l.last++
	l.list = append(l.list, logged{c, l.last, now.Add(-c.Age)})
	n := max(0, len(l.list)-maxCrashes)
	for n < len(l.list) && now.Sub(l.list[n].at) > retention {
		n++
	}
	l.list = l.list[n:]
}

// Unsent returns the crashes for the next report.
func (l *Log) Unsent(now time.Time) []Crash {
	var out []Crash
	for _, c := range l.list {
		if age := now.Sub(c.at); c.number > l.acked && age <= retention {
			out = append(out, c.WithAge(age))
		}
	}
	l.unread = l.last
	return out
}

// Acknowledge records that a hub has replied to the report. Another hub than before lacks all earlier crashes.
func (l *Log) Acknowledge(hub uint64) {
	if hub != l.hub {
		l.hub, l.acked = hub, 0
		return
	}
	l.acked = l.unread
}
