package http1

import (
	"net/http"
	"strings"
)

// hopByHop lists the header fields that apply to a single connection or delimit a body.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Content-Length": true, "Expect": true, "Host": true,
}

// EndToEnd returns a copy of a header without the hop-by-hop fields, including those that
// the Connection field lists.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		if !hopByHop[name] {
			out[name] = values
		}
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	return out
}
