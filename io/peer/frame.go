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

// Kind names what a frame carries.
type Kind byte

// MaxFrameBytes bounds one frame. A caller's body must fit.
const MaxFrameBytes = 8 << 20

const (
	// compressed marks a frame whose body is compressed, beside its kind.
	compressed Kind = 0x80
	// compressFrom is the length from which a body is compressed. What a holder
	// tells 77 nodes of servers repeats names and ids: a fifth of it is left.
	compressFrom = 512
	// window bounds what the codec looks back on, and with it its memory.
	window = 128 << 10
)

var (
	encoder = must(zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(window), zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(false)))
	decoder = must(zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(MaxFrameBytes)))
)

var decoding = must(cbor.DecOptions{
	MaxNestedLevels:  16,
	MaxArrayElements: 1 << 16,
	MaxMapPairs:      1 << 16,
}.DecMode())

// Frame is one message, still encoded.
type Frame struct {
	Kind Kind
	Body []byte
}

// Encode returns the frame of a kind with value v.
func Encode(k Kind, v any) (Frame, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return Frame{}, &Error{Kind: Malformed, Err: err}
	}
	return Frame{Kind: k, Body: b}, nil
}

// Decode reads the frame's value into v, a pointer.
func (f Frame) Decode(v any) error {
	if err := decoding.Unmarshal(f.Body, v); err != nil {
		return &Error{Kind: Malformed, Err: err}
	}
	return nil
}

// WriteFrame writes f to w in one write. A long body is compressed.
func WriteFrame(w io.Writer, f Frame) error {
	if f.Kind >= compressed {
		panic(fmt.Sprintf("peer: kind %d is beyond %d", f.Kind, compressed-1))
	}
	if len(f.Body) > MaxFrameBytes {
		return &Error{Kind: TooLarge}
	}
	if len(f.Body) >= compressFrom {
		f = Frame{Kind: f.Kind | compressed, Body: encoder.EncodeAll(f.Body, make([]byte, 0, len(f.Body)/2))}
	}
	b := make([]byte, 0, binary.MaxVarintLen32+1+len(f.Body))
	b = binary.AppendUvarint(b, uint64(len(f.Body)))
	b = append(b, byte(f.Kind))
	b = append(b, f.Body...)
	_, err := w.Write(b)
	return err
}

// ReadFrame reads one frame. It returns io.EOF if r ends before the first byte
// and an *Error of kind Malformed or TooLarge if r holds no frame.
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
		return Frame{}, unexpected(err)
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return Frame{}, err
	}
	if uint64(len(body)) < n {
		return Frame{}, io.ErrUnexpectedEOF
	}
	if Kind(k) < compressed {
		return Frame{Kind: Kind(k), Body: body}, nil
	}
	body, err = decoder.DecodeAll(body, nil)
	if errors.Is(err, zstd.ErrDecoderSizeExceeded) {
		return Frame{}, &Error{Kind: TooLarge}
	}
	if err != nil {
		return Frame{}, &Error{Kind: Malformed, Err: err}
	}
	return Frame{Kind: Kind(k) &^ compressed, Body: body}, nil
}

// unexpected turns the end of a stream inside a frame into an error.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// must returns what was made by settings that are known to be good.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// isEnd tells whether a stream ended where a frame may begin.
func isEnd(err error) bool { return err == io.EOF }
