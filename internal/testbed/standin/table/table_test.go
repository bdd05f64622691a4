package table_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/testbed/standin/fault"
	"guavapaddle/internal/testbed/standin/table"
)

// TestCapacity checks that calls above the configured rate wait.
func TestCapacity(t *testing.T) {
	for _, c := range []struct {
		path string
		want time.Duration
	}{
		{"/table/v1/transact", 3 * time.Second},
		{"/table/v1/read", 750 * time.Millisecond},
		{"/table/v1/scan", 750 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			h := (&table.Table{WriteRate: 500, ReadRate: 2000}).Handler()
			start := time.Now()
			for range 1550 {
				w := httptest.NewRecorder()
				h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, c.path, strings.NewReader("{}")))
				require.Equal(t, http.StatusOK, w.Code)
			}
			require.InDelta(t, c.want, time.Since(start), float64(10*time.Millisecond), c.path)
		})
	}
}

// TestFaultsOverHTTP checks that faults which affect open connections exempt the
// connection of the call that sets them, and that faults can always be cleared.
func TestFaultsOverHTTP(t *testing.T) {
	s := &table.Table{}
	address, err := s.Start()
	require.NoError(t, err)
	defer s.Close()
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{}}
	post := func(path, body string) int {
		resp, err := client.Post("http://"+address+path, "application/json", strings.NewReader(body))
		if err != nil {
			return 0
		}
		_, _ = io.Copy(io.Discard, resp.Body) // so that the connection is reused
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	for _, c := range []struct {
		body string
		want int
	}{
		{`{"down":true}`, 0},
		{`{"black-hole":true}`, 0},
		{`{"refuse":true}`, http.StatusServiceUnavailable},
		{`{"silent":true}`, http.StatusOK},
		{`{}`, http.StatusOK},
	} {
		require.Equal(t, http.StatusNoContent, post("/fault", c.body), c.body)
		require.Equal(t, c.want, post("/table/v1/scan", "{}"), c.body)
	}
	require.Equal(t, http.StatusBadRequest, post("/fault", "down"))
	require.Equal(t, fault.Faults{}, s.Faults.Faults())
}
