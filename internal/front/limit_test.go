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
	limitSpan  = 4 * time.Second // over which a server's requests are counted
	limitPart  = 1.5             // of its rate that it may get
	limitExtra = 5               // requests beyond
)

// mostIn returns the most requests that a server ran in any span.
func mostIn(ran []standin.Ran, span time.Duration) int {
	most := 0
	for i, first := range ran {
		n := 0
		for _, r := range ran[i:] {
			if r.At.Sub(first.At) < span {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// offsets lists requests with their times since the first one.
func offsets(ran []standin.Ran) string {
	var out strings.Builder
	for _, r := range ran {
		fmt.Fprintf(&out, "%v %s\n", r.At.Sub(ran[0].At).Round(time.Millisecond), r.ID)
	}
	return out.String()
}

// press has all nodes send requests, each some a second, for a time, and returns how many of
// each status there were.
func (f *fleetRig) press(path, model string, every, lasts time.Duration) map[int]int {
	var mu sync.Mutex
	var all sync.WaitGroup
	statuses := map[int]int{}
	for _, p := range f.nodes {
		all.Go(func() {
			tick := time.NewTicker(every)
			defer tick.Stop()
			for n, began := 0, time.Now(); time.Since(began) < lasts; n++ {
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
	for name, x := range bothKinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, engine, plain := newFleet(t, 3)
			limited := plain
			other := (&standin.Worker{ID: "i-other", Stream: 5}).Hold("m0").Start(t)
			entry := other.Entry("plain", "z", false)
			if x.model != "" {
				limited, entry = engine, other.Entry("llm", "z", false)
			}
			f.store.Put(platform.TableServers, "i-other", entry)
			limited.NameRate(rate)
			statuses := f.press(x.path, x.model, 50*time.Millisecond, 6*time.Second)
			require.LessOrEqual(t, mostIn(limited.Ran(), limitSpan), int(limitPart*rate*limitSpan.Seconds())+limitExtra)
			require.NotEmpty(t, limited.Ran())
			sent := 0
			for _, n := range statuses {
				sent += n
			}
			require.GreaterOrEqual(t, statuses[200], sent*95/100, "the other server takes what is left: %v", statuses)
		})
	}
}

// TestARateThatAServerNamesBindsWhileTheHolderChanges stops the node that grants places
// while nodes press, so that they pick servers by themselves and the next one grants anew.
func TestARateThatAServerNamesBindsWhileTheHolderChanges(t *testing.T) {
	t.Parallel()
	const rate = 2.0
	f, engine, _ := newFleet(t, 4)
	engine.NameRate(rate)
	stopped := make(chan struct{})
	time.AfterFunc(2*time.Second, func() {
		defer close(stopped)
		holder := string(f.store.Row("lease", "orders").Value)
		for _, p := range f.nodes {
			if strings.Contains(holder, `"node":"`+p.settings.Node+`"`) {
				p.stop()
			}
		}
	})
	statuses := f.press("/plans/x", "m0", 100*time.Millisecond, 7*time.Second)
	<-stopped
	require.LessOrEqual(t, mostIn(engine.Ran(), limitSpan), int(limitPart*rate*limitSpan.Seconds())+limitExtra, offsets(engine.Ran()))
	require.GreaterOrEqual(t, len(engine.Ran()), 9, "half of what the server takes, and more: %v", statuses)
}
