package queue

import (
	"time"

	"guavapaddle/core/backend"
	"guavapaddle/core/config"
	"guavapaddle/core/outcome"
)

type (
	// Entry is a request that waits for a slot on the server.
	Entry struct {
		ID       string
		Team     string
		Kind     string // service times are learned for each kind
		Item     backend.Item
		Urgency  config.Urgency // empty means normal
		Value    float64
		Deadline time.Time // for the last token; zero if none
		Tokens   int       // maximum number of output tokens; zero if unknown
		Isolated bool      // runs only while no other request runs on the server
	}

	// Result reports whether an entry was admitted to the queue.
	Result struct {
		Admitted   bool
		Reason     outcome.Reason // if not admitted
		RetryAfter time.Duration  // if not admitted
		Wait       time.Duration  // estimated wait for a slot
		Seconds    float64        // estimated service time, in seconds
		Evicted    *Rejection     // less urgent entry removed to make room, or nil
	}

	// Dispatch is an entry to send to the server now.
	Dispatch struct {
		Entry
		Waited   time.Duration
		Priority int    // engine priority for backend.Generate; higher runs first
		Preempts string // ID of the running entry to cancel, empty if none (see Settings.CancelToPreempt)
	}

	// Rejection is a waiting entry that was removed from the queue without having run.
	Rejection struct {
		Entry
		Reason     outcome.Reason
		RetryAfter time.Duration
	}

	// State is a snapshot of the load and the estimated waits of one server.
	State struct {
		Slots   int
		Running int // dispatched and not done
		Queued  int
		// Wait is the estimated wait of a new request, by urgency.
		Wait map[config.Urgency]time.Duration
		// Seconds is the learned mean service time of a request, in seconds.
		Seconds float64
	}
)

// WaitMS returns the estimated wait of a new request of urgency u in
// milliseconds.
func (s State) WaitMS(u config.Urgency) int64 { return s.Wait[u].Milliseconds() }
