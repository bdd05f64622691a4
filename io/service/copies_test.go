package service_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/testbed/rawhttp"
	"guavapaddle/io/service"
)

// TestLateCopyOfRefusalDoesNotAnswerNextCall guards against a call that is reported as not run while it runs: the copy of a refusal has the id of the call, and
// was taken for the response when the call was repeated over the same connection.
func TestLateCopyOfRefusalDoesNotAnswerNextCall(t *testing.T) {
	t.Parallel()
	for _, repeatable := range []bool{true, false} {
		sends := map[string]int{}
		c := &service.Client{Address: rawhttp.StartKept(t, func(r *http.Request) (response string, again bool) {
			id := r.Header.Get(service.RequestIDHeader)
			if sends[id]++; sends[id] == 1 {
				return fmt.Sprintf("HTTP/1.1 503 Full\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", service.RequestIDHeader, id, service.NotRunHeader), true
			}
			return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 6\r\n\r\nanswer", service.RequestIDHeader, id), false
		})}
		call := confirm("a")
		call.Repeatable = repeatable
		_, err := c.Do(t.Context(), call)
		require.True(t, service.NotRun(err), "%v", err)
		resp, err := c.Do(t.Context(), call)
		require.NoError(t, err)
		require.Equal(t, "answer", string(resp.Body))
		require.Equal(t, 2, sends["a"])
		c.Close()
	}
}
