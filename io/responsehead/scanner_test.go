package responsehead_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/io/responsehead"
)

const (
	ok          = "HTTP/1.1 200 OK\r\n"
	continue100 = "HTTP/1.1 100 Continue\r\n\r\n"
)

// scan passes a text to a new scanner in pieces.
func scan(text string, piece int) (*responsehead.Scanner, error) {
	var s responsehead.Scanner
	var err error
	for len(text) > 0 {
		n := min(piece, len(text))
		err = s.Scan([]byte(text[:n]))
		text = text[n:]
	}
	return &s, err
}

func TestMalformedHeadIsRejected(t *testing.T) {
	t.Parallel()
	for reason, list := range map[string][]string{
		"no status line": {"\r\n", "\r\n" + ok, "200 OK\r\n", "HTTP/2.0 200 OK\r\n", "HTTP/0.9 200 OK\r\n", "HTTP/1.1\r\n", "HTTP/1.x 200 OK\r\n", "http/1.1 200 OK\r\n",
			"HTTP/1.1\t200 OK\r\n", " " + ok, "SSH-2.0-x\r\n"},
		"invalid status code": {"HTTP/1.1 000 \r\n", "HTTP/1.1 000\n", "HTTP/1.1 099 x\r\n", "HTTP/1.1 600 x\r\n", "HTTP/1.1 999 x\r\n", "HTTP/1.1 2000 x\r\n",
			"HTTP/1.1 +20 x\r\n", "HTTP/1.1  200 OK\r\n", "HTTP/1.1 20x OK\r\n", "HTTP/1.1 2 0 OK\r\n", continue100 + "HTTP/1.1 000 x\r\n"},
		"an upgrade that wasn't requested":    {"HTTP/1.1 101 Switching Protocols\r\n"},
		"control byte":                        {"HTTP/1.1 200 O\x01K\r\n", "HTTP/1.1 200 O\rK\r\n", "HTTP/1.1 200 O\x00K\n"},
		"invalid field name":                  {ok + "X Y: a\r\n", ok + "X : a\r\n", ok + "X\t: a\r\n", ok + "Content-Length : 1\r\n", ok + "Transfer-Encoding : chunked\n", ok + "X\x00: a\r\n", ok + "X\x7f: a\r\n", ok + ": a\r\n", ok + "X\r\n", ok + "X(: a\r\n", ok + "X\xe9: a\r\n", "HTTP/1.1 103 Early Hints\r\nX Y: a\r\n"},
		"folded field that delimits the body": {ok + "Content-Length:\r\n 1\r\n", ok + "Transfer-Encoding: \r\n\tchunked\r\n"},
		"transfer encoding before HTTP/1.1":   {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n"},
		"ambiguous body length":               {ok + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", ok + "transfer-encoding: chunked\r\nX: y\r\ncontent-length: 1\r\n"},
	} {
		for _, text := range list {
			for _, piece := range []int{1, 7, len(text)} {
				s, err := scan(text, piece)
				var malformed *responsehead.MalformedError
				require.ErrorAs(t, err, &malformed, "%q", text)
				require.Equal(t, reason, malformed.Reason, "%q", text)
				require.Equal(t, err, s.Scan([]byte("x")), "it lasts")
				require.False(t, s.Done())
			}
		}
	}
}

func TestHeadIsFollowedToItsEnd(t *testing.T) {
	t.Parallel()
	for _, head := range []string{
		ok + "\r\n",
		"HTTP/1.1 200\r\n\r\n",
		"HTTP/1.1 200 \r\nX:\r\n\r\n",
		"HTTP/1.0 404 Not\xe9 Found\nX: a\n\n",
		"HTTP/1.1 599 x\r\nContent-Length: 1\r\nContent-Length: 1\r\nX: a\r\n b\r\n\r\n",
		continue100 + "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + ok + "Transfer-Encoding: chunked\r\n\r\n",
	} {
		for _, piece := range []int{1, 7, 1000} {
			s, err := scan(head, piece)
			require.NoError(t, err, "%q", head)
			require.True(t, s.Done(), "%q", head)
			require.NoError(t, s.Scan([]byte("HTTP/1.1 000 is a body\r\nX Y: z\r\n")))
			s.Reset()
			require.Error(t, s.Scan([]byte("HTTP/1.1 000 is a head\r\n")))
			s, err = scan(head[:len(head)-1], piece)
			require.NoError(t, err)
			require.False(t, s.Done())
		}
	}
}
