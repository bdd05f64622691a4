package gateway

import "net/http"

const (
	framedByLength     framing = "length"
	framedByChunks     framing = "chunks"
	framedByConnection framing = "connection" // the body ends with the connection
)

const (
	bodyWhole   bodyEnd = "whole"
	bodyInEvent bodyEnd = "in-event" // in the middle of an event of a stream
	bodyBroken  bodyEnd = "broken"   // by an error of the connection, or before its length or last chunk
)

type (
	// framing is how the body of a server's response is delimited.
	framing string

	// bodyEnd is where the body of a server's response ended.
	bodyEnd string
)

// framingOf returns how the body of a response is delimited.
func framingOf(resp *http.Response) framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return framedByChunks
	case resp.ContentLength >= 0:
		return framedByLength
	}
	return framedByConnection
}

// recordBodyEnd records where the body of the response ended.
func (t *try) recordBodyEnd(end bodyEnd) {
	t.bodyEnd = end
	t.g.Metrics.bodies.WithLabelValues(string(t.framing), string(end)).Inc()
}
