package sse_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/sse"
)

func TestScan(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		name    string
		stream  string
		whole   int // bytes before the last point between two events
		inEvent bool
		lastID  string
	}{
		{"nothing", "", 0, false, ""},
		{"one event", "id: 1\ndata: a\n\n", 15, false, "1"},
		{"end in a line", "id: 1\ndata: a\n\nid: 2\nda", 15, true, "1"},
		{"end after a line", "id: 1\ndata: a\n\nid: 2\n", 15, true, "1"},
		{"CR LF", "id: 1\r\ndata: a\r\n\r\n", 18, false, "1"},
		{"CR LF, end in the line ending of an event", "id: 1\r\ndata: a\r\n\r", 17, false, "1"},
		{"CR LF, end before the blank line", "id: 1\r\ndata: a\r\n", 0, true, ""},
		{"CR", "id: 1\rdata: a\r\r", 15, false, "1"},
		{"mixed line endings", "id:1\rdata: a\n\r\nid: 2\r\n\n", 23, false, "2"},
		{"comment", ": alive\n", 8, false, ""},
		{"comment in an event", "id: 3\n: alive\n", 0, true, ""},
		{"comment that is broken off", ":ali", 0, true, ""},
		{"comment with an id", ":id: 4\n\n", 8, false, ""},
		{"blank lines", "\n\n\r\n", 4, false, ""},
		{"empty event", "id: 5\n\n", 7, false, "5"},
		{"event without an id", "id: 6\n\ndata: a\n\n", 16, false, "6"},
		{"id without a value", "id: 6\n\nid\n\n", 11, false, ""},
		{"field whose name begins with id", "ident: 7\n\n", 10, false, ""},
		{"id that is too long", "id: 8\n\nid: " + strings.Repeat("9", 5000) + "\n\n", 5013, false, "8"},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			var whole sse.Scanner
			require.Equal(t, x.whole, whole.Scan([]byte(x.stream)))
			require.Equal(t, x.inEvent, whole.InEvent())
			require.Equal(t, x.lastID, whole.LastID())
			for size := 1; size <= 3; size++ {
				var s sse.Scanner
				end := 0
				for at := 0; at < len(x.stream); at += size {
					piece := x.stream[at:min(at+size, len(x.stream))]
					if n := s.Scan([]byte(piece)); n > 0 {
						end = at + n
					}
				}
				require.Equal(t, x.whole, end, "in pieces of %d", size)
				require.Equal(t, x.inEvent, s.InEvent(), "in pieces of %d", size)
				require.Equal(t, x.lastID, s.LastID(), "in pieces of %d", size)
			}
		})
	}
}

func TestIsWhole(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		contentType, body string
		want              bool
	}{
		{"text/event-stream", "data: a\n\n", true},
		{"text/event-stream; charset=utf-8", "data: a\n\nda", false},
		{"Text/Event-Stream", "data: a\n", false},
		{"text/plain", "data: a", true},
		{"", "data: a", true},
		{";", "data: a", true},
	} {
		require.Equal(t, x.want, sse.IsWhole(x.contentType, []byte(x.body)), "%+v", x)
	}
}

func ExampleScanner() {
	var s sse.Scanner
	piece := []byte("id: 1\ndata: a\n\nid: 2\ndat")
	n := s.Scan(piece)
	fmt.Printf("%q, broken off after %s: %t\n", piece[n:], s.LastID(), s.InEvent())
	// Output: "id: 2\ndat", broken off after 1: true
}
