package front_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"guavapaddle/internal/front"
	"guavapaddle/platform"
	"guavapaddle/platform/standin"
)

// storePath is a path to a store that can be lost.
type storePath struct {
	address string
	lost    atomic.Bool
}

// newStorePath returns a path to a store until the end of the test.
func newStorePath(t *testing.T, store *standin.Store) *storePath {
	p := &storePath{}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store.Address()})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.lost.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		proxy.ServeHTTP(w, r)
	}))
	t.Cleanup(s.Close)
	p.address = s.Listener.Addr().String()
	return p
}

// withMoreRoutes returns the configuration with another version and so many more routes.
func withMoreRoutes(version, routes int) []byte {
	var more strings.Builder
	for i := range routes {
		fmt.Fprintf(&more, `{"name":"more%d","host":"h.example","prefix":"/more%d/","kind":"safe","timeout-ms":3000,"service":"plain","max-attempts":2},`, i, i)
	}
	c := strings.Replace(configuration, `"version":1`, fmt.Sprint(`"version":`, version), 1)
	return []byte(strings.Replace(c, `"routes":[`, `"routes":[`+more.String(), 1))
}

// TestNewConfigurationNeedsNoPathToStore guards against a node that the leader replies to, and that doesn't get the configuration since its own
// calls to the store fail.
func TestNewConfigurationNeedsNoPathToStore(t *testing.T) {
	f := &testCluster{t: t, store: standin.NewStore(t)}
	path := newStorePath(t, f.store)
	f.adjust = func(s *front.Settings) {
		if s.Node != "n0" {
			s.Store = path.address
		}
	}
	f.run(1, configuration)
	f.waitForLeader()
	p := f.start("n1")
	require.Eventually(t, func() bool { return p.logs.FilterMessage("leader-reached").Len() > 0 && p.ready() }, 5*time.Second, 5*time.Millisecond)
	path.lost.Store(true)
	f.store.Put(platform.TableOperator, platform.KeyConfig, withMoreRoutes(2, 60))
	id := 0
	require.Eventually(t, func() bool {
		id++
		status, _ := p.get(t, "/more59/x", fmt.Sprint(id), "")
		return status == http.StatusOK
	}, 2*time.Second, 10*time.Millisecond)
}

// TestOverloadThatEndedDoesNotMakeConfigurationNew guards against a node that runs requests by an outdated configuration once it counts its
// overload as over, before it has read the configuration again.
func TestOverloadThatEndedDoesNotMakeConfigurationNew(t *testing.T) {
	f, get := runLimited(t, func(s *front.Settings) { s.ApplyMS = 500 })
	p := f.nodes[0]
	f.store.Outage(true)
	require.Eventually(t, func() bool { return p.logs.FilterMessage("store-lost").Len() > 0 }, 10*time.Second, 10*time.Millisecond)
	endDelay := delayLink(t)
	require.Eventually(t, func() bool {
		get()
		return p.logs.FilterMessage("request").FilterField(zap.String("reason", "stale-config")).Len() > 0
	}, 20*time.Second, time.Millisecond)
	endDelay()
	require.Eventually(t, func() bool { return p.logs.FilterMessage("overload-ended").Len() > 0 }, 20*time.Second, time.Millisecond)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		require.NotEqual(t, http.StatusOK, get())
	}
	f.store.Outage(false)
	require.Eventually(t, func() bool { return get() == http.StatusOK }, 10*time.Second, 10*time.Millisecond)
}

// TestNewConfigurationIsKnownWhileLeaderLosesStore guards against nodes that rely on the replies of a leader which doesn't get the configuration
// itself.
func TestNewConfigurationIsKnownWhileLeaderLosesStore(t *testing.T) {
	f := &testCluster{t: t, store: standin.NewStore(t), lease: 3 * time.Second}
	path := newStorePath(t, f.store)
	f.adjust = func(s *front.Settings) {
		if s.Node == "n0" {
			s.Store = path.address
		}
	}
	f.run(1, configuration)
	f.waitForLeader()
	for _, name := range []string{"n1", "n2"} {
		f.start(name)
	}
	require.Eventually(t, func() bool {
		deputies := 0
		for _, p := range f.nodes[1:] {
			deputies += p.logs.FilterMessage("deputy").Len()
		}
		return deputies > 0 && f.nodes[1].ready() && f.nodes[2].ready()
	}, 5*time.Second, 5*time.Millisecond)
	path.lost.Store(true)
	<-time.After(time.Second)
	f.store.Put(platform.TableOperator, platform.KeyConfig, withMoreRoutes(2, 60))
	written := time.Now()
	for i, p := range f.nodes {
		id := 0
		require.Eventually(t, func() bool {
			id++
			status, _ := p.get(t, "/more59/x", fmt.Sprint(i, "-", id), "")
			return status == http.StatusOK
		}, time.Until(written.Add(2*time.Second)), 10*time.Millisecond, "node %d", i)
	}
}
