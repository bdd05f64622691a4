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
	"guavapaddle/platform"
	"guavapaddle/platform/standin"
)

const (
	// crashesUntilRefused is the number of crashes after which requests with the part must not reach servers any more, except
	// for maxAfter of them, once noticeTime has passed.
	crashesUntilRefused = 5
	// minCrashes is the least number of crashes of a play that shows anything.
	minCrashes = 3
	maxAfter   = 3
	noticeTime = 3 * time.Second
	// restartTime is how long after the crash of a server the next one is in service.
	restartTime = 700 * time.Millisecond
	// minServed is the share of sound requests, of those before the first crash, that have to be served from 2 noticeTime after the crashes on.
	minServed = 0.5
	// servedTime is for how long sound requests are counted then.
	servedTime = 4 * time.Second
)

type (
	// crashCluster is a cluster whose servers crash on parts of prompts, and are replaced.
	crashCluster struct {
		*testCluster
		service, path, model string
		parts                []string // that crash servers
		paths                []string // likewise, of requests of which copies come
		crashDelay           time.Duration
		crashEnd             standin.CrashEnd
		capacity             int // of a server, zero for no limit

		mu      sync.Mutex
		started int
		workers []*standin.Worker
		crashes []time.Time
		sent    []crashRequest
		rand    *rand.Rand
		targets []*testNode // nodes that clients reach
	}

	// crashRequest is a request of a client and how its first attempt ended.
	crashRequest struct {
		at     time.Time
		part   string // that crashes servers, empty if the request is sound
		first  string // first part of the prompt, or the kind of request
		served bool
	}
)

// newCrashCluster starts nodes and servers of a service.
func newCrashCluster(t *testing.T, nodes, servers int, kind string, parts ...string) *crashCluster {
	t.Helper()
	return newAdjustedCrashCluster(t, nodes, servers, kind, nil, parts...)
}

// newAdjustedCrashCluster is like newCrashCluster with other settings of the nodes.
func newAdjustedCrashCluster(t *testing.T, nodes, servers int, kind string, adjust func(*front.Settings), parts ...string) *crashCluster {
	t.Helper()
	f := &crashCluster{testCluster: &testCluster{t: t, store: standin.NewStore(t), lease: 3 * time.Second, adjust: adjust},
		service: "plain", path: serviceKinds[kind].path, model: serviceKinds[kind].model, parts: parts, rand: rand.New(rand.NewPCG(1, 2))}
	f.launchWith(nodes, servers)
	return f
}

// launchWith starts nodes and servers.
func (f *crashCluster) launchWith(nodes, servers int) {
	f.t.Helper()
	if f.model != "" {
		f.service = "llm"
	}
	for range servers {
		f.startServer()
	}
	engine, plain := f.run(nodes, configuration)
	engine.SetScript(standin.Shed) // nodes may not know yet that they have gone
	plain.SetScript(standin.Shed)
	f.store.Drop(platform.TableServers, "i-engine")
	f.store.Drop(platform.TableServers, "i-plain")
	f.waitForLeader()
	f.targets = slices.Clone(f.nodes)
}

// startServer starts a server. After its crash its entry lapses and another one starts.
func (f *crashCluster) startServer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started++
	w := &standin.Worker{ID: fmt.Sprint("i-", f.started), CrashParts: f.parts, CrashPaths: f.paths, CrashDelay: f.crashDelay, End: f.crashEnd, Capacity: f.capacity}
	if f.model != "" {
		w.Hold("m0")
		w.Stream, w.Pause = 20, 20*time.Millisecond
	} else {
		w.Think = 100 * time.Millisecond
	}
	w.OnCrash = func() {
		f.mu.Lock()
		f.crashes = append(f.crashes, time.Now())
		f.mu.Unlock()
		lapse := restartTime
		if w.End == standin.EndSilent {
			lapse = silentLapse
		}
		time.AfterFunc(lapse, func() { f.store.Drop(platform.TableServers, w.ID) })
		time.AfterFunc(restartTime, f.startServer)
	}
	w.Start(f.t)
	f.store.Put(platform.TableServers, w.ID, w.Entry(f.service, "z", false))
	f.workers = append(f.workers, w)
}

// crashTime returns the time of a crash, counted from one, zero if there were fewer.
func (f *crashCluster) crashTime(n int) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < n {
		return time.Time{}
	}
	return f.crashes[n-1]
}

