package peer_test

import (
	"bufio"
	"bytes"
	"io"
	"testing"

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
	var back forward.Job
	require.NoError(t, got.Decode(&back))
	require.Equal(t, job, back)
	got, err = peer.ReadFrame(r)
	require.NoError(t, err)
	require.Equal(t, peer.Kind(2), got.Kind)
	_, err = peer.ReadFrame(r)
	require.Equal(t, io.EOF, err)
}

func TestReadFrameRefuses(t *testing.T) {
	for _, test := range []struct {
		name string
		in   []byte
		kind peer.ErrorKind // empty for an unexpected end
	}{
		{"too large", []byte{0xff, 0xff, 0xff, 0xff, 0x7f, 1}, peer.TooLarge},
		{"length overflows", bytes.Repeat([]byte{0xff}, 11), peer.Malformed},
		{"cut in the length", []byte{0x80}, ""},
		{"cut before the kind", []byte{3}, ""},
		{"cut in the body", []byte{3, 1, 'a'}, ""},
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

// FuzzFrame reads frames of any bytes as every type that nodes exchange.
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
