package vmlist_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/testbed/standin/vmlist"
	iovmlist "guavapaddle/io/vmlist"
)

// TestLag checks that a change is listed only after the lag, and that VMs in state
// Gone are removed from the list.
func TestLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &vmlist.List{Lag: 2 * time.Second}
		h := l.Handler()
		l.Set(iovmlist.VM{Name: "a", State: iovmlist.Live})
		require.Empty(t, list(t, h))
		time.Sleep(2 * time.Second)
		l.Set(iovmlist.VM{Name: "a", State: iovmlist.Gone})
		require.Equal(t, []iovmlist.VM{{Name: "a", State: iovmlist.Live}}, list(t, h))
		time.Sleep(2 * time.Second)
		require.Empty(t, list(t, h))
	})
}

// list returns the listed VMs.
func list(t *testing.T, h http.Handler) []iovmlist.VM {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, iovmlist.ListPath, nil))
	var out iovmlist.List
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &out))
	return out.VMs
}
