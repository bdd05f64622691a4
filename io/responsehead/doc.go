// Package responsehead checks the heads of HTTP/1.1 responses for what the parser of net/http accepts, and a client of the node must not get:
// status codes that no response can have, names that are no names, and more than one way to delimit the body.
//
// # Method
//
// A Scanner sees the bytes of a response before the parser does, as they are read from the connection. It follows the lines of the
// informational responses and of the final one, up to the empty line that ends its head, and lets the body pass. Since the bytes of a line
// that breaks a rule aren't handed to the parser, a malformed head is never complete there. What the parser rejects by itself, such as control
// bytes in field values, is left to it, and so is the length of a head.
//
// # Usage
//
//	var s responsehead.Scanner
//	n, err := conn.Read(b)
//	if err := s.Scan(b[:n]); err != nil {
//		return 0, err // a *responsehead.MalformedError
//	}
//	...
//	s.Reset() // before the next response
package responsehead
