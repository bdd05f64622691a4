package entry

import (
	"net/http"
	"strings"
)

// forwardedHeaders returns the headers of a caller's request that are forwarded
// to a plain service. It omits the caller's key, the headers that belong to one
// connection, and those that the node handles itself.
func forwardedHeaders(h http.Header) http.Header {
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
