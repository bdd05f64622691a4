package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

type (
	// RequestError reports a request that could not be read; Status is the response status.
	RequestError struct {
		Status int
		Reason string
	}

	// framing describes how the body of a request is delimited.
	framing struct {
		chunked bool
		length  int64
	}
)

// Error returns the status and the reason.
func (e *RequestError) Error() string {
	return fmt.Sprintf("request rejected with status %d: %s", e.Status, e.Reason)
}

// badRequest returns a RequestError with status 400.
func badRequest(reason string) error {
	return &RequestError{Status: http.StatusBadRequest, Reason: reason}
}

// readHead reads the lines of a request head, at most limit bytes, into buf. Each line must
// end with CR LF: parsers disagree about a bare line feed, which allows request smuggling.
func readHead(br *bufio.Reader, buf []byte, limit int) ([]byte, error) {
	buf = buf[:0]
	start := 0
	for {
		part, err := br.ReadSlice('\n')
		buf = append(buf, part...)
		if len(buf) > limit {
			return buf, &RequestError{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "request head too large"}
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return buf, err
		}
		line := buf[start:]
		if len(line) < 2 || line[len(line)-2] != '\r' {
			return buf, badRequest("line does not end with CR LF")
		}
		if len(line) == 2 {
			if start == 0 { // skip blank lines before the request line
				buf = buf[:0]
				continue
			}
			return buf, nil
		}
		if err := checkLine(line[:len(line)-2], start == 0); err != nil {
			return buf, err
		}
		start = len(buf)
	}
}

// checkLine rejects syntax that parsers interpret differently: control characters, folded
// lines, and whitespace around a field name.
func checkLine(line []byte, first bool) error {
	if bytes.ContainsAny(line, "\r\n\x00") {
		return badRequest("control character in request head")
	}
	if first {
		return nil
	}
	if line[0] == ' ' || line[0] == '\t' {
		return badRequest("folded header field")
	}
	name, _, ok := bytes.Cut(line, []byte{':'})
	if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") {
		return badRequest("malformed header field")
	}
	return nil
}

// parseHead parses a request head and determines how the body is delimited.
func parseHead(head []byte) (*http.Request, framing, error) {
	if err := checkFraming(head); err != nil {
		return nil, framing{}, err
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return nil, framing{}, badRequest(err.Error())
	}
	f := framing{length: max(0, r.ContentLength)}
	if len(r.TransferEncoding) > 0 {
		f = framing{chunked: true}
	}
	if r.ProtoAtLeast(1, 1) && r.Host == "" {
		return nil, framing{}, badRequest("missing Host header")
	}
	if !strings.HasPrefix(r.RequestURI, "/") {
		return nil, framing{}, badRequest("request target is not a path")
	}
	return r, f, nil
}

// checkFraming rejects a head that delimits its body in more than one way or has more than
// one Host field.
func checkFraming(head []byte) error {
	var lengths, encodings, hosts int
	requestLine, _, _ := strings.Cut(string(head), "\r\n")
	beforeHTTP11 := !strings.HasSuffix(requestLine, " HTTP/1.1")
	for i, line := range strings.Split(string(head), "\r\n") {
		name, value, ok := strings.Cut(line, ":")
		if i == 0 || !ok {
			continue
		}
		value = strings.Trim(value, " \t")
		switch strings.ToLower(name) {
		case "content-length":
			lengths++
			if _, err := strconv.ParseUint(value, 10, 62); err != nil {
				return badRequest("malformed Content-Length")
			}
		case "transfer-encoding":
			encodings++
			if beforeHTTP11 {
				return badRequest("Transfer-Encoding requires HTTP/1.1")
			}
			if !strings.EqualFold(value, "chunked") {
				return badRequest("unsupported Transfer-Encoding")
			}
		case "host":
			hosts++
		}
	}
	switch {
	case lengths+encodings > 1:
		return badRequest("ambiguous body length")
	case hosts > 1:
		return badRequest("more than one Host header")
	}
	return nil
}
