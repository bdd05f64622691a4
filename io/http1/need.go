package http1

import "time"

// maxCarriedIDs bounds the ids of requests that a connection remembers. A faulty server sends a response again where the next one is expected, so
// that the last ones matter.
const maxCarriedIDs = 64

// Need holds the requirements of a request on its connection.
type Need struct {
	// RequestID is the request's id, empty if it has none. A connection that has carried a request with the same id isn't used: if the server sends the
	// response to that one again, it can't be distinguished from the response to this one.
	RequestID string
	// IdleShare is the part, between zero and one, of the time for which the server keeps an idle connection that the connection may have been idle.
	IdleShare float64
	New       bool // a new connection is opened in any case
}

// unusable returns why the request can't use an idle connection, empty if it can.
func (c *Conn) unusable(now time.Time, need Need) Opening {
	idle := now.Sub(c.idleSince)
	switch {
	case idle >= c.idleLimit:
		return Expired
	case float64(idle) >= need.IdleShare*float64(c.idleLimit):
		return TooIdle
	case need.RequestID != "" && c.carried.Contains(need.RequestID):
		return SameID
	}
	return ""
}

// carry records the id of the next request.
func (c *Conn) carry(id string) {
	if id != "" {
		c.carried.Add(id)
	}
}
