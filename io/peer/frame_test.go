package peer_test

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"testing"

	"github.com/klauspost/compress/zstd"
	"github.com/stretchr/testify/require"

	"guavapaddle/core/forward"
	"guavapaddle/core/member"
	"guavapaddle/io/peer"
)

func TestFrameRoundTrip(t *testing.T) {
	job := forward.Job{Server: "gpu-1", RequestID: "r", Prompt: "p", Offset: 7}
	f, err := peer.Encode(1, job)
	require.NoError(t, err)
	var b bytes.Buffer
	require.NoError(t, peer.WriteFrame(&b, f))
	require.NoError(t, peer.WriteFrame(&b, peer.Frame{Kind: 2}))
	r := bufio.NewReader(&b)
	got, err := peer.ReadFrame(r)
	require.NoError(t, err)
	var decoded forward.Job
	require.NoError(t, got.Decode(&decoded))
	require.Equal(t, job, decoded)
	got, err = peer.ReadFrame(r)
	require.NoError(t, err)
	require.Equal(t, peer.Kind(2), got.Kind)
	_, err = peer.ReadFrame(r)
	require.Equal(t, io.EOF, err)
}

func TestReadFrameRejectsInvalidInput(t *testing.T) {
	for _, test := range []struct {
		name string
		in   []byte
		kind peer.ErrorKind // empty for io.ErrUnexpectedEOF
	}{
		{"too large", []byte{0xff, 0xff, 0xff, 0xff, 0x7f, 1}, peer.TooLarge},
		{"length overflows", bytes.Repeat([]byte{0xff}, 11), peer.Malformed},
		{"truncated length", []byte{0x80}, ""},
		{"missing kind", []byte{3}, ""},
		{"truncated body", []byte{3, 1, 'a'}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := peer.ReadFrame(bufio.NewReader(bytes.NewReader(test.in)))
			if test.kind == "" {
				require.ErrorIs(t, err, io.ErrUnexpectedEOF)
				return
			}
			var e *peer.Error
			require.ErrorAs(t, err, &e)
			require.Equal(t, test.kind, e.Kind)
		})
	}
}

// FuzzFrame reads frames from arbitrary bytes and decodes them as each of the types that
// nodes exchange.
func FuzzFrame(f *testing.F) {
	for _, v := range []any{
		forward.Job{Server: "gpu-1", Prompt: "p"},
		forward.Reply{Token: "t", Load: &forward.Load{Running: 1}},
		member.Message{From: member.Node{Name: "n1"}, Entries: []member.Entry{{Key: "server/gpu-1", Value: []byte{1}}}},
	} {
		frame, err := peer.Encode(1, v)
		require.NoError(f, err)
		var b bytes.Buffer
		require.NoError(f, peer.WriteFrame(&b, frame))
		f.Add(b.Bytes())
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		r := bufio.NewReader(bytes.NewReader(in))
		for {
			frame, err := peer.ReadFrame(r)
			if err != nil {
				return
			}
			var job forward.Job
			var reply forward.Reply
			var message member.Message
			for _, v := range []any{&job, &reply, &message} {
				if frame.Decode(v) != nil {
					continue
				}
				_, err := peer.Encode(frame.Kind, v)
				require.NoError(t, err)
			}
		}
	})
}

// TestLongFramesAreCompressed writes the state of a hundred servers, as the leader sends it.
func TestLongFramesAreCompressed(t *testing.T) {
	type entry struct{ Server, Value string }
	var list []entry
	for i := range 100 {
		list = append(list, entry{fmt.Sprintf("i-%010x", i*7919), `{"state":"ready","zone":"z-1","models":[{"name":"m1","version":1}]}`})
	}
	f, err := peer.Encode(2, list)
	require.NoError(t, err)
	var b bytes.Buffer
	require.NoError(t, peer.WriteFrame(&b, f))
	require.Less(t, b.Len(), len(f.Body)/4, "less than a quarter of %d bytes", len(f.Body))
	got, err := peer.ReadFrame(bufio.NewReader(&b))
	require.NoError(t, err)
	require.Equal(t, f, got)
}

func TestCompressedFrameLimits(t *testing.T) {
	e, err := zstd.NewWriter(nil)
	require.NoError(t, err)
	for _, test := range []struct {
		name string
		body []byte
		kind peer.ErrorKind
	}{
		{"too large after decompression", e.EncodeAll(make([]byte, peer.MaxFrameBytes+1), nil), peer.TooLarge},
		{"invalid compressed body", []byte("not compressed"), peer.Malformed},
		{"truncated compressed body", e.EncodeAll(bytes.Repeat([]byte("abc"), 500), nil)[:20], peer.Malformed},
	} {
		t.Run(test.name, func(t *testing.T) {
			in := append(binary.AppendUvarint(nil, uint64(len(test.body))), 0x82)
			_, err := peer.ReadFrame(bufio.NewReader(bytes.NewReader(append(in, test.body...))))
			var peerErr *peer.Error
			require.ErrorAs(t, err, &peerErr)
			require.Equal(t, test.kind, peerErr.Kind)
		})
	}
	require.Panics(t, func() { _ = peer.WriteFrame(io.Discard, peer.Frame{Kind: 0x80}) }, "the kind collides with the flag for compression")
}