// send sends a request whose prompt has the given parts, each at another node if its first attempt fails.
func (f *crashCluster) send(id, part, first, prompt string) {
	at := time.Now()
	status := f.attempt(f.pickNode(), id, prompt)
	f.mu.Lock()
	f.sent = append(f.sent, crashRequest{at: at, part: part, first: first, served: status == http.StatusOK})
	f.mu.Unlock()
	if status != http.StatusOK {
		_ = f.attempt(f.pickNode(), id+"-again", prompt)
	}
}

// pickNode returns any node that clients reach, nil if there is none.
func (f *crashCluster) pickNode() *testNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.targets) == 0 {
		return nil
	}
	return f.targets[f.rand.IntN(len(f.targets))]
}

// addTarget makes clients reach a node.
func (f *crashCluster) addTarget(p *testNode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets = append(f.targets, p)
}

// stopNode stops a node, which clients don't reach from then on.
func (f *crashCluster) stopNode(p *testNode) {
	f.mu.Lock()
	f.targets = slices.DeleteFunc(f.targets, func(o *testNode) bool { return o == p })
	f.mu.Unlock()
	p.stop()
}

// awaitCrash waits for a crash, counted from one.
func (f *crashCluster) awaitCrash(n int) {
	f.t.Helper()
	require.Eventually(f.t, func() bool { return !f.crashTime(n).IsZero() }, 20*time.Second, 5*time.Millisecond, "the play has too few crashes")
}

// refusals returns how many sound requests were refused as ones that crash servers.
func (f *crashCluster) refusals() int {
	n := 0
	for _, p := range f.nodes {
		for _, e := range p.logs.FilterMessage("prompt-refused").All() {
			if id, _ := e.ContextMap()["request-id"].(string); strings.HasPrefix(id, "s") {
				n++
			}
		}
	}
	return n
}

// attempt sends a request once and returns the status, 0 if the response was not complete.
func (f *crashCluster) attempt(p *testNode, id, prompt string) int {
	if p == nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.settings.Clients+f.path+"?"+id, nil)
	if err != nil {
		return 0
	}
	req.Host = "h.example"
	req.Header.Set("X-Guavapaddle-Request-Id", id)
	req.Header.Set("X-Guavapaddle-Prompt-Prefix", prompt)
	if f.model != "" {
		req.Header.Set("X-Guavapaddle-Model", f.model)
		req.Header.Set("X-Guavapaddle-Token-Count", "100,10")
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

// prompts returns the prompt of a sound request, one in ten with a rare second part, and of one with a part that crashes servers, at
// a position counted from zero. No two are alike.
func (f *crashCluster) prompts(i, position int, part string) (sound, bad string) {
	f.mu.Lock()
	second := fmt.Sprintf("b%d", f.rand.IntN(4))
	if f.rand.IntN(10) == 0 {
		second = fmt.Sprintf("bb%d", f.rand.IntN(40))
	}
	f.mu.Unlock()
	own := fmt.Sprintf("%x:30", 0x10000+i)
	switch position {
	case 0:
		bad = fmt.Sprintf("%s:50,%s:20,%s", part, second, own)
	case 1:
		bad = fmt.Sprintf("a0:50,%s:20,%s", part, own)
	default:
		bad = fmt.Sprintf("a0:50,%s:20,%s:10,%s", second, part, own)
	}
	return fmt.Sprintf("a0:50,%s:20,%s", second, own), bad
}

// load sends requests until the context ends: a sound one each interval, and one with each part that crashes servers each so many.
func (f *crashCluster) load(ctx context.Context, interval time.Duration, position, every int) {
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
		for k, part := range f.parts {
			sound, bad := f.prompts(i, position, part)
			if k == 0 {
				all.Go(func() { f.send(fmt.Sprint("s", i), "", "a0", sound) })
			}
			if every > 0 && i%every == k {
				all.Go(func() { f.send(fmt.Sprint("p", k, "-", i), part, "", bad) })
			}
		}
	}
}

// served returns the share of sound requests sent from a time on, until another, that were served, and their number.
func (f *crashCluster) served(from, until time.Time) (share float64, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ok := 0
	for _, r := range f.sent {
		if r.part != "" || r.at.Before(from) || !r.at.Before(until) {
			continue
		}
		n++
		if r.served {
			ok++
		}
	}
	return float64(ok) / float64(max(1, n)), n
}

