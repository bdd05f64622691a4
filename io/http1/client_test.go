package http1_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/io/http1"
)

// startServer runs a TCP server that passes each connection, with its number, to serve, and
// returns its address.
func startServer(t *testing.T, serve func(n int, c net.Conn, br *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(n, c, bufio.NewReader(c))
		}
	}()
	return l.Addr().String()
}

// call makes one request through a pool and returns the response body and the connection.
func call(t *testing.T, p *http1.Pool, address string) (string, *http1.Conn) {
	t.Helper()
	c, err := p.Get(context.Background(), address, http1.Need{IdleShare: 1})
	require.NoError(t, err)
	_, err = c.Send(http1.ClientRequest{Method: "GET", Target: "/", Host: "h", Header: http.Header{}}, time.Now().Add(5*time.Second))
	require.NoError(t, err)
	resp, err := c.Receive()
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	b, release, err := (&http1.Buffers{Max: 1 << 20}).ReadBody(resp, 1000)
	require.NoError(t, err)
	defer release()
	_ = p.Put(c, resp, 0)
	return string(b), c
}

func TestConnectionIsReused(t *testing.T) {
	address := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	p := &http1.Pool{}
	for range 3 {
		body, _ := call(t, p, address)
		require.Equal(t, "ok", body)
	}
	require.EqualValues(t, 1, p.Opened.Load())
}

func TestUncleanConnectionIsNotReused(t *testing.T) {
	for name, text := range map[string]string{
		"connection close":        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"trailing bytes":          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokmore",
		"zero keep-alive timeout": "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			address := startServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
				for {
					if _, err := http.ReadRequest(br); err != nil {
						return
					}
					_, _ = io.WriteString(c, text)
				}
			})
			p := &http1.Pool{}
			call(t, p, address)
			call(t, p, address)
			require.EqualValues(t, 2, p.Opened.Load())
		})
	}
}

func TestIdleConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	writeLate, sent := make(chan struct{}), make(chan struct{})
	address := startServer(t, func(n int, c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		if n == 0 {
			<-writeLate
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
			close(sent)
		}
	})
	p := &http1.Pool{}
	call(t, p, address)
	close(writeLate)
	<-sent
	body, _ := call(t, p, address)
	require.Equal(t, "ok", body)
	require.EqualValues(t, 2, p.Opened.Load())
}

func TestGetFailsIfServerRefusesConnection(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	_, err = (&http1.Pool{}).Get(context.Background(), address, http1.Need{IdleShare: 1})
	require.Error(t, err)
}

// FuzzReadResponse checks that a truncated response is never reported as complete, whatever
// bytes the server sends.
func FuzzReadResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"))
	f.Fuzz(func(t *testing.T, b []byte) {
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(b)), &http.Request{Method: "GET"})
		if err != nil {
			return
		}
		defer func() { _ = resp.Body.Close() }()
		body, release, err := (&http1.Buffers{Max: 1 << 20}).ReadBody(resp, 1<<16)
		defer release()
		if err == nil && resp.ContentLength > 0 {
			require.EqualValues(t, resp.ContentLength, len(body))
		}
		if err == nil && len(resp.TransferEncoding) > 0 {
			require.Contains(t, string(b), "0")
		}
	})
}

func TestEndToEndRemovesHopByHopFields(t *testing.T) {
	h := http.Header{"Connection": {"X-A, keep-alive"}, "X-A": {"1"}, "X-B": {"2"}, "Keep-Alive": {"timeout=3"}, "Te": {"x"}}
	require.Equal(t, http.Header{"X-B": {"2"}}, http1.EndToEnd(h))
}
