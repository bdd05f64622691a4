package peer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// Kind identifies the type of value that a frame carries.
type Kind byte

// MaxFrameBytes is the maximum size of a frame's body. The body of a caller's request must
// fit.
const MaxFrameBytes = 8 << 20

const (
	// compressedFlag is set in the kind byte of a frame whose body is compressed.
	compressedFlag Kind = 0x80
	// minCompressSize is the length from which a body is compressed. The server state that
	// the leader sends to 77 nodes repeats names and ids and compresses to a fifth of its
	// size.
	minCompressSize = 512
	// windowSize limits the window of the compressor, and thereby its memory.
	windowSize = 128 << 10
)

var (
	encoder = must(zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(windowSize), zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(false)))
	decoder = must(zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(MaxFrameBytes)))
)

var decMode = must(cbor.DecOptions{
	MaxNestedLevels:  16,
	MaxArrayElements: 1 << 16,
	MaxMapPairs:      1 << 16,
}.DecMode())

// Frame is one message in its encoded form.
type Frame struct {
	Kind Kind
	Body []byte
}

// Encode returns a frame of the given kind that holds the CBOR encoding of v.
func Encode(k Kind, v any) (Frame, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return Frame{}, &Error{Kind: Malformed, Err: err}
	}
	return Frame{Kind: k, Body: b}, nil
}

// Decode decodes the frame's value into v, which must be a pointer.
func (f Frame) Decode(v any) error {
	if err := decMode.Unmarshal(f.Body, v); err != nil {
		return &Error{Kind: Malformed, Err: err}
	}
	return nil
}

// WriteFrame writes f to w in a single call of Write and compresses a long body. It panics
// if the kind collides with the flag for compression.
func WriteFrame(w io.Writer, f Frame) error {
	if f.Kind >= compressedFlag {
		panic(fmt.Sprintf("peer: frame kind %d exceeds the maximum of %d", f.Kind, compressedFlag-1))
	}
	if len(f.Body) > MaxFrameBytes {
		return &Error{Kind: TooLarge}
	}
	if len(f.Body) >= minCompressSize {
		f = Frame{Kind: f.Kind | compressedFlag, Body: encoder.EncodeAll(f.Body, make([]byte, 0, len(f.Body)/2))}
	}
	b := make([]byte, 0, binary.MaxVarintLen32+1+len(f.Body))
	b = binary.AppendUvarint(b, uint64(len(f.Body)))
	b = append(b, byte(f.Kind))
	b = append(b, f.Body...)
	_, err := w.Write(b)
	return err
}

// ReadFrame reads one frame. It returns io.EOF if r ends before the first byte,
// io.ErrUnexpectedEOF if r ends inside a frame, and an *Error of kind Malformed or TooLarge
// if the input is not a valid frame.
func ReadFrame(r *bufio.Reader) (Frame, error) {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return Frame{}, err
		}
		return Frame{}, &Error{Kind: Malformed, Err: err}
	}
	if n > MaxFrameBytes {
		return Frame{}, &Error{Kind: TooLarge}
	}
	k, err := r.ReadByte()
	if err != nil {
		return Frame{}, unexpectedEOF(err)
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return Frame{}, err
	}
	if uint64(len(body)) < n {
		return Frame{}, io.ErrUnexpectedEOF
	}
	if Kind(k) < compressedFlag {
		return Frame{Kind: Kind(k), Body: body}, nil
	}
	body, err = decoder.DecodeAll(body, nil)
	if errors.Is(err, zstd.ErrDecoderSizeExceeded) {
		return Frame{}, &Error{Kind: TooLarge}
	}
	if err != nil {
		return Frame{}, &Error{Kind: Malformed, Err: err}
	}
	return Frame{Kind: Kind(k) &^ compressedFlag, Body: body}, nil
}

// unexpectedEOF converts io.EOF inside a frame to io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// must returns v and panics if err is not nil. It is used for options that are known to be
// valid.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// isEOF reports whether a stream ended at a frame boundary.
func isEOF(err error) bool { return err == io.EOF }
