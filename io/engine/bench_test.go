package engine_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"guavapaddle/io/engine"
)

// BenchmarkGenerate measures a stream of 16 tokens on its own connection, including the cost
// on the server side.
func BenchmarkGenerate(b *testing.B) {
	var body strings.Builder
	for i := range 16 {
		fmt.Fprintf(&body, `{"request-id":"r","offset":%d,"token":" t123456"}`+"\n", i)
	}
	body.WriteString(`{"request-id":"r","offset":16,"finish":"length"}` + "\n")
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, body.String())
	}))
	defer server.Close()
	c := &engine.Client{Address: server.Listener.Addr().String()}
	for b.Loop() {
		if _, err := generate(c, newRequest("r", 16)); err != nil {
			b.Fatal(err)
		}
	}
}