// arrivals returns how many requests that crash servers have reached servers since a time.
func (f *crashCluster) arrivals(part string, since time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		for _, v := range w.Visits() {
			if v.At.After(since) && v.CrashPart == part {
				n++
			}
		}
	}
	return n
}

// play sends sound requests alone, and then beside requests with parts that crash servers until some time after the crash from
// which on the bounds count. It returns the times of the first crash and the last request.
func (f *crashCluster) play(position int, during func()) (first, end time.Time) {
	f.t.Helper()
	const interval, every = 20 * time.Millisecond, 9
	calm, stopCalm := context.WithTimeout(f.t.Context(), 2*time.Second)
	defer stopCalm()
	f.load(calm, interval, position, 0)
	ctx, cancel := context.WithCancel(f.t.Context())
	var done sync.WaitGroup
	done.Go(func() { f.load(ctx, interval, position, every) })
	if during != nil {
		during()
	}
	f.awaitCrash(minCrashes)
	for rest := 2*noticeTime + servedTime; rest > 0; rest = time.Until(f.boundTime().Add(2*noticeTime + servedTime)) {
		<-time.After(rest)
	}
	end = time.Now()
	cancel()
	done.Wait()
	return f.crashTime(1), end
}

// boundTime returns the time of the crash from which on the bounds count: the fifth, or the last of fewer.
func (f *crashCluster) boundTime() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes[min(crashesUntilRefused, len(f.crashes))-1]
}

// check checks that few requests with a part that crashes servers have reached servers, and that sound ones are served.
func (f *crashCluster) check(first, end time.Time) {
	f.t.Helper()
	bound := f.boundTime().Add(noticeTime)
	for _, part := range f.parts {
		f.t.Logf("part %s: %d sent to servers, %d of them later than %v after the fifth crash; %d crashes", part, f.arrivals(part, time.Time{}), f.arrivals(part, bound), noticeTime, f.countCrashes())
	}
	before, _ := f.served(time.Time{}, first)
	share, n := f.served(f.boundTime().Add(2*noticeTime), end)
	f.t.Logf("sound requests served: %.2f before, %.2f of %d after; reasons %v", before, share, n, f.reasons(f.boundTime().Add(2*noticeTime)))
	for _, part := range f.parts {
		require.LessOrEqual(f.t, f.arrivals(part, bound), maxAfter, "part %s\n%s", part, f.story())
	}
	require.Greater(f.t, n, 20)
	require.GreaterOrEqual(f.t, share, minServed*before)
}

// reasons returns how many sound requests ended for each reason since a time.
func (f *crashCluster) reasons(since time.Time) map[string]int {
	out := map[string]int{}
	for _, p := range f.nodes {
		for _, e := range p.logs.FilterMessage("request").All() {
			if id, _ := e.ContextMap()["request-id"].(string); strings.HasPrefix(id, "s") && e.Time.After(since) {
				out[fmt.Sprint(e.ContextMap()["reason"])]++
			}
		}
	}
	return out
}

// countCrashes returns how many servers have crashed.
func (f *crashCluster) countCrashes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.crashes)
}

// story returns what the nodes logged about crashes and their leader, for the message of a failure.
func (f *crashCluster) story() string {
	f.mu.Lock()
	crashes := slices.Clone(f.crashes)
	f.mu.Unlock()
	var lines []string
	for i, at := range crashes {
		lines = append(lines, fmt.Sprint(at.Format("05.000"), " crash ", i+1))
	}
	for _, p := range f.nodes {
		for _, e := range p.logs.All() {
			if id, _ := e.ContextMap()["request-id"].(string); e.Message == "request" && strings.HasPrefix(id, "p") {
				lines = append(lines, fmt.Sprint(e.Time.Format("05.000"), " ", p.settings.Node, " ", id, " ", e.ContextMap()["reason"], " ", e.ContextMap()["rule"]))
			}
			switch e.Message {
			case "prompt-blocked", "prompt-released", "prompt-refused", "server-crash", "lease-won", "lease-lost", "deputy-acting", "leader-reached", "leader-suspect", "start", "stopped":
				lines = append(lines, fmt.Sprint(e.Time.Format("05.000"), " ", p.settings.Node, " ", e.Message, " ", e.ContextMap()))
			}
		}
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// TestPromptPartThatCrashesServersIsRefused guards against requests, no two alike, with one part in their prompts that crash one
// server after the other.
func TestPromptPartThatCrashesServersIsRefused(t *testing.T) {
	t.Parallel()
	for position, name := range []string{"first", "second", "third"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newCrashCluster(t, 3, 8, "engine", "dead")
			f.check(f.play(position, nil))
		})
	}
}

