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
	// writeTimeout bounds one write to a client. Clients give a stream up after
	// two seconds without an event at the least, so one that takes nothing for
	// longer is gone or silent.
	writeTimeout  = 5 * time.Second
	maxPooledHead = 64 << 10 // bytes of a buffer that a connection keeps
)

// errDone means that an answer was begun twice or written after its end.
var errDone = errors.New("http1: answer out of order")

type (
	// Exchange is one request of a client with its answer. Exactly one of
	// Respond and Begin is called; Begin is followed by End or Abort.
	Exchange struct {
		Request  *http.Request // its Body is not to be read
		Body     []byte
		Received time.Time // when the first byte of the head was read

		ctx     context.Context
		conn    net.Conn
		out     bytes.Buffer
		closing bool // no further request on the connection
		server  *Server
		state   state
	}

	state int
)

const (
	idle state = iota
	begun
	ended
	aborted
)

// Context ends when the client has left.
func (x *Exchange) Context() context.Context { return x.ctx }

// Begun tells whether an answer has begun.
func (x *Exchange) Begun() bool { return x.state != idle }

// Respond sends a whole answer.
func (x *Exchange) Respond(status int, h http.Header, body []byte) error {
	if x.state != idle {
		return errDone
	}
	x.state = ended
	x.head(status, h)
	x.out.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	if x.Request.Method != http.MethodHead {
		x.out.Write(body)
	}
	return x.flush()
}

// Begin sends the head of an answer whose length isn't known.
func (x *Exchange) Begin(status int, h http.Header) error {
	if x.state != idle {
		return errDone
	}
	x.state = begun
	if !x.Request.ProtoAtLeast(1, 1) {
		x.closing = true
	}
	x.head(status, h)
	if x.Request.ProtoAtLeast(1, 1) {
		x.out.WriteString("Transfer-Encoding: chunked\r\n")
	}
	x.out.WriteString("\r\n")
	return nil
}

// Write sends bytes of an answer that has begun, its head with the first ones.
func (x *Exchange) Write(p []byte) error {
	if x.state != begun {
		return errDone
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

// End marks an answer as complete.
func (x *Exchange) End() error {
	if x.state != begun {
		return errDone
	}
	x.state = ended
	if x.Request.ProtoAtLeast(1, 1) {
		x.out.WriteString("0\r\n\r\n")
	}
	return x.flush()
}

// Abort ends an answer so that the client sees that it isn't complete: the
// connection is closed without the last chunk.
func (x *Exchange) Abort() {
	x.state = aborted
	x.closing = true
}

// head writes the status line and the fields but for those that delimit the
// body or concern the connection.
func (x *Exchange) head(status int, h http.Header) {
	x.out.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	_ = h.WriteSubset(&x.out, hopByHop) // a bytes.Buffer takes all
	if x.server != nil && x.server.draining.Load() {
		x.closing = true
	}
	if x.closing {
		x.out.WriteString("Connection: close\r\n")
	}
}

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
