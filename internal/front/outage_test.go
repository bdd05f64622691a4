package front_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/platform"
	"guavapaddle/platform/standin"
)

const (
	// outageTime is how long each server that starts ends again under its first requests.
	outageTime = 10 * time.Second
	// recoverTime is how long after the end of an outage, and after the start of nodes, requests must be served again.
	recoverTime = 5 * time.Second
	// measuredTime is how long after that requests are counted.
	measuredTime = 6 * time.Second
	// minRecovered is the share of requests, of those before the outage, that have to be served after it.
	minRecovered = 0.75
	// laterPath is a path of the route that was added later.
	laterPath = "/more/x"
)

// configWithLaterRoute returns a configuration with a route to the service that version 1 lacks.
func (f *crashCluster) configWithLaterRoute() string {
	route := `{"name":"more","host":"h.example","prefix":"/more/","kind":"safe","timeout-ms":3000,"service":"plain","max-attempts":2},`
	if f.model != "" {
		route = `{"name":"more","host":"h.example","prefix":"/more/","kind":"streaming","timeout-ms":5000,"target-latency-ms":600,"priority":1,"service":"llm","max-attempts":1},`
	}
	return strings.Replace(strings.Replace(configuration, `"version":1`, `"version":2`, 1), `"routes":[`, `"routes":[`+route, 1)
}

// sendRoutes sends requests on the first and on the later route in turn until the context ends, half of them copies of one another.
func (f *crashCluster) sendRoutes(ctx context.Context, interval time.Duration) {
	f.sendEach(ctx, interval, func(i int) (path, body, kind string) {
		path = []string{f.path, laterPath}[i%2]
		if i%4 < 2 {
			return path, "", path + " popular"
		}
		return path, fmt.Sprint("body ", i), path + " unlike"
	})
}

// servedOf returns the share of requests of a kind sent from a time on, until another, that were served, and their number.
func (f *crashCluster) servedOf(kind string, from, until time.Time) (share float64, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ok := 0
	for _, r := range f.sent {
		if r.first != kind || r.at.Before(from) || !r.at.Before(until) {
			continue
		}
		n++
		if r.served {
			ok++
		}
	}
	return float64(ok) / float64(max(1, n)), n
}

// setCrashPaths makes servers that start from now on crash on requests with the given paths, and ends all others.
func (f *crashCluster) setCrashPaths(paths ...string) {
	f.mu.Lock()
	f.paths = paths
	workers := slices.Clone(f.workers)
	f.mu.Unlock()
	for _, w := range workers {
		w.Crash()
	}
}

// TestServiceRecoversFromOutageOfAllServers guards against requests that are refused long after an outage of all servers of a
// service, in which each that starts ends again under its first requests.
func TestServiceRecoversFromOutageOfAllServers(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"engine", "plain"} {
		for name, x := range map[string]struct{ during, after func(f *crashCluster) }{
			"nodes stay":               {},
			"nodes start anew after":   {after: (*crashCluster).restartAll},
			"nodes start anew in it":   {during: (*crashCluster).restartAll},
			"nodes start anew in both": {during: (*crashCluster).restartAll, after: (*crashCluster).restartAll},
		} {
			t.Run(kind+" "+name, func(t *testing.T) {
				t.Parallel()
				f := &crashCluster{testCluster: &testCluster{t: t, store: standin.NewStore(t), lease: 3 * time.Second},
					service: "plain", path: serviceKinds[kind].path, model: serviceKinds[kind].model, rand: rand.New(rand.NewPCG(5, 6)), crashDelay: 30 * time.Millisecond}
				f.launchWith(4, 8)
				ctx, cancel := context.WithCancel(t.Context())
				var done sync.WaitGroup
				f.store.Put(platform.TableOperator, platform.KeyConfig, []byte(f.configWithLaterRoute()))
				<-time.After(2 * time.Second)
				done.Go(func() { f.sendRoutes(ctx, 40*time.Millisecond) })
				<-time.After(2 * time.Second)
				calm := time.Now()
				f.setCrashPaths(f.path, laterPath)
				<-time.After(outageTime / 2)
				if x.during != nil {
					x.during(f)
				}
				<-time.After(time.Until(calm.Add(outageTime)))
				f.setCrashPaths()
				if x.after != nil {
					x.after(f)
				}
				back := time.Now()
				<-time.After(recoverTime + measuredTime)
				cancel()
				done.Wait()
				end := time.Now()
				t.Logf("%d crashes; reasons from 1 s on %v", f.countCrashes(), f.reasons(back.Add(time.Second)))
				for _, path := range []string{f.path, laterPath} {
					for _, requests := range []string{path + " popular", path + " unlike"} {
						before, _ := f.servedOf(requests, time.Time{}, calm)
						early, _ := f.servedOf(requests, back.Add(time.Second), back.Add(recoverTime))
						share, n := f.servedOf(requests, back.Add(recoverTime), end)
						t.Logf("%s: %.2f served before, %.2f from 1 s on, %.2f of %d from %v on", requests, before, early, share, n, recoverTime)
						require.Greater(t, n, 20)
						require.GreaterOrEqual(t, share, minRecovered*before, "%s\n%s", requests, f.story())
					}
				}
			})
		}
	}
}

// TestPlainServiceOfOneRequestRecoversFromOutage guards against copies of one request, of which a plain service gets nothing else, that are refused
// long after an outage of all its servers.
func TestPlainServiceOfOneRequestRecoversFromOutage(t *testing.T) {
	t.Parallel()
	const calm, outage, measured = 2 * time.Second, 15 * time.Second, 8 * time.Second
	for name, x := range map[string]struct {
		servers int
		calm    time.Duration // of requests before the outage
		restart bool          // all nodes start anew after it
	}{
		"from the start":           {servers: 4},
		"from the start, restarts": {servers: 2, restart: true},
		"later":                    {servers: 4, calm: calm},
		"later, longer calm":       {servers: 4, calm: 3 * time.Second},
		"later, two servers":       {servers: 2, calm: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := &crashCluster{testCluster: &testCluster{t: t, store: standin.NewStore(t), lease: 3 * time.Second},
				service: "plain", path: serviceKinds["plain"].path, rand: rand.New(rand.NewPCG(5, 6)), crashDelay: 100 * time.Millisecond}
			f.launchWith(4, x.servers)
			ctx, cancel := context.WithCancel(t.Context())
			var done sync.WaitGroup
			if x.calm == 0 {
				f.setCrashPaths(f.path)
			}
			done.Go(func() {
				f.sendEach(ctx, 40*time.Millisecond, func(int) (path, body, kind string) { return f.path, "", "copy" })
			})
			<-time.After(x.calm)
			if x.calm > 0 {
				f.setCrashPaths(f.path)
			}
			<-time.After(outage)
			f.setCrashPaths()
			if x.restart {
				f.restartAll()
			}
			back := time.Now()
			<-time.After(recoverTime + measured)
			cancel()
			done.Wait()
			share, n := f.servedOf("copy", back.Add(recoverTime), time.Now())
			t.Logf("%.2f of %d served from %v on; %d crashes", share, n, recoverTime, f.countCrashes())
			require.GreaterOrEqual(t, share, minRecovered, "%s", f.story())
		})
	}
}
