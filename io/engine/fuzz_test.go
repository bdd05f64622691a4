package engine_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/backend"
	"guavapaddle/io/engine"
)

// FuzzStream feeds arbitrary bytes as a stream and checks that any response accepted as
// complete is valid: the tokens of the request from offset zero without a gap, up to a
// finish event. Run it with -fuzzminimizetime 1x: coverage varies between runs because of
// the network involved, so minimization would otherwise take up all the time.
func FuzzStream(f *testing.F) {
	const token, finish = `{"request-id":"r","offset":0,"token":" a"}`, `{"request-id":"r","offset":1,"finish":"stop"}`
	for _, seed := range []string{"", token, token + "\n" + finish, token + "\n" + finish + "\n", token + "\n" + token + "\n" + finish, "null\n", token + "\n\n" + finish} {
		f.Add([]byte(seed))
	}
	var body atomic.Pointer[[]byte]
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(*body.Load()) }))
	defer server.Close()
	c := &engine.Client{Address: server.Listener.Addr().String()}
	f.Fuzz(func(t *testing.T, b []byte) {
		body.Store(&b)
		tokens, err := generate(c, newRequest("r", 1))
		if err != nil {
			require.NotEmpty(t, engine.KindOf(err))
			return
		}
		var want []string
		for _, line := range bytes.Split(b, []byte("\n")) {
			var e backend.Event
			require.NoError(t, json.Unmarshal(line, &e))
			require.Equal(t, "r", e.RequestID)
			require.Equal(t, len(want), e.Offset)
			if e.Finish != "" {
				break
			}
			want = append(want, e.Token)
		}
		require.Equal(t, strings.Join(want, ""), strings.Join(tokens, ""))
	})
}
