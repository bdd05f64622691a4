package front_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/front"
	"guavapaddle/internal/testbed/await"
	"guavapaddle/internal/testbed/cutpath"

	"guavapaddle/platform/standin"
)

const (
	// copyBound is how many copies of a request that crashes servers may reach servers later than noticeTime after the third crash.
	copyBound = 3
	// crashesBeforeBound is the number of crashes from which on the bound counts.
	crashesBeforeBound = 3
	// leaveAfter is how long clients wait that leave before their request has crashed the server.
	leaveAfter = 60 * time.Millisecond
	// silentLapse is how long after its crash the entry of a silent server lapses: three heartbeats of its platform.
	silentLapse = 2 * time.Second
	// badPath is the path, below the one of the kind of service, of the request that crashes servers, and popularPath of a sound one
	// of which many copies come.
	badPath, popularPath = "bad", "popular"
)

// copyLoad is how clients send copies of one request that crashes servers.
type copyLoad struct {
	interval time.Duration
	together int           // copies sent at once, each to another node
	leave    time.Duration // after which clients leave, zero to wait for the response
	duration time.Duration // from the bound on
}

// newCopyCluster starts nodes and servers that crash on one request.
func newCopyCluster(t *testing.T, nodes, servers int, kind string, change func(f *crashCluster)) *crashCluster {
	t.Helper()
	f := &crashCluster{testCluster: &testCluster{t: t, store: standin.NewStore(t), lease: 3 * time.Second},
		service: "plain", path: serviceKinds[kind].path, model: serviceKinds[kind].model, rand: rand.New(rand.NewPCG(3, 4)), crashDelay: 100 * time.Millisecond}
	f.paths = []string{f.below(badPath)}
	if change != nil {
		change(f)
	}
	f.launchWith(nodes, servers)
	return f
}

// below returns a path below the one of the kind of service.
func (f *crashCluster) below(name string) string { return strings.TrimSuffix(f.path, "x") + name }