// TestCrashingPromptPartIsRefusedByEachKindOfCluster guards against plays of the same fault that one way of counting would miss: plain
// services, few servers, two parts at a time, and a fleet with relays.
func TestCrashingPromptPartIsRefusedByEachKindOfCluster(t *testing.T) {
	t.Parallel()
	for name, start := range map[string]func(t *testing.T) *crashCluster{
		"plain":       func(t *testing.T) *crashCluster { return newCrashCluster(t, 3, 8, "plain", "dead") },
		"two parts":   func(t *testing.T) *crashCluster { return newCrashCluster(t, 3, 8, "engine", "dead", "deadly") },
		"two servers": func(t *testing.T) *crashCluster { return newCrashCluster(t, 3, 2, "engine", "dead") },
		"one server":  func(t *testing.T) *crashCluster { return newCrashCluster(t, 3, 1, "engine", "dead") },
		"relays": func(t *testing.T) *crashCluster {
			f := newAdjustedCrashCluster(t, relayedNodes, 8, "engine", func(s *front.Settings) { s.MaxDirect, s.RelayFanout = 4, relayFanout }, "dead")
			f.waitForRelays()
			return f
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := start(t)
			f.check(f.play(1, nil))
		})
	}
}

// TestCrashingPromptPartStaysRefusedWhenNodesEnd guards against crashes, or the refusal that they led to, that are forgotten with a
// node: the leader, with the store away so that its deputy stands in, or all of them.
func TestCrashingPromptPartStaysRefusedWhenNodesEnd(t *testing.T) {
	t.Parallel()
	for name, during := range map[string]func(f *crashCluster){
		"leader after the third crash": func(f *crashCluster) {
			f.awaitCrash(3)
			leader, _ := f.leader()
			f.stopNode(leader)
		},
		"leader without the store": func(f *crashCluster) {
			f.awaitCrash(3)
			leader, _ := f.leader()
			f.store.Outage(true)
			f.stopNode(leader)
			time.AfterFunc(6*time.Second, func() { f.store.Outage(false) })
		},
		"all nodes": func(f *crashCluster) {
			f.awaitCrash(minCrashes)
			require.Eventually(f.t, func() bool { return len(f.leaseRow().Blocks) > 0 }, 5*time.Second, 5*time.Millisecond)
			for _, p := range f.nodes {
				f.stopNode(p)
			}
			for _, p := range f.nodes {
				require.NoError(f.t, await.Value(f.t, p.done, "the node's end"))
				p.done <- nil // read again by the cleanup
				f.restart(p)
			}
			for _, p := range f.nodes {
				require.Eventually(f.t, p.ready, 8*time.Second, 5*time.Millisecond)
				f.addTarget(p)
			}
		},
		"a node joins": func(f *crashCluster) {
			f.awaitCrash(minCrashes)
			p := f.start("late")
			require.Eventually(f.t, p.ready, 5*time.Second, 5*time.Millisecond)
			f.addTarget(p)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newCrashCluster(t, 4, 8, "engine", "dead")
			f.check(f.play(1, func() { during(f) }))
		})
	}
}

// TestPopularPromptPartsAreServedWhenServersEnd guards against sound requests that are refused since their parts were in flight at
// servers that ended for other reasons.
func TestPopularPromptPartsAreServedWhenServersEnd(t *testing.T) {
	t.Parallel()
	for name, x := range map[string]struct{ together, times int }{"together": {6, 3}, "one after the other": {1, 12}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newCrashCluster(t, 3, 8, "engine", "dead")
			ctx, cancel := context.WithCancel(t.Context())
			var done sync.WaitGroup
			done.Go(func() { f.load(ctx, 20*time.Millisecond, 1, 0) })
			for range x.times {
				<-time.After(time.Second)
				f.mu.Lock()
				last := f.workers[len(f.workers)-x.together:]
				f.mu.Unlock()
				for _, w := range last {
					w.Crash()
				}
			}
			<-time.After(time.Second)
			cancel()
			done.Wait()
			require.Equal(t, x.together*x.times, f.countCrashes())
			require.Zero(t, f.refusals(), "%s", f.story())
		})
	}
}
