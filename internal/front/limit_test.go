package front_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/platform"
	"guavapaddle/platform/standin"
)

const (
	limitWindow = 4 * time.Second // window in which a server's requests are counted
	limitFactor = 1.5             // factor by which its rate may be exceeded
	limitExtra  = 5               // further requests allowed
)

// maxInWindow returns the maximum number of requests that a server ran in any window.
func maxInWindow(runs []standin.RunRecord, window time.Duration) int {
	maximum := 0
	for i, first := range runs {
		n := 0
		for _, r := range runs[i:] {
			if r.At.Sub(first.At) < window {
				n++
			}
		}
		maximum = max(maximum, n)
	}
	return maximum
}

// offsets lists requests with their times since the first one.
func offsets(runs []standin.RunRecord) string {
	var out strings.Builder
	for _, r := range runs {
		fmt.Fprintf(&out, "%v %s\n", r.At.Sub(runs[0].At).Round(time.Millisecond), r.ID)
	}
	return out.String()
}

// sendLoad has each node send one request per interval for a duration, and returns the
// number of responses by status.
func (f *testCluster) sendLoad(path, model string, interval, duration time.Duration) map[int]int {
	var mu sync.Mutex
	var all sync.WaitGroup
	statuses := map[int]int{}
	for _, p := range f.nodes {
		all.Go(func() {
			tick := time.NewTicker(interval)
			defer tick.Stop()
			for n, start := 0, time.Now(); time.Since(start) < duration; n++ {
				<-tick.C
				all.Go(func() {
					status, _ := p.get(f.t, path, fmt.Sprintf("%s-%d", p.settings.Node, n), model)
					mu.Lock()
					defer mu.Unlock()
					statuses[status]++
				})
			}
		})
	}
	all.Wait()
	return statuses
}

func TestARateThatAServerNamesBindsAllNodesTogether(t *testing.T) {
	t.Parallel()
	const rate = 2.0
	for name, x := range serviceKinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, engine, plain := newCluster(t, 3)
			limited := plain
			other := (&standin.Worker{ID: "i-other", Stream: 5}).Hold("m0").Start(t)
			entry := other.Entry("plain", "z", false)
			if x.model != "" {
				limited, entry = engine, other.Entry("llm", "z", false)
			}
			f.store.Put(platform.TableServers, "i-other", entry)
			limited.SetRateLimit(rate)
			statuses := f.sendLoad(x.path, x.model, 50*time.Millisecond, 6*time.Second)
			require.LessOrEqual(t, maxInWindow(limited.RunRecords(), limitWindow), int(limitFactor*rate*limitWindow.Seconds())+limitExtra)
			require.NotEmpty(t, limited.RunRecords())
			sent := 0
			for _, n := range statuses {
				sent += n
			}
			require.GreaterOrEqual(t, statuses[200], sent*95/100, "the other server takes the remaining requests: %v", statuses)
		})
	}
}

// TestServerRateLimitHoldsWhileLeaderChanges guards against exceeding a server's
// rate limit during a change of leader. The leader is stopped under load, so that nodes
// select servers by themselves for a while and the next leader starts granting from an empty
// state.
func TestServerRateLimitHoldsWhileLeaderChanges(t *testing.T) {
	t.Parallel()
	const rate = 2.0
	f, engine, _ := newCluster(t, 4)
	engine.SetRateLimit(rate)
	stopped := make(chan struct{})
	time.AfterFunc(2*time.Second, func() {
		defer close(stopped)
		leaderRow := string(f.store.Row("lease", "orders").Value)
		for _, p := range f.nodes {
			if strings.Contains(leaderRow, `"node":"`+p.settings.Node+`"`) {
				p.stop()
			}
		}
	})
	statuses := f.sendLoad("/plans/x", "m0", 100*time.Millisecond, 7*time.Second)
	<-stopped
	require.LessOrEqual(t, maxInWindow(engine.RunRecords(), limitWindow), int(limitFactor*rate*limitWindow.Seconds())+limitExtra, offsets(engine.RunRecords()))
	require.GreaterOrEqual(t, len(engine.RunRecords()), 9, "more than half of what the server's limit allows: %v", statuses)
}
