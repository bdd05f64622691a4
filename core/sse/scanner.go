package sse

import (
	"bytes"
	"mime"
)

// mediaType is the media type of a stream of server-sent events.
const mediaType = "text/event-stream"

// maxIDLineBytes bounds the line of an event's id. A longer id doesn't fit into a request header.
const maxIDLineBytes = 4 << 10

// Scanner follows a stream of server-sent events. The zero value is at the beginning of a stream.
type Scanner struct {
	line    []byte // beginning of the current line, at most maxIDLineBytes+1 bytes
	afterCR bool   // the last byte was CR, so that LF belongs to the same line ending
	inEvent bool   // the current event has fields
	id      string // of the current event, or else of the last one
	lastID  string
	events  int // complete ones
}

// Scan advances over the next bytes of the stream. It returns how many of them precede the last point between two
// events, 0 if there is no such point in p.
func (s *Scanner) Scan(p []byte) int {
	end := 0
	for i, b := range p {
		switch {
		case b == '\n' && s.afterCR:
			s.afterCR = false
		case b == '\n' || b == '\r':
			s.afterCR = b == '\r'
			s.endLine()
		default:
			s.afterCR = false
			if len(s.line) <= maxIDLineBytes {
				s.line = append(s.line, b)
			}
		}
		if !s.InEvent() {
			end = i + 1
		}
	}
	return end
}

// InEvent reports whether the stream is in the middle of an event or of a line.
func (s *Scanner) InEvent() bool { return s.inEvent || len(s.line) > 0 }

// LastID returns the id of the last complete event that had one.
func (s *Scanner) LastID() string { return s.lastID }

// Events returns the number of complete events.
func (s *Scanner) Events() int { return s.events }

// endLine ends the current line.
func (s *Scanner) endLine() {
	line := s.line
	s.line = s.line[:0]
	switch {
	case len(line) == 0: // a blank line ends the event
		if s.inEvent {
			s.events++
		}
		s.inEvent, s.lastID = false, s.id
		return
	case line[0] == ':': // a comment
		return
	}
	s.inEvent = true
	name, value, _ := bytes.Cut(line, []byte{':'})
	if string(name) == "id" && len(line) <= maxIDLineBytes {
		s.id = string(bytes.TrimPrefix(value, []byte{' '}))
	}
}

// IsStream reports whether a Content-Type names a stream of server-sent events.
func IsStream(contentType string) bool {
	t, _, err := mime.ParseMediaType(contentType)
	return err == nil && t == mediaType
}

// IsWhole reports whether a body with a Content-Type can be a whole one: a stream of server-sent events that ends in the
// middle of an event was broken off.
func IsWhole(contentType string, body []byte) bool {
	if !IsStream(contentType) {
		return true
	}
	var s Scanner
	s.Scan(body)
	return !s.InEvent()
}