// request sends a request to a node and returns the status, 0 if the response was not complete. Requests with the same path and body are
// copies. A client leaves after a time, unless that is zero.
func (f *crashCluster) request(p *testNode, id, path, body string, leave time.Duration) int {
	if p == nil {
		return 0
	}
	if leave == 0 {
		leave = 5 * time.Second
	}
	ctx, cancel := context.WithTimeout(context.Background(), leave)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.settings.Clients+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.GetBody = nil // the client doesn't repeat it by itself
	req.Host = "h.example"
	req.Header.Set("X-Guavapaddle-Request-Id", id)
	if f.model != "" {
		req.Header.Set("X-Guavapaddle-Model", f.model)
		req.Header.Set("X-Guavapaddle-Token-Count", "100,10")
		req.Header.Set("X-Guavapaddle-Prompt-Prefix", "a0:50,b0:20,own:30")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// sendSound sends sound requests until the context ends, half of them copies of one another.
func (f *crashCluster) sendSound(ctx context.Context, interval time.Duration) {
	f.sendEach(ctx, interval, func(i int) (path, body, kind string) {
		if i%2 == 0 {
			return f.below(popularPath), "", "popular"
		}
		return f.below(fmt.Sprint("own", i)), fmt.Sprint("body ", i), "unlike"
	})
}

// sendEach sends the request that next returns for each number at an interval, each to any node, until the context ends, and records how it ended under
// its kind.
func (f *crashCluster) sendEach(ctx context.Context, interval time.Duration, next func(i int) (path, body, kind string)) {
	var all sync.WaitGroup
	defer all.Wait()
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		path, body, kind := next(i)
		all.Go(func() {
			at := time.Now()
			status := f.request(f.pickNode(), fmt.Sprint("s", i), path, body, 0)
			f.mu.Lock()
			f.sent = append(f.sent, crashRequest{at: at, first: kind, served: status == http.StatusOK})
			f.mu.Unlock()
		})
	}
}

// sendCopies sends copies of the request that crashes servers until the context ends, each to the next node.
func (f *crashCluster) sendCopies(ctx context.Context, l copyLoad) {
	var all sync.WaitGroup
	defer all.Wait()
	tick := time.NewTicker(l.interval)
	defer tick.Stop()
	for i := 0; ; i++ {
		for k := range max(1, l.together) {
			p := f.nextNode(i*max(1, l.together) + k)
			all.Go(func() { f.request(p, fmt.Sprint("p", i, "-", k), f.paths[0], "the same", l.leave) })
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// nextNode returns the nodes that clients reach in turn, nil if there is none.
func (f *crashCluster) nextNode(i int) *testNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.targets) == 0 {
		return nil
	}
	return f.targets[i%len(f.targets)]
}

// copies returns how many copies of the request that crashes servers have reached servers since a time.
func (f *crashCluster) copies(since time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		for _, v := range w.Visits() {
			if v.CrashPath != "" && v.At.After(since) {
				n++
			}
		}
	}
	return n
}

// playCopies sends sound requests alone, then copies of one that crashes servers beside them, calls during after the third crash, and
// checks the bounds.
func (f *crashCluster) playCopies(l copyLoad, during func()) {
	f.t.Helper()
	const interval = 20 * time.Millisecond
	ctx, cancel := context.WithCancel(f.t.Context())
	var done sync.WaitGroup
	done.Go(func() { f.sendSound(ctx, interval) })
	<-time.After(1500 * time.Millisecond)
	calm := time.Now()
	done.Go(func() { f.sendCopies(ctx, l) })
	f.awaitCrash(crashesBeforeBound)
	third := f.crashTime(crashesBeforeBound)
	if during != nil {
		during()
	}
	<-time.After(time.Until(third.Add(noticeTime + max(l.duration, 5*time.Second))))
	end := time.Now()
	cancel()
	done.Wait()
	bound := third.Add(noticeTime)
	before, _ := f.served(time.Time{}, calm)
	share, n := f.served(third.Add(2*noticeTime), end)
	f.t.Logf("%d copies sent to servers, %d of them later than %v after the third crash; %d crashes; sound requests served: %.2f before, %.2f of %d after",
		f.copies(time.Time{}), f.copies(bound), noticeTime, f.countCrashes(), before, share, n)
	require.LessOrEqual(f.t, f.copies(bound), copyBound, "%s", f.story())
	require.Greater(f.t, n, 20)
	require.GreaterOrEqual(f.t, share, minServed*before)
	require.Zero(f.t, f.soundRefusals())
}

// soundRefusals returns how many sound requests were refused as ones that crash servers.
func (f *crashCluster) soundRefusals() int {
	n := 0
	for _, p := range f.nodes {
		for _, e := range p.logs.FilterMessage("request").All() {
			m := e.ContextMap()
			id, _ := m["request-id"].(string)
			if reason := fmt.Sprint(m["reason"]); strings.HasPrefix(id, "s") && (reason == "crashes" || reason == "prompt-crashes") {
				n++
			}
		}
	}
	return n
}

// joinNode starts another node, which clients reach when it is ready.
func (f *crashCluster) joinNode(name string) {
	f.t.Helper()
	p := f.start(name)
	require.Eventually(f.t, p.ready, 8*time.Second, 5*time.Millisecond)
	f.addTarget(p)
}

// replaceNode stops a node, and starts another one in its place once it has stopped.
func (f *crashCluster) replaceNode(p *testNode) {
	f.t.Helper()
	f.stopNode(p)
	require.NoError(f.t, await.Value(f.t, p.done, "the node's end"))
	p.done <- nil // read again by the cleanup
	f.joinNode(p.settings.Node + "-next")
}

// TestCopiesThatCrashServersAreRefused guards against copies of one request, each at another node, that crash one server after the
// other.
func TestCopiesThatCrashServersAreRefused(t *testing.T) {
	t.Parallel()
	steady := copyLoad{interval: 200 * time.Millisecond}
	for name, x := range map[string]struct {
		kind   string
		load   copyLoad
		change func(f *crashCluster)
	}{
		"engine":          {"engine", steady, nil},
		"plain":           {"plain", steady, nil},
		"engine, slow":    {"engine", copyLoad{interval: time.Second, duration: 10 * time.Second}, nil},
		"plain, slow":     {"plain", copyLoad{interval: time.Second, duration: 10 * time.Second}, nil},
		"engine together": {"engine", copyLoad{interval: 3500 * time.Millisecond, together: 3, duration: 16 * time.Second}, nil},
		"plain together":  {"plain", copyLoad{interval: 3500 * time.Millisecond, together: 3, duration: 16 * time.Second}, nil},
		"engine, closed":  {"engine", steady, func(f *crashCluster) { f.crashEnd = standin.EndClose }},
		"plain, closed":   {"plain", steady, func(f *crashCluster) { f.crashEnd = standin.EndClose }},
		"relays": {"engine", steady, func(f *crashCluster) {
			f.adjust = func(s *front.Settings) { s.MaxDirect, s.RelayFanout = 4, relayFanout }
		}},
		"engine, tunnels": {"engine", steady, cutHalf},
		"plain, tunnels":  {"plain", steady, cutHalf},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			nodes := 4
			if name == "relays" {
				nodes = relayedNodes
			}
			f := newCopyCluster(t, nodes, 8, x.kind, x.change)
			f.playCopies(x.load, nil)
		})
	}
}

