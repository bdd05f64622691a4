package cli_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"guavapaddle/core/status"
	"guavapaddle/core/view"
	"guavapaddle/internal/cli"
	"guavapaddle/internal/configsync"
	"guavapaddle/internal/testbed/standin/fault"
	"guavapaddle/internal/testbed/standin/platform"
	"guavapaddle/internal/trace"
	"guavapaddle/io/object"
	"guavapaddle/io/operator"
	"guavapaddle/io/table"
)

const pollPeriod = 5 * time.Millisecond

var (
	errNotFresh = errors.New("the configuration is not confirmed")
	applyID     = regexp.MustCompile(`\b[A-Z2-7]{26}\b`)
	appliedAt   = regexp.MustCompile(`("applied-at-unix-ms": )\d+`)
	progress    = regexp.MustCompile(`(?m)^in force on .*\n`)
)

type (
	// system is a stand-in platform with nodes that follow its configuration
	// and serve the operator endpoint.
	system struct {
		t              *testing.T
		platform       *platform.Platform
		address        string // of the platform
		nodes          []*node
		hasLaggingNode atomic.Bool // report an additional live node that stays at version 1
		masks          *strings.Replacer
		transcript     strings.Builder
	}

	// node serves the operator endpoint of one node.
	node struct {
		*trace.Recorder
		*configsync.Follower
		system  *system
		address string
	}
)

func (n *node) Ready() error {
	if !n.Fresh() {
		return errNotFresh
	}
	return nil
}

func (n *node) Status() status.Report {
	ref := n.InForce()
	r := status.Report{
		Node: n.Node, Ready: n.Ready() == nil, Fresh: n.Fresh(), ConfigVersion: ref.Version, ConfigHash: ref.Hash, TableUp: n.TableUp(),
		Servers: []view.Server{
			{Server: "engine-1", Owner: "n1", Epoch: 3, Slots: 8, Running: 2, FreeBytes: 7000, Reachable: true},
			{Server: "engine-2", Epoch: 1, Slots: 8, FreeBytes: 9000, Leaving: true},
		},
		Leases: []status.Lease{{Server: "engine-1", Holder: "n1", Epoch: 3, ExpiresIn: 1500}},
	}
	for _, o := range n.system.nodes {
		r.Nodes = append(r.Nodes, status.Node{Name: o.Node, Address: o.address, DataCentre: "dc-1", State: status.Live, ConfigVersion: o.InForce().Version})
	}
	if n.system.hasLaggingNode.Load() {
		r.Nodes = append(r.Nodes, status.Node{Name: "n3", DataCentre: "dc-2", State: status.Live, ConfigVersion: 1})
	}
	return r
}

// newSystem starts a stand-in platform and two nodes.
func newSystem(t *testing.T) *system {
	s := &system{t: t, platform: &platform.Platform{}}
	address, err := s.platform.Start()
	require.NoError(t, err)
	t.Cleanup(func() { s.platform.Close() })
	s.address = address
	masks := []string{address, "PLATFORM"}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	for i := range 2 {
		n := &node{system: s}
		n.Recorder = &trace.Recorder{Node: fmt.Sprintf("n%d", i+1), Now: func() time.Time { return time.UnixMilli(int64(1000 + 7*i)) }}
		n.Follower = &configsync.Follower{
			Table: &table.Client{Address: address}, Store: &object.Client{Address: address}, Period: pollPeriod, MaxReads: 1e6,
		}
		server := httptest.NewServer(&operator.Handler{Readiness: n, Reporter: n, Explainer: n, Bodies: n, Gatherer: prometheus.NewRegistry()})
		t.Cleanup(server.Close)
		n.address = strings.TrimPrefix(server.URL, "http://")
		masks = append(masks, n.address, "NODE-"+n.Node)
		s.nodes = append(s.nodes, n)
		wg.Go(func() { _ = n.Run(ctx) })
	}
	s.masks = strings.NewReplacer(masks...)
	return s
}

// run runs a command line and appends it with its output and exit code to the
// transcript. The words PLATFORM and NODES are replaced by addresses.
func (s *system) run(want int, line string) {
	s.t.Helper()
	words := strings.Fields(line)
	for i, w := range words {
		switch w {
		case "PLATFORM":
			words[i] = s.address
		case "NODES":
			words[i] = s.nodes[0].address + "," + s.nodes[1].address
		}
	}
	code, stdout, stderr := run(s.t, words...)
	fmt.Fprintf(&s.transcript, "$ guavapaddle %s\n%s%sexit code %d\n\n", line, s.mask(stdout), s.mask(stderr), code)
	require.Equal(s.t, want, code, "%s\n%s%s", line, stdout, stderr)
}

func (s *system) mask(text string) string {
	text = s.masks.Replace(text)
	text = applyID.ReplaceAllString(text, "APPLY-ID")
	text = appliedAt.ReplaceAllString(text, "${1}0")
	return progress.ReplaceAllString(text, "")
}

// writeModified writes a copy of the valid document with the first occurrence of
// old replaced, and returns its file name.
func writeModified(t *testing.T, old, replacement string) string {
	text, err := os.ReadFile("testdata/valid.json")
	require.NoError(t, err)
	require.Contains(t, string(text), old)
	name := filepath.Join(t.TempDir(), "changed.json")
	require.NoError(t, os.WriteFile(name, []byte(strings.Replace(string(text), old, replacement, 1)), 0o600))
	return name
}

