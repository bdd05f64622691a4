package soak_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/leader"
	"guavapaddle/internal/front"
	"guavapaddle/internal/testbed/freeport"
	"guavapaddle/internal/testbed/soak"
	"guavapaddle/platform"
	"guavapaddle/platform/standin"
)

// role is what a node is to the others.
type role string

const (
	leads   role = "leader"
	follows role = "deputy"
	reports role = "other"
)

const (
	releaseStreams = 6   // of each play
	streamEvents   = 400 // more than any client reads
)

// process is a node as a process.
type process struct {
	settings front.Settings
	toStore  *soak.Proxy
	log      string // path
	cmd      *exec.Cmd
}

// release is a cluster of processes before services of which a second software version joins.
type release struct {
	t       *testing.T
	store   *standin.Store
	nodes   []*process
	workers map[string][]*standin.Worker // by service
}

// service returns the name of the service of a play: each has one of its own, since all nodes know both versions after it.
func service(play int) string { return fmt.Sprint("s", play) }

// newRelease starts nodes and, for each play, two servers of the first version.
func newRelease(t *testing.T, nodes, plays int) *release {
	r := &release{t: t, store: standin.NewStore(t), workers: map[string][]*standin.Worker{}}
	var routes, services []string
	for i := range plays {
		routes = append(routes, fmt.Sprintf(`{"name":%q,"host":"h.example","prefix":"/%s/","kind":"streaming","resumable":true,"timeout-ms":8000,"target-latency-ms":600,"priority":1,"service":%q,"max-attempts":2}`, service(i), service(i), service(i)))
		services = append(services, fmt.Sprintf(`{"name":%q}`, service(i)))
	}
	r.store.Put(platform.TableOperator, platform.KeyConfig, fmt.Appendf(nil, `{"version":1,"routes":[%s],"services":[%s],
		"limits":{"max-header-bytes":16384,"max-body-bytes":1000000,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`, strings.Join(routes, ","), strings.Join(services, ",")))
	for i := range plays {
		r.join(service(i), "v1")
	}
	binary, dir := buildProgram(t, "guavapaddle"), t.TempDir()
	for i := range nodes {
		proxy, err := soak.NewProxy(r.store.Address())
		require.NoError(t, err)
		t.Cleanup(proxy.Close)
		p := &process{toStore: proxy, log: filepath.Join(dir, fmt.Sprint("n", i, ".log")), settings: front.Settings{Node: fmt.Sprint("n", i), DataCentre: "z", Store: proxy.Address(), Cores: 1, MemoryMB: 300,
			Descriptors: 1000, GraceS: 4, LeaseMS: 3000, LoadWindowS: 5, RepeatRatio: 0.2, RepeatExtra: 56, RepeatSpanS: 10, CheckEpochs: true, LogLevel: "info",
			Clients: freeport.Take(), Ready: freeport.Take(), Peers: freeport.Take(), Metrics: freeport.Take(), Control: freeport.Take()}}
		b, err := json.Marshal(p.settings)
		require.NoError(t, err)
		file := filepath.Join(dir, p.settings.Node+".json")
		require.NoError(t, os.WriteFile(file, b, 0o600))
		log, err := os.Create(p.log)
		require.NoError(t, err)
		p.cmd = exec.Command(binary, "front", "-settings", file)
		p.cmd.Stdout, p.cmd.Stderr = log, log
		require.NoError(t, p.cmd.Start())
		t.Cleanup(func() {
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
			_ = log.Close()
		})
		r.nodes = append(r.nodes, p)
	}
	r.await(leads)
	for i := range plays {
		for _, p := range r.nodes {
			require.Eventually(t, func() bool { return p.begin(fmt.Sprint("before", i, time.Now().UnixNano()), service(i)) == "v1" }, 10*time.Second, 20*time.Millisecond)
		}
	}
	return r
}

// await waits until all nodes are ready and there are a leader, its deputy and others, and returns a node with a role.
func (r *release) await(x role) *process {
	var found *process
	require.Eventually(r.t, func() bool {
		for _, p := range r.nodes {
			resp, err := (&http.Client{Timeout: 300 * time.Millisecond}).Get("http://" + p.settings.Ready + "/ready")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return false
			}
		}
		found = r.find(x)
		return found != nil && r.find(leads) != nil && r.find(follows) != nil
	}, 20*time.Second, 20*time.Millisecond, "a leader, its deputy and others")
	return found
}

// join starts two servers of a version.
func (r *release) join(service, version string) {
	for i := range 2 {
		w := (&standin.Worker{ID: fmt.Sprint(version, "-", service, "-", i), Stream: streamEvents, Pause: 10 * time.Millisecond, Software: version}).Start(r.t)
		r.store.Put(platform.TableServers, w.ID, w.Entry(service, "z", false))
		r.workers[service] = append(r.workers[service], w)
	}
}

// find returns a node with a role, nil if there is none.
func (r *release) find(x role) *process {
	var l leader.Lease
	if json.Unmarshal(r.store.Row("lease", "orders").Value, &l) != nil {
		return nil
	}
	for _, p := range r.nodes {
		is := reports
		switch {
		case p.settings.Node == l.Node:
			is = leads
		case p.following():
			is = follows
		}
		if is == x {
			return p
		}
	}
	return nil
}

// following reports whether the node's log says last that it is the deputy.
func (p *process) following() bool {
	b, err := os.ReadFile(p.log)
	if err != nil {
		return false
	}
	all := regexp.MustCompile(`event=deputy following=(\w+)`).FindAllSubmatch(b, -1)
	return len(all) > 0 && string(all[len(all)-1][1]) == "true"
}

