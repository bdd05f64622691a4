package front_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/front"
	"guavapaddle/platform"
	"guavapaddle/platform/standin"
)

const (
	// hotShare is the share of the requests that one node receives.
	hotShare = 9.0 / 10
	// minHotServed is the least share of these that is served, of the share in the seconds before.
	minHotServed = 3.0 / 4
)

// sendSpread sends requests at a rate, per second, for a duration: the share hot of them at one node, the rest at the others. It returns
// the share of those sent after the time settled that was served.
func (f *testCluster) sendSpread(x struct{ path, model string }, perSecond float64, hotNode int, hot float64, settled, duration time.Duration) float64 {
	var all sync.WaitGroup
	var mu sync.Mutex
	sent, served := 0, 0
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	owed := 0.0
	for n, start := 0, time.Now(); time.Since(start) < duration; n++ {
		<-tick.C
		p := f.nodes[hotNode]
		if owed += 1 - hot; owed >= 1 {
			owed--
			p = f.nodes[(hotNode+1+n%(len(f.nodes)-1))%len(f.nodes)]
		}
		counts := time.Since(start) > settled
		all.Go(func() {
			status, _ := p.get(f.t, x.path, fmt.Sprint(p.settings.Node, "-", start.UnixNano(), "-", n), x.model)
			mu.Lock()
			defer mu.Unlock()
			if counts {
				sent++
				if status == 200 {
					served++
				}
			}
		})
	}
	all.Wait()
	return float64(served) / float64(max(1, sent))
}

// TestNodeWithMostConnectionsServesFirstTries guards against a node that gets most new connections, and has only an even share of what
// all nodes may send to servers that name a rate or are brittle.
func TestNodeWithMostConnectionsServesFirstTries(t *testing.T) {
	t.Parallel()
	const rate, perSecond = 50.0, 60.0
	for name, x := range serviceKinds {
		for kind, setUp := range map[string]func(w *standin.Worker){
			"free":    func(*standin.Worker) {},
			"rate":    func(w *standin.Worker) { w.SetRateLimit(rate) },
			"brittle": func(w *standin.Worker) { w.SetBrittle(2, noticeTime) },
		} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				t.Parallel()
				f := &testCluster{t: t, store: standin.NewStore(t), lease: 3 * time.Second, adjust: func(s *front.Settings) { s.Descriptors = 600 }}
				var workers []*standin.Worker
				for i := range 2 {
					w := &standin.Worker{ID: fmt.Sprint("i-", i), Capacity: 8}
					service := "plain"
					if x.model != "" {
						w.Hold("m0")
						w.Stream, service = 3, "llm"
					}
					w.Start(t)
					f.store.Put(platform.TableServers, w.ID, w.Entry(service, "z", false))
					workers = append(workers, w)
				}
				engine, plain := f.run(4, configuration)
				engine.SetScript(standin.Shed)
				plain.SetScript(standin.Shed)
				f.store.Drop(platform.TableServers, "i-engine")
				f.store.Drop(platform.TableServers, "i-plain")
				f.waitForLeader()
				for _, w := range workers {
					setUp(w)
				}
				before := f.sendSpread(x, perSecond, 0, 0.25, 2*time.Second, 5*time.Second)
				for hot := range 2 {
					share := f.sendSpread(x, perSecond, hot, hotShare, noticeTime, 6*time.Second)
					t.Logf("node %d: %.2f before, %.2f after", hot, before, share)
					require.GreaterOrEqual(t, share, minHotServed*before, "node %d", hot)
				}
				for _, w := range workers {
					if kind == "rate" {
						require.LessOrEqual(t, maxInWindow(w.RunRecords(), limitWindow), int(limitFactor*rate*limitWindow.Seconds())+limitExtra)
					}
					require.Empty(t, w.Falls())
				}
			})
		}
	}
}
