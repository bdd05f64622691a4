package session_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/config"
	"guavapaddle/core/config/head"
	"guavapaddle/internal/cli"
	"guavapaddle/internal/testbed/session"
	"guavapaddle/io/table"
)

const (
	rivalKey  = "Bearer " + session.OtherKey
	downFault = `{"down":true}`
)

// inForceLine matches the log lines of configuration versions that came into force.
var inForceLine = regexp.MustCompile(`event=config-in-force .*version=(\d+)`)

// versionsInForce returns the versions that came into force on a process, in order.
func versionsInForce(t *testing.T, p *session.Process) []uint64 {
	var all []uint64
	for _, m := range inForceLine.FindAllStringSubmatch(p.Log(), -1) {
		v, err := strconv.ParseUint(m[1], 10, 64)
		require.NoError(t, err)
		all = append(all, v)
	}
	return all
}

// withoutRival returns doc without the team "rival".
func withoutRival(doc *config.Document) *config.Document {
	changed := *doc
	changed.Teams = nil
	for _, c := range doc.Teams {
		if c.Name != "rival" {
			changed.Teams = append(changed.Teams, c)
		}
	}
	return &changed
}

// TestInvariantPausedNodeAdmitsUnderNoOldConfiguration freezes a node, applies a
// configuration that removes a team, takes the platform down and resumes the node. It guards
// against serving a request of that team, which arrived in the node's socket during the
// pause, under the old configuration.
func TestInvariantPausedNodeAdmitsUnderNoOldConfiguration(t *testing.T) {
	t.Parallel()
	s := session.New(t, session.SmallDocument(t, 2, 1), session.Options{})
	s.StartNodes(3)
	const paused = 2
	require.Equal(t, http.StatusOK, s.Do(paused, http.MethodGet, "/v1/models", "", "Authorization", rivalKey).Status)
	s.Nodes[paused].Signal(syscall.SIGSTOP)
	code, out := s.Apply(withoutRival(s.Document))
	require.Equal(t, cli.ExitOK, code, out)

	waiting, err := net.Dial("tcp", s.Nodes[paused].Address("callers"))
	require.NoError(t, err)
	defer func() { _ = waiting.Close() }()
	_, err = fmt.Fprintf(waiting, "GET /v1/models HTTP/1.1\r\nHost: node\r\nAuthorization: %s\r\n\r\n", rivalKey)
	require.NoError(t, err)
	s.SetFaults(s.Platform, "/fault/table", downFault)
	s.SetFaults(s.Platform, "/fault/object", downFault)
	s.Nodes[paused].Signal(syscall.SIGCONT)
	require.NoError(t, waiting.SetReadDeadline(time.Now().Add(10*time.Second)))
	waited, err := http.ReadResponse(bufio.NewReader(waiting), nil)
	require.NoError(t, err)
	_ = waited.Body.Close()
	require.NotEqual(t, http.StatusOK, waited.StatusCode)
	s.Eventually("the new configuration to be in force on the resumed node", func() bool {
		a := s.Do(paused, http.MethodGet, "/v1/models", "", "Authorization", rivalKey)
		require.NotEqual(t, http.StatusOK, a.Status, a.Body)
		return a.Status == http.StatusUnauthorized
	})
	require.Equal(t, http.StatusOK, s.Do(paused, http.MethodGet, "/v1/models", "").Status)
	require.Equal(t, []uint64{1, 2}, versionsInForce(t, s.Nodes[paused]))
}

// TestInvariantNodeStartsInOutage restarts a node while the table and the object store are
// down. The new process must get the configuration from its peers.
func TestInvariantNodeStartsInOutage(t *testing.T) {
	t.Parallel()
	s := session.New(t, session.SmallDocument(t, 2, 1), session.Options{})
	s.StartNodes(3)
	code, out := s.Apply(withoutRival(s.Document))
	require.Equal(t, cli.ExitOK, code, out)
	s.SetFaults(s.Platform, "/fault/table", downFault)
	s.SetFaults(s.Platform, "/fault/object", downFault)
	s.Nodes[1].Kill()
	s.RestartNode(1)
	s.Eventually("a successful request on the restarted node", func() bool {
		a := s.Do(1, http.MethodGet, "/v1/models", "")
		return a.Status == http.StatusOK
	})
	require.Equal(t, http.StatusUnauthorized, s.Do(1, http.MethodGet, "/v1/models", "", "Authorization", rivalKey).Status)
	r, err := s.Status(1)
	require.NoError(t, err)
	require.Equal(t, uint64(2), r.ConfigVersion)
	require.False(t, r.TableUp)
}

