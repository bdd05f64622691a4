package queue

import (
	"time"

	"guavapaddle/core/backend"
	"guavapaddle/core/config"
	"guavapaddle/core/outcome"
)

type (
	// Entry is a request that waits for a slot of the server.
	Entry struct {
		ID       string
		Team     string
		Kind     string // service times are learned for each kind
		Item     backend.Item
		Urgency  config.Urgency // empty counts as normal
		Value    float64
		Deadline time.Time // of the last token; zero for none
		Tokens   int       // most tokens of the answer; zero if unknown
		Alone    bool      // runs only when nothing else runs on the server
	}

	// Result tells what became of an offered entry.
	Result struct {
		Admitted   bool
		Reason     outcome.Reason // if not admitted
		RetryAfter time.Duration  // if not admitted
		Wait       time.Duration  // estimated wait for a slot
		Seconds    float64        // estimated service time, in seconds
		Evicted    *Ended         // a less urgent entry that gave up its place
	}

	// Dispatch is an entry that is to be sent to the server now.
	Dispatch struct {
		Entry
		Waited   time.Duration
		Priority int    // for backend.Generate: higher goes first
		Preempts string // running entry to cancel, empty if none (see Settings.CancelToPreempt)
	}

	// Ended is a waiting entry that is given up. It has not run.
	Ended struct {
		Entry
		Reason     outcome.Reason
		RetryAfter time.Duration
	}

	// State is what the queue tells about its server.
	State struct {
		Slots   int
		Running int // dispatched and not done
		Queued  int
		// Wait is the estimated wait of a new request, by urgency.
		Wait map[config.Urgency]time.Duration
		// Seconds is the learned service time of a request, in seconds.
		Seconds float64
	}
)

// WaitMS returns the estimated wait of a new request of urgency u in
// milliseconds.
func (s State) WaitMS(u config.Urgency) int64 { return s.Wait[u].Milliseconds() }