func TestOperatorSession(t *testing.T) {
	s := newSystem(t)
	first, second := "testdata/valid.json", "testdata/second.json"
	s.run(cli.ExitInvalid, "apply -file "+first+" -table PLATFORM -objects PLATFORM")
	s.run(cli.ExitInvalid, "apply -file testdata/broken/copies-zero.json -table PLATFORM -objects PLATFORM -nodes NODES")
	s.run(cli.ExitDiffers, "diff -file "+second+" -against "+first)
	s.run(cli.ExitOK, "apply -file "+first+" -table PLATFORM -objects PLATFORM -nodes NODES -operator kim")
	s.run(cli.ExitOK, "apply -file "+first+" -table PLATFORM -objects PLATFORM -nodes NODES")
	s.run(cli.ExitOK, "diff -file "+first+" -table PLATFORM -objects PLATFORM")
	s.run(cli.ExitDiffers, "diff -file "+second+" -nodes NODES -output json")
	s.run(cli.ExitOK, "status -nodes NODES")
	s.run(cli.ExitConflict, "apply -file "+second+" -base 7 -table PLATFORM -objects PLATFORM -nodes NODES")
	s.run(cli.ExitConflict, "apply -file "+second+" -base 7 -table PLATFORM -objects PLATFORM -nodes NODES -output json")
	s.hasLaggingNode.Store(true)
	s.run(cli.ExitUnconfirmed, "apply -file "+second+" -base 1 -wait 500ms -table PLATFORM -objects PLATFORM -nodes NODES -output json")
	s.run(cli.ExitUnconfirmed, "status -nodes 127.0.0.1:1,"+s.nodes[1].address)
	s.hasLaggingNode.Store(false)
	s.run(cli.ExitOK, "apply -file "+second+" -wait 0 -table PLATFORM -objects PLATFORM")

	s.nodes[0].Add("r-17", "admitted", trace.String("kind", "live"), trace.String("model", "drafter"))
	s.nodes[1].Add("r-17", "queued", trace.String("server", "engine-1"), trace.String("epoch", "3"))
	s.nodes[0].Add("r-17", "refused", trace.String("reason", "deadline-unreachable"), trace.String("detail", "12 requests ahead"))
	s.run(cli.ExitOK, "explain -nodes "+s.nodes[0].address+" r-17")
	s.run(cli.ExitFailed, "explain -nodes NODES r-18")
	s.run(cli.ExitInvalid, "explain -nodes NODES")

	s.platform.SetFaults(fault.Faults{Refuse: true})
	s.run(cli.ExitFailed, "apply -file "+first+" -timeout 300ms -table PLATFORM -objects PLATFORM -nodes NODES")
	s.run(cli.ExitFailed, "status -nodes 127.0.0.1:1 -output json")
	transcript := strings.NewReplacer(s.nodes[0].address, "NODE-n1", s.nodes[1].address, "NODE-n2").Replace(s.transcript.String())
	golden(t, "testdata/session.golden", transcript)
}

// TestApplyWithoutReply checks the exit code when the connection is lost
// after the write was sent, so that its outcome can't be read back.
func TestApplyWithoutReply(t *testing.T) {
	s := newSystem(t)
	disconnected := atomic.Bool{}
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/transact") {
			disconnected.Store(true)
		}
		if disconnected.Load() {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte(`{"rows":[{"key":"config/head","revision":0}]}`))
	}))
	defer proxy.Close()
	code, stdout, _ := run(t, "apply", "-file", "testdata/valid.json", "-timeout", "500ms", "-wait", "0", "-output", "json",
		"-table", strings.TrimPrefix(proxy.URL, "http://"), "-objects", s.address)
	require.Equal(t, cli.ExitUnknown, code, stdout)
	require.Contains(t, stdout, `"type": "unknown"`)
}

func TestSettingsPrecedence(t *testing.T) {
	s := newSystem(t)
	file := filepath.Join(t.TempDir(), "settings.json")
	settings := func(text string) {
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	}
	settings(fmt.Sprintf(`{"nodes": [%q, %q], "output": "json"}`, s.nodes[0].address, s.nodes[1].address))
	code, stdout, stderr := run(t, "status", "-settings", file)
	require.Equal(t, cli.ExitOK, code, stderr)
	require.Contains(t, stdout, `"node": "n1"`)

	t.Setenv("GUAVAPADDLE_OUTPUT", "text")
	_, stdout, _ = run(t, "status", "-settings", file)
	require.Contains(t, stdout, "node n1: ready", "the environment goes before the file")
	_, stdout, _ = run(t, "status", "-settings", file, "-output", "json")
	require.Contains(t, stdout, `"node": "n1"`, "flags go before the environment")

	settings(`{"noodles": "127.0.0.1:1"}`)
	code, _, stderr = run(t, "status", "-settings", file)
	require.Equal(t, cli.ExitInvalid, code)
	require.Contains(t, stderr, "noodles")
}

func TestHelpAndUsageErrors(t *testing.T) {
	for _, command := range []string{"", "apply", "validate", "diff", "status", "explain"} {
		code, stdout, stderr := run(t, strings.Fields(command+" -help")...)
		require.Equal(t, cli.ExitOK, code)
		require.Empty(t, stderr)
		require.Contains(t, stdout, "EXIT CODES")
		require.Contains(t, stdout, "EXAMPLES")
	}
	for _, line := range []string{"", "aply", "status -colour red", "validate -output yaml", "validate extra"} {
		code, stdout, stderr := run(t, strings.Fields(line)...)
		require.Equal(t, cli.ExitInvalid, code, line)
		require.Empty(t, stdout)
		require.Contains(t, stderr, "-help", line)
	}
	name := writeModified(t, `"deployment": "small"`, `"deployment": "other"`)
	code, _, _ := run(t, "diff", "-file", name, "-against", "testdata/valid.json")
	require.Equal(t, cli.ExitDiffers, code)
}
