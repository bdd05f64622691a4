package entry

import (
	"net/http"
	"strings"
)

// passedOn returns the headers of a caller's request that go to a plain
// service: no key of the caller's and none that belong to one connection.
func passedOn(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		switch strings.ToLower(name) {
		case "authorization", "connection", "keep-alive", "transfer-encoding", "content-length", "te",
			"trailer", "upgrade", "host", "proxy-authorization", "proxy-connection", "expect",
			"x-request-id", "idempotency-key", "x-kind", "x-deadline-ms", "accept-encoding":
			continue
		}
		out[name] = values
	}
	return out
}
