// Package sse finds the ends of events in a stream of server-sent events (text/event-stream), as defined in section
// 9.2 of the HTML standard.
//
// # Method
//
// A stream is a series of lines that end with LF, CR LF or CR. A blank line ends an event. Lines that begin with a
// colon are comments and belong to no event. The stream may be received in pieces of any size, so that the bytes of a
// line ending can lie in two of them. Each byte is looked at once.
//
// A stream that ends in the middle of an event, or of a line, was broken off, however its body was framed.
//
// # Usage
//
//	var s sse.Scanner
//	n := s.Scan(piece) // piece[:n] ends between two events
//	if atEnd && s.InEvent() {
//		// The stream was broken off after the event with id s.LastID().
//	}
package sse