// operatorProxy forwards operators' calls to the table. It delays the first transactions
// until all operators have read the configuration head. It closes the connection instead of
// sending the response to a transaction that committed, and to every second of the other
// transactions.
type operatorProxy struct {
	table string // address of the table
	reads sync.WaitGroup
	calls atomic.Int64
	lost  atomic.Int64
}

func (r *operatorProxy) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	transaction := strings.HasSuffix(req.URL.Path, "/transact")
	if transaction {
		r.reads.Wait()
	}
	resp, err := http.Post("http://"+r.table+req.URL.Path, req.Header.Get("Content-Type"), req.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if transaction && (r.calls.Add(1)%2 == 1 || bytes.Contains(body, []byte(`"committed":true`))) {
		r.lost.Add(1)
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(body)
	if !transaction && r.calls.Load() == 0 {
		r.reads.Done()
	}
}

// TestInvariantOperatorsRaceAsProcesses lets eight operators that have all read the same
// version apply different documents while half of the responses to their writes, including
// the winner's, are lost. Exactly one must win, and each must exit with the code that
// matches its result.
func TestInvariantOperatorsRaceAsProcesses(t *testing.T) {
	t.Parallel()
	const operators, nodes = 8, 2
	s := session.New(t, session.SmallDocument(t, 2, 1), session.Options{})
	s.StartNodes(nodes)
	platform := s.Platform.Address("address")
	forwarder := &operatorProxy{table: platform}
	forwarder.reads.Add(operators)
	proxy := httptest.NewServer(forwarder)
	defer proxy.Close()
	var wg sync.WaitGroup
	codes, outputs := make([]int, operators), make([]string, operators)
	for i := range operators {
		doc := *s.Document
		doc.Placement.MovePrice = float64(10 + i)
		file := filepath.Join(t.TempDir(), "document.json")
		require.NoError(t, os.WriteFile(file, doc.Canonical(), 0o600))
		wg.Go(func() {
			codes[i], outputs[i] = s.Command("apply", "-file", file, "-operator", strconv.Itoa(i), "-wait", "0",
				"-table", strings.TrimPrefix(proxy.URL, "http://"), "-objects", platform)
		})
	}
	wg.Wait()

	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	rows, err := (&table.Client{Address: platform}).Scan(ctx, head.HistoryPrefix)
	require.NoError(t, err)
	require.Len(t, rows, 2, "the initial version and one operator's")
	winner, err := head.Parse(rows[1])
	require.NoError(t, err)
	for i, code := range codes {
		want := cli.ExitConflict
		if winner.Operator == strconv.Itoa(i) {
			want = cli.ExitOK
		}
		require.Equal(t, want, code, "operator %d, winner %s: %s", i, winner.Operator, outputs[i])
	}
	began := time.Now()
	s.Eventually("the newest version to be in force on all nodes", func() bool {
		for i := range nodes {
			if r, err := s.Status(i); err != nil || r.ConfigHash != winner.Hash {
				return false
			}
		}
		return true
	})
	t.Logf("responses lost: %d; in force on all nodes %v after the last operator exited", forwarder.lost.Load(), time.Since(began).Round(time.Millisecond))
	for _, n := range s.Nodes {
		require.Equal(t, []uint64{1, 2}, versionsInForce(t, n), n.Name)
	}
	for _, n := range s.Nodes {
		require.Zero(t, n.Terminate(), n.Name)
		require.Equal(t, []uint64{1, 2}, versionsInForce(t, n), "%s: complete log after exit", n.Name)
	}
}
