package weights_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/testbed/standin/weights"
)

// TestLoadTimes checks when loads that are requested concurrently complete: the rate
// limit spaces their starts, and more than FullSpeed concurrent loads share the speed.
func TestLoadTimes(t *testing.T) {
	for _, c := range []struct {
		name  string
		store *weights.Store
		loads int
		want  []time.Duration // durations, in order of completion
	}{
		{"alone", &weights.Store{Rate: 1000, LoadTime: time.Second}, 1, []time.Duration{time.Second}},
		{"spaced", &weights.Store{Rate: 2, FullSpeed: 7, LoadTime: 100 * time.Millisecond}, 3,
			[]time.Duration{100 * time.Millisecond, 600 * time.Millisecond, 1100 * time.Millisecond}},
		{"shared", &weights.Store{Rate: 1e9, FullSpeed: 2, LoadTime: time.Second}, 4,
			[]time.Duration{2 * time.Second, 2 * time.Second, 2 * time.Second, 2 * time.Second}},
		{"bytes", &weights.Store{Rate: 1000, LoadTime: time.Second, BytesPerSecond: 50}, 1, []time.Duration{3 * time.Second}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := c.store.Handler()
				defer c.store.Stop()
				start := time.Now()
				var mu sync.Mutex
				var got []time.Duration
				var wg sync.WaitGroup
				for range c.loads {
					wg.Go(func() {
						require.Equal(t, http.StatusOK, load(h, 100))
						mu.Lock()
						defer mu.Unlock()
						got = append(got, time.Since(start))
					})
				}
				wg.Wait()
				require.Len(t, got, len(c.want))
				for i := range got {
					require.InDelta(t, c.want[i].Seconds(), got[i].Seconds(), 0.001)
				}
			})
		})
	}
}

// load requests a load of n bytes and returns the status code of the response.
func load(h http.Handler, n int64) int {
	body, _ := json.Marshal(weights.LoadRequest{Item: "m@1", Bytes: n})
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, weights.LoadPath, bytes.NewReader(body)))
	return w.Code
}