// send sends a request for a stream, which it takes up if resumes isn't empty, and returns its connection.
func (p *process) send(id, service, resumes string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp4", p.settings.Clients, time.Second)
	if err != nil {
		return nil, err
	}
	if resumes != "" {
		resumes = "Resumes: " + resumes + "\r\nLast-Event-Id: 1\r\n"
	}
	_, err = fmt.Fprintf(c, "POST /%s/x HTTP/1.1\r\nHost: h.example\r\nX-Guavapaddle-Request-Id: %s\r\n%sContent-Length: 0\r\n\r\n", service, id, resumes)
	return c, err
}

// version reads the first event of a stream and returns the version of the server that it is from, empty if there is none.
func version(c net.Conn) string {
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil) //nolint:bodyclose // its connection is closed; closing a stream would read it to its end
	if err != nil {
		return ""
	}
	if _, err := io.ReadFull(resp.Body, make([]byte, 1)); err != nil || resp.StatusCode != http.StatusOK {
		return ""
	}
	v, _, _ := strings.Cut(resp.Header.Get("X-Guavapaddle-Server-Stamp"), "-")
	return v
}

// begin begins a stream, whose client leaves after its first event, and returns its version.
func (p *process) begin(id, service string) string {
	c, err := p.send(id, service, "")
	if err != nil {
		return ""
	}
	return version(c)
}

// standStill pauses a node while servers of a second version join, and streams begin at them, which clients take up at that node just before it goes on. It
// returns the versions at which these go on.
func (r *release) standStill(play int, x role, pause time.Duration) []string {
	t, name := r.t, service(play)
	still := r.await(x)
	var others []*process
	for _, p := range r.nodes {
		if p != still {
			others = append(others, p)
		}
	}
	require.NoError(t, still.cmd.Process.Signal(syscall.SIGSTOP))
	wake := time.After(pause)
	old := r.workers[name]
	r.join(name, "v2")
	for _, w := range old {
		w.SetScript(standin.Shed)
	}
	var begun []string
	require.Eventually(t, func() bool {
		id := fmt.Sprint(name, "-", time.Now().UnixNano())
		if others[len(begun)%len(others)].begin(id, name) == "v2" {
			begun = append(begun, id)
		}
		return len(begun) >= releaseStreams
	}, 10*time.Second, 10*time.Millisecond)
	for _, w := range old {
		w.SetScript(standin.OK)
	}
	<-wake
	var conns []net.Conn
	for _, id := range begun {
		c, err := still.send(id+"-up", name, id)
		require.NoError(t, err)
		conns = append(conns, c)
	}
	require.NoError(t, still.cmd.Process.Signal(syscall.SIGCONT))
	var versions []string
	for _, c := range conns {
		versions = append(versions, version(c))
	}
	return versions
}

// cutOff cuts a node off from the store and from the others, which stand still, while servers of a second version join, and takes streams up at it that
// no node in its reach has begun. It returns the versions at which these go on.
func (r *release) cutOff(play int, x role, before time.Duration) []string {
	t, name := r.t, service(play)
	cut := r.await(x)
	signalOthers := func(s os.Signal) {
		for _, p := range r.nodes {
			if p != cut {
				require.NoError(t, p.cmd.Process.Signal(s))
			}
		}
	}
	cut.toStore.Hold(true)
	signalOthers(syscall.SIGSTOP)
	wait := time.After(before)
	r.join(name, "v2")
	<-wait
	var conns []net.Conn
	for i := range releaseStreams {
		c, err := cut.send(fmt.Sprint(name, "-", i, "-up"), name, fmt.Sprint(name, "-elsewhere-", i))
		require.NoError(t, err)
		conns = append(conns, c)
	}
	var versions []string
	for _, c := range conns {
		versions = append(versions, version(c))
	}
	signalOthers(syscall.SIGCONT)
	cut.toStore.Hold(false)
	return versions
}

// TestNodeOutOfStepJoinsNoVersions guards against a stream that goes on at another software version than it began at, since the node at which it is taken up
// has not run, or was cut off, while servers of its version joined.
func TestNodeOutOfStepJoinsNoVersions(t *testing.T) {
	plays := []struct {
		name string
		play func(r *release, play int, x role, d time.Duration) []string
		role role
		time time.Duration
	}{
		{"stands still", (*release).standStill, leads, 2 * time.Second},
		{"stands still", (*release).standStill, follows, 2 * time.Second},
		{"stands still", (*release).standStill, reports, 2 * time.Second},
		{"stands still", (*release).standStill, follows, 4 * time.Second},
		{"cut off", (*release).cutOff, leads, 400 * time.Millisecond},
		{"cut off", (*release).cutOff, follows, 400 * time.Millisecond},
		{"cut off", (*release).cutOff, reports, 400 * time.Millisecond},
		{"cut off", (*release).cutOff, follows, 2 * time.Second},
	}
	r := newRelease(t, 4, len(plays))
	for i, x := range plays {
		got := x.play(r, i, x.role, x.time)
		require.NotContains(t, got, "v1", "%s: %s, %v", x.name, x.role, x.time)
	}
	r.await(leads)
	for _, p := range r.nodes {
		require.Eventually(t, func() bool { return p.begin(fmt.Sprint("after", time.Now().UnixNano()), service(0)) != "" }, 10*time.Second, 20*time.Millisecond)
	}
}
