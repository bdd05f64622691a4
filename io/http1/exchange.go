package http1

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	// writeTimeout bounds one write to a client. Clients cancel a stream after at least two
	// seconds without an event, so a client that accepts no bytes for longer is gone or
	// unresponsive.
	writeTimeout  = 5 * time.Second
	maxPooledHead = 64 << 10 // maximum capacity, in bytes, of a head buffer that a connection keeps for reuse
)

// errResponseOrder reports a response that was started twice or written to after its end.
var errResponseOrder = errors.New("http1: response started twice or written after its end")

type (
	// Exchange is a client's request together with its response. The handler calls exactly
	// one of Respond and WriteHeader; WriteHeader must be followed by End or Abort.
	Exchange struct {
		Request  *http.Request // its Body must not be read; use Exchange.Body
		Body     []byte
		Received time.Time // when the first byte of the head was read
		Rejected bool      // the server's Admit has decided that the request is to be rejected

		ctx     context.Context
		cancel  context.CancelFunc
		conn    net.Conn
		out     bytes.Buffer
		closing bool // close the connection after this response
		server  *Server
		state   state
	}

	// state is the progress of a response.
	state int
)

const (
	notStarted state = iota
	headerWritten
	ended
	aborted
)

// Context returns a context that is cancelled when the client disconnects.
func (x *Exchange) Context() context.Context { return x.ctx }

// Departed reports whether the client has disconnected, also if the context isn't cancelled yet, and cancels the context if so.
func (x *Exchange) Departed() bool {
	if x.ctx.Err() == nil && isClosedByPeer(x.conn) {
		x.cancel()
	}
	return x.ctx.Err() != nil
}

// HeaderWritten reports whether the response has started.
func (x *Exchange) HeaderWritten() bool { return x.state != notStarted }

// Respond sends a complete response.
func (x *Exchange) Respond(status int, h http.Header, body []byte) error {
	if x.state != notStarted {
		return errResponseOrder
	}
	x.state = ended
	x.writeHead(status, h)
	x.out.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	if x.Request.Method != http.MethodHead {
		x.out.Write(body)
	}
	return x.flush()
}

// WriteHeader starts a response of unknown length. Its head is sent with the first bytes of
// the body.
func (x *Exchange) WriteHeader(status int, h http.Header) error {
	if x.state != notStarted {
		return errResponseOrder
	}
	x.state = headerWritten
	if !x.Request.ProtoAtLeast(1, 1) {
		x.closing = true
	}
	x.writeHead(status, h)
	if x.Request.ProtoAtLeast(1, 1) {
		x.out.WriteString("Transfer-Encoding: chunked\r\n")
	}
	x.out.WriteString("\r\n")
	return nil
}

// Write sends body bytes of a response that was started by WriteHeader.
func (x *Exchange) Write(p []byte) error {
	if x.state != headerWritten {
		return errResponseOrder
	}
	if len(p) == 0 {
		return nil
	}
	if !x.Request.ProtoAtLeast(1, 1) {
		x.out.Write(p)
		return x.flush()
	}
	x.out.Write(strconv.AppendInt(x.out.AvailableBuffer(), int64(len(p)), 16))
	x.out.WriteString("\r\n")
	x.out.Write(p)
	x.out.WriteString("\r\n")
	return x.flush()
}

// End completes a response that was started by WriteHeader.
func (x *Exchange) End() error {
	if x.state != headerWritten {
		return errResponseOrder
	}
	x.state = ended
	if x.Request.ProtoAtLeast(1, 1) {
		x.out.WriteString("0\r\n\r\n")
	}
	return x.flush()
}

// Abort ends a response so that the client detects that it is incomplete: the connection is
// closed without the final chunk.
func (x *Exchange) Abort() {
	x.state = aborted
	x.closing = true
}

// writeHead writes the status line and the header fields, except those that delimit the body
// or apply to the connection only.
func (x *Exchange) writeHead(status int, h http.Header) {
	x.out.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	_ = h.WriteSubset(&x.out, hopByHop) // writes to a bytes.Buffer do not fail
	if x.Rejected || x.server != nil && x.server.draining.Load() {
		x.closing = true
	}
	if x.closing {
		x.out.WriteString("Connection: close\r\n")
	}
}

// flush writes the buffered bytes to the client. After an error the connection is closed.
func (x *Exchange) flush() error {
	if err := x.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := x.out.WriteTo(x.conn)
	x.out.Reset()
	if err != nil {
		x.closing = true
	}
	return err
}