// cutHalf makes two of the nodes lose their path to the servers, so that they open connections through the others.
func cutHalf(f *crashCluster) {
	f.setUp = func(n *front.Node, s front.Settings) {
		if s.Node == "n0" || s.Node == "n1" {
			path := &cutpath.Path{}
			path.Set(cutpath.Refusing)
			n.DialServer = path.Dial
		}
	}
}

// TestCopiesOfClientsThatLeaveAreRefused guards against copies whose clients leave before the request has crashed the server.
func TestCopiesOfClientsThatLeaveAreRefused(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"engine", "plain"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			f := newCopyCluster(t, 4, 8, kind, nil)
			f.playCopies(copyLoad{interval: 500 * time.Millisecond, leave: leaveAfter, duration: 8 * time.Second}, nil)
		})
	}
}

// TestCopiesThatSilenceServersAreRefused guards against copies that crash servers which give no sign of it until their entries lapse.
func TestCopiesThatSilenceServersAreRefused(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"engine", "plain"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			f := newCopyCluster(t, 4, 8, kind, func(f *crashCluster) { f.crashEnd = standin.EndSilent })
			f.playCopies(copyLoad{interval: 1500 * time.Millisecond, duration: 15 * time.Second}, nil)
		})
	}
}

// TestCopiesStayRefusedWhenNodesEnd guards against crashes, or the refusal that they led to, that are forgotten with the nodes that saw
// them.
func TestCopiesStayRefusedWhenNodesEnd(t *testing.T) {
	t.Parallel()
	stopLeader := func(f *crashCluster) {
		leader, _ := f.leader()
		f.stopNode(leader)
	}
	later := func(during func(f *crashCluster)) func(f *crashCluster) {
		return func(f *crashCluster) {
			<-time.After(noticeTime + 500*time.Millisecond)
			during(f)
		}
	}
	for name, x := range map[string]struct {
		kind   string
		during func(f *crashCluster)
	}{
		"leader":        {"engine", stopLeader},
		"leader, plain": {"plain", stopLeader},
		"leader and deputy": {"engine", func(f *crashCluster) {
			for _, p := range f.coordinators() {
				f.stopNode(p)
			}
		}},
		"leader without the store": {"engine", func(f *crashCluster) {
			f.store.Outage(true)
			stopLeader(f)
			time.AfterFunc(6*time.Second, func() { f.store.Outage(false) })
		}},
		"all at once":                {"engine", later((*crashCluster).restartAll)},
		"all at once, plain":         {"plain", (*crashCluster).restartAll},
		"one after the other":        {"engine", (*crashCluster).replaceAll},
		"one after the other, plain": {"plain", (*crashCluster).replaceAll},
		"one after the other, later": {"plain", later((*crashCluster).replaceAll)},
		"a node joins after a change of leader": {"plain", func(f *crashCluster) {
			stopLeader(f)
			f.joinNode("late")
			f.joinNode("later")
		}},
		"a node that the store rejects joins": {"plain", func(f *crashCluster) {
			unavailable, available := standin.NewStore(f.t), f.store
			unavailable.Outage(true)
			f.seeds = []string{f.nodes[0].settings.Control, f.nodes[1].settings.Control}
			f.store = unavailable
			p := f.start("late")
			f.store = available
			require.Eventually(f.t, p.ready, 8*time.Second, 5*time.Millisecond)
			f.addTarget(p)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newCopyCluster(t, 4, 8, x.kind, nil)
			f.playCopies(copyLoad{interval: 300 * time.Millisecond, duration: 13 * time.Second}, func() { x.during(f) })
		})
	}
}

