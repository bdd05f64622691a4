package http1

import (
	"net/http"
	"strings"
)

// hopByHop are the fields that concern one connection or delimit a body.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Content-Length": true, "Expect": true, "Host": true,
}

// EndToEnd returns a copy of a header without the fields that concern one
// connection, those that Connection names among them.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for n, v := range h {
		if !hopByHop[n] {
			out[n] = v
		}
	}
	for _, list := range h["Connection"] {
		for n := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(n))
		}
	}
	return out
}
