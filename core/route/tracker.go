package route

import "time"

// defaultViewDelay is an upper bound of the time that a request takes to reach the
// owner.
const defaultViewDelay = 3 * time.Millisecond

// Tracker counts the requests that a node has sent to each server and that the
// last view of the server can't include yet.
type Tracker struct {
	// ViewDelay is how long before a view's arrival a request may have been sent
	// and still be missing from the view. It is about one round trip to the owner,
	// default 3 ms.
	ViewDelay time.Duration

	sent     map[string][]time.Time // by server, oldest first
	inFlight map[string]int
}

// Sent records that a request was sent to the server.
func (t *Tracker) Sent(server string, now time.Time) {
	if t.sent == nil {
		t.sent = map[string][]time.Time{}
		t.inFlight = map[string]int{}
	}
	t.sent[server] = append(t.sent[server], now)
	t.inFlight[server]++
}

// Ended records that a request sent to the server has ended.
func (t *Tracker) Ended(server string) {
	if t.inFlight[server] == 0 {
		return
	}
	t.inFlight[server]--
	if times := t.sent[server]; len(times) > t.inFlight[server] {
		t.sent[server] = append(times[:0], times[len(times)-t.inFlight[server]:]...)
	}
}

// ViewUpdated records that a newer view of the server arrived.
func (t *Tracker) ViewUpdated(server string, now time.Time) {
	delay := t.ViewDelay
	if delay == 0 {
		delay = defaultViewDelay
	}
	times, cutoff := t.sent[server], now.Add(-delay)
	n := 0
	for n < len(times) && times[n].Before(cutoff) {
		n++
	}
	if n > 0 {
		t.sent[server] = append(times[:0], times[n:]...)
	}
}

// Forget removes the counts of a server that no longer exists.
func (t *Tracker) Forget(server string) {
	delete(t.sent, server)
	delete(t.inFlight, server)
}

// Recent returns the number of requests that the last view can't include, at most
// the number in flight.
func (t *Tracker) Recent(server string) int {
	return len(t.sent[server])
}

// InFlight returns the number of the node's own requests in flight at the server.
func (t *Tracker) InFlight(server string) int { return t.inFlight[server] }