// coordinators returns the leader and its deputy.
func (f *crashCluster) coordinators() []*testNode {
	leader, others := f.leader()
	out := []*testNode{leader}
	for _, p := range others {
		if list := p.logs.FilterMessage("deputy").All(); len(list) > 0 && list[len(list)-1].ContextMap()["following"] == true {
			out = append(out, p)
		}
	}
	return out
}

// restartAll stops all nodes at once and starts them again.
func (f *crashCluster) restartAll() {
	f.t.Helper()
	nodes := slices.Clone(f.nodes)
	for _, p := range nodes {
		f.stopNode(p)
	}
	for _, p := range nodes {
		require.NoError(f.t, await.Value(f.t, p.done, "the node's end"))
		p.done <- nil // read again by the cleanup
	}
	for _, p := range nodes {
		f.restart(p)
	}
	for _, p := range nodes {
		require.Eventually(f.t, p.ready, 8*time.Second, 5*time.Millisecond)
		f.addTarget(p)
	}
}

// replaceAll replaces all nodes one after the other, until none is left that saw a crash.
func (f *crashCluster) replaceAll() {
	f.t.Helper()
	for _, p := range slices.Clone(f.nodes) {
		f.replaceNode(p)
	}
}

// TestCopiesOfSoundRequestsAreServedWhenServersEnd guards against a popular request that is refused since copies of it were in flight
// at servers that ended for other reasons, together or one after the other.
func TestCopiesOfSoundRequestsAreServedWhenServersEnd(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"engine", "plain"} {
		for name, x := range map[string]struct{ together, times int }{"together": {6, 3}, "one after the other": {1, 10}} {
			t.Run(kind+" "+name, func(t *testing.T) {
				t.Parallel()
				f := newCopyCluster(t, 4, 8, kind, nil)
				ctx, cancel := context.WithCancel(t.Context())
				var done sync.WaitGroup
				done.Go(func() { f.sendSound(ctx, 10*time.Millisecond) })
				for range x.times {
					<-time.After(time.Second)
					f.crashServers(x.together)
				}
				<-time.After(1500 * time.Millisecond)
				cancel()
				done.Wait()
				require.Zero(t, f.soundRefusals())
			})
		}
	}
}

// crashServers crashes the servers that were started last.
func (f *crashCluster) crashServers(n int) {
	f.mu.Lock()
	last := slices.Clone(f.workers[len(f.workers)-n:])
	f.mu.Unlock()
	for _, w := range last {
		w.Crash()
	}
}

// TestCrashSeenByNodesThatStopIsKnown guards against crashes that nodes see with their last requests, as they stop, and don't report.
func TestCrashSeenByNodesThatStopIsKnown(t *testing.T) {
	t.Parallel()
	f := newCopyCluster(t, 5, 8, "engine", func(f *crashCluster) {
		f.adjust = func(s *front.Settings) { s.GraceS = 5 }
		f.crashDelay = 2500 * time.Millisecond // longer than a node that stops accepts requests
		f.capacity = 1                         // each copy reaches another server
	})
	_, others := f.leader()
	var all sync.WaitGroup
	for i, p := range others[:crashesBeforeBound] {
		all.Go(func() { _ = f.request(p, fmt.Sprint("p", i), f.paths[0], "the same", 0) })
	}
	require.Eventually(t, func() bool { return f.copies(time.Time{}) == crashesBeforeBound }, time.Second, time.Millisecond)
	for _, p := range others[:crashesBeforeBound] {
		f.stopNode(p)
	}
	all.Wait()
	f.awaitCrash(crashesBeforeBound)
	<-time.After(noticeTime)
	for i := range 4 {
		require.Equal(t, http.StatusServiceUnavailable, f.request(f.nextNode(i), fmt.Sprint("q", i), f.paths[0], "the same", 0), "%s", f.story())
	}
	require.Equal(t, crashesBeforeBound, f.copies(time.Time{}))
}
