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
	// RequestError means that a request can't be read; Status is the answer.
	RequestError struct {
		Status int
		Reason string
	}

	// framing says how the body of a request is delimited.
	framing struct {
		chunked bool
		length  int64
	}
)

// Error tells the reason.
func (e *RequestError) Error() string {
	return fmt.Sprintf("request refused with %d: %s", e.Status, e.Reason)
}

// bad returns a RequestError with status 400.
func bad(reason string) error { return &RequestError{Status: http.StatusBadRequest, Reason: reason} }

// readHead reads the lines of a request head, at most limit bytes, into buf.
// Each line must end with CR LF: a lone line feed is where parsers disagree.
func readHead(br *bufio.Reader, buf []byte, limit int) ([]byte, error) {
	buf = buf[:0]
	start := 0
	for {
		part, err := br.ReadSlice('\n')
		buf = append(buf, part...)
		if len(buf) > limit {
			return buf, &RequestError{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "head too large"}
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return buf, err
		}
		line := buf[start:]
		if len(line) < 2 || line[len(line)-2] != '\r' {
			return buf, bad("line without carriage return")
		}
		if len(line) == 2 {
			if start == 0 { // blank lines before a request are skipped
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

// checkLine refuses what parsers read in different ways: control characters,
// folded lines, and space around the name of a field.
func checkLine(line []byte, first bool) error {
	if bytes.ContainsAny(line, "\r\n\x00") {
		return bad("control character in head")
	}
	if first {
		return nil
	}
	if line[0] == ' ' || line[0] == '\t' {
		return bad("folded field")
	}
	name, _, ok := bytes.Cut(line, []byte{':'})
	if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") {
		return bad("malformed field")
	}
	return nil
}

// parseHead parses a head and finds how the body is delimited.
func parseHead(head []byte) (*http.Request, framing, error) {
	if err := checkFraming(head); err != nil {
		return nil, framing{}, err
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return nil, framing{}, bad(err.Error())
	}
	f := framing{length: max(0, r.ContentLength)}
	if len(r.TransferEncoding) > 0 {
		f = framing{chunked: true}
	}
	if r.ProtoAtLeast(1, 1) && r.Host == "" {
		return nil, framing{}, bad("no host")
	}
	if !strings.HasPrefix(r.RequestURI, "/") {
		return nil, framing{}, bad("target is no path")
	}
	return r, f, nil
}

// checkFraming refuses a head that delimits its body in more than one way, or
// names its host not once.
func checkFraming(head []byte) error {
	var lengths, encodings, hosts int
	first, _, _ := strings.Cut(string(head), "\r\n")
	old := !strings.HasSuffix(first, " HTTP/1.1")
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
				return bad("malformed length")
			}
		case "transfer-encoding":
			encodings++
			if old {
				return bad("transfer encoding before HTTP/1.1")
			}
			if !strings.EqualFold(value, "chunked") {
				return bad("unknown transfer encoding")
			}
		case "host":
			hosts++
		}
	}
	switch {
	case lengths+encodings > 1:
		return bad("body delimited more than once")
	case hosts > 1:
		return bad("more than one host")
	}
	return nil
}
