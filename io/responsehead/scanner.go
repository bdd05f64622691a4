package responsehead

import (
	"bytes"
	"fmt"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	version     = "HTTP/1." // without the minor version
	codeDigits  = 3
	statusStart = len(version) + 1 + 1 // of the status code in a status line
	maxQuoted   = 80                   // bytes of a line that an error quotes
)

type (
	// Scanner checks the head of a response, with those of the informational responses before it. The zero value is ready for the first
	// response of a connection.
	Scanner struct {
		partial       []byte // of a line whose end hasn't been read
		inFields      bool   // the status line has been read
		informational bool
		beforeHTTP11  bool
		framing       framing
		lastFraming   bool // the last field line delimits the body
		done          bool
		err           error
	}

	// framing is which fields that delimit a body the head has.
	framing struct{ length, encoding bool }

	// MalformedError reports a response with a malformed head.
	MalformedError struct {
		Reason string
		Line   string // the beginning of the line that is malformed; empty if it isn't known
	}
)

// Error implements error.
func (e *MalformedError) Error() string {
	if e.Line == "" {
		return "malformed response: " + e.Reason
	}
	return fmt.Sprintf("malformed response: %s in %q", e.Reason, e.Line)
}

// Reset makes the scanner check the head of the next response.
func (s *Scanner) Reset() { *s = Scanner{} }

// Done reports whether the head of the final response has been read.
func (s *Scanner) Done() bool { return s.done }

// Scan checks the next bytes of the connection, which may include a body. The error is a *MalformedError, and the same for all later calls; the
// bytes must be dropped then.
func (s *Scanner) Scan(b []byte) error {
	for s.err == nil && !s.done && len(b) > 0 {
		line, rest, whole := bytes.Cut(b, []byte{'\n'})
		b = rest
		if !whole {
			s.partial = append(s.partial, line...)
			break
		}
		if len(s.partial) > 0 {
			line = append(s.partial, line...)
			s.partial = line[:0]
		}
		if reason := s.line(bytes.TrimSuffix(line, []byte{'\r'})); reason != "" {
			s.err = &MalformedError{Reason: reason, Line: string(line[:min(len(line), maxQuoted)])}
		}
	}
	return s.err
}

// line checks a line without its end, and returns why it is malformed, if it is.
func (s *Scanner) line(line []byte) string {
	switch {
	case !s.inFields:
		s.inFields = true
		return s.statusLine(line)
	case len(line) > 0:
		return s.fieldLine(line)
	case s.informational:
		s.Reset()
	default:
		s.done = true
	}
	return ""
}

// statusLine checks a status line (RFC 9112, section 4): the major version is that of the protocol (RFC 9112, section 2.3), and the status code
// has three digits and is in a class (RFC 9110, section 15). A 101 would answer a request for an upgrade (RFC 9110, section 15.2.2),
// which is never sent on.
func (s *Scanner) statusLine(line []byte) string {
	text := string(line)
	if len(text) < statusStart+codeDigits || !strings.HasPrefix(text, version) || !isDigit(text[len(version)]) || text[len(version)+1] != ' ' {
		return "no status line"
	}
	s.beforeHTTP11 = text[len(version)] == '0'
	code, reason, _ := strings.Cut(text[statusStart:], " ")
	switch {
	case len(code) != codeDigits || code[0] < '1' || code[0] > '5' || !isDigit(code[1]) || !isDigit(code[2]):
		return "invalid status code"
	case code == "101":
		return "an upgrade that wasn't requested"
	case !httpguts.ValidHeaderFieldValue(reason):
		return "control byte"
	}
	s.informational = code[0] == '1'
	return ""
}

// fieldLine checks a field line: it has a name that is a token (RFC 9110, section 5.1) with the colon right behind it (RFC 9112, section 5.1).
// A folded line (RFC 9112, section 5.2) is accepted unless it belongs to a field that delimits the body. At most one kind of these fields is
// accepted (RFC 9112, section 6.3), and Transfer-Encoding only from HTTP/1.1 on (RFC 9112, section 6.1).
func (s *Scanner) fieldLine(line []byte) string {
	if line[0] == ' ' || line[0] == '\t' {
		if s.lastFraming {
			return "folded field that delimits the body"
		}
		return ""
	}
	name, _, ok := strings.Cut(string(line), ":")
	if !ok || !httpguts.ValidHeaderFieldName(name) {
		return "invalid field name"
	}
	length, encoding := strings.EqualFold(name, "Content-Length"), strings.EqualFold(name, "Transfer-Encoding")
	s.lastFraming = length || encoding
	s.framing.length = s.framing.length || length
	s.framing.encoding = s.framing.encoding || encoding
	switch {
	case encoding && s.beforeHTTP11:
		return "transfer encoding before HTTP/1.1"
	case s.framing.length && s.framing.encoding:
		return "ambiguous body length"
	}
	return ""
}

// isDigit reports whether c is a decimal digit.
func isDigit(c byte) bool { return '0' <= c && c <= '9' }
