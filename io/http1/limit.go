package http1

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"

	"guavapaddle/io/responsehead"
)

// errNoRoom means that there is no room for a body beside the others.
var errNoRoom = errors.New("http1: no room for a body")

type (
	// headReader is a reader that ends while a response head is read that is too long or malformed. http.ReadResponse has no limit of its
	// own, and accepts some malformed heads.
	headReader struct {
		r        io.Reader
		reading  bool // a head is being read
		left     int  // bytes, while a head is being read
		exceeded bool
		scanner  responsehead.Scanner
	}

	// Buffers bounds the memory of response bodies that are buffered at the same time. The zero value has no room for bodies that are longer
	// than 64 KiB.
	Buffers struct {
		Max int64 // in bytes; set before the first use

		mu       sync.Mutex
		reserved int64
	}

	// Reservation is the memory that a buffer which grows has taken of Buffers.
	Reservation struct {
		buffers *Buffers
		taken   int64
	}
)

// begin ends the reader after n bytes, or where the next head is malformed, whose first bytes have been read already. The error is one of these.
func (h *headReader) begin(n int, first []byte) error {
	h.reading, h.left, h.exceeded = true, n, false
	h.scanner.Reset()
	return h.scanner.Scan(first)
}

// end lets the body pass.
func (h *headReader) end() { h.reading = false }

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if !h.reading {
		return h.r.Read(p)
	}
	if h.left <= 0 {
		h.exceeded = true
		return 0, ErrHeadTooLong
	}
	n, err := h.r.Read(p[:min(len(p), h.left)])
	h.left -= n
	if malformed := h.scanner.Scan(p[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

// reserve takes n bytes and reports whether there is room for them.
func (b *Buffers) reserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reserved+n > b.Max {
		return false
	}
	b.reserved += n
	return true
}

// release gives n bytes back.
func (b *Buffers) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved -= n
}

// Reservation returns a reservation of no memory. It has to be released once its buffer isn't needed any more.
func (b *Buffers) Reservation() *Reservation { return &Reservation{buffers: b} }

// Fit takes the memory of a buffer that holds n bytes, or gives back what it doesn't need any more. It reports whether there is room; 64 KiB need none.
func (r *Reservation) Fit(n int) bool {
	need := int64(0)
	if n > unreservedBody {
		steps := (int64(n) + unreservedBody - 1) / unreservedBody
		need = bufferGrowth * unreservedBody * steps
	}
	switch {
	case need > r.taken && !r.buffers.reserve(need-r.taken):
		return false
	case need < r.taken:
		r.buffers.release(r.taken - need)
	}
	r.taken = need
	return true
}

// Release gives all of the memory back.
func (r *Reservation) Release() { r.Fit(0) }

// ReadBody reads a response body to its end. It returns ErrBodyTooLong if the body is longer than limit bytes, or if there is no room for it
// beside the others. The memory is reserved until release is called, which has to be done once the body isn't needed any more.
func (b *Buffers) ReadBody(resp *http.Response, limit int64) (body []byte, release func(), err error) {
	return b.Read(resp.Body, resp.ContentLength, limit)
}

// Read is ReadBody for a reader whose length is expected, or negative if it isn't known. Without Buffers there is no limit for all bodies.
func (b *Buffers) Read(r io.Reader, expected, limit int64) (body []byte, release func(), err error) {
	body, reserved, err := b.readAll(r, expected, limit)
	if errors.Is(err, errNoRoom) {
		err = ErrBodyTooLong
	}
	return body, func() {
		if reserved > 0 {
			b.release(reserved)
		}
	}, err
}

// readAll reads a body to its end, which is expected after a number of bytes or is unknown if that is negative. It returns
// ErrBodyTooLong if the body is longer than limit bytes, and errNoRoom if there is no room for it beside the others. The memory that it
// returns as reserved has to be released, also after an error. Without Buffers there is no limit for all bodies.
func (b *Buffers) readAll(r io.Reader, expected, limit int64) (body []byte, reserved int64, err error) {
	var buf bytes.Buffer
	if n := min(expected, unreservedBody); n > 0 {
		buf.Grow(int(n) + bytes.MinRead)
	}
	for {
		_, err := io.CopyN(&buf, r, unreservedBody)
		switch {
		case err == io.EOF && int64(buf.Len()) <= limit: //nolint:errorlint // CopyN returns it unwrapped; a body that was broken off has another error
			return buf.Bytes(), reserved, nil
		case err != nil && err != io.EOF: //nolint:errorlint // as above
			return nil, reserved, err
		case int64(buf.Len()) > limit:
			return nil, reserved, ErrBodyTooLong
		case b != nil && !b.reserve(bufferGrowth*unreservedBody):
			return nil, reserved, errNoRoom
		case b != nil:
			reserved += bufferGrowth * unreservedBody
		}
	}
}

// DiscardBody reads a response body to its end without keeping it. It returns ErrBodyTooLong if the body is longer than limit bytes.
func DiscardBody(resp *http.Response, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, limit+1))
	if err == nil && n > limit {
		err = ErrBodyTooLong
	}
	return err
}
