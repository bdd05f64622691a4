package main

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// reply is what a client got.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error // the answer is incomplete, or there is none
}

func newID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// ask sends one request on a new connection and reads the answer.
func ask(address, method, path, host string, header map[string]string, body []byte, limit time.Duration) reply {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(limit))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Guavapaddle-Request-Deadline-Ms: %d\r\n", method, path, host, limit.Milliseconds())
	for n, v := range header {
		b.WriteString(n + ": " + v + "\r\n")
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	if _, err := c.Write(b.Bytes()); err != nil {
		return reply{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: got, err: err}
}
