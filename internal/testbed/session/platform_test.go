package session_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/status"
	"guavapaddle/internal/testbed/session"
	"guavapaddle/io/vmlist"
)

// TestInvariantPlatformOutage takes the table and the object store down for longer than a
// lease lasts. Model traffic must continue, a node that starts must get its configuration
// from its peers, bookings must be refused as not run without running, and bookings must be
// accepted again afterwards.
func TestInvariantPlatformOutage(t *testing.T) {
	t.Parallel()
	s := session.New(t, allCopies(session.SmallDocument(t, 2, 1)), session.Options{})
	s.StartNodes(3)
	for _, part := range []string{"/fault/table", "/fault/object"} {
		s.SetFaults(s.Platform, part, `{"down":true}`)
	}
	end := time.Now().Add(12 * time.Second)
	restarted := false
	for i := 0; time.Now().Before(end); i++ {
		a := s.Do(i%2, http.MethodPost, chat, session.UnstreamedChat("drafter", fmt.Sprint("outage ", i), 5))
		require.Equal(t, http.StatusOK, a.Status, a.Body)
		b := s.Do(i%2, http.MethodPost, "/bookings/confirm", `{}`, "Idempotency-Key", fmt.Sprint("k", i))
		require.Equal(t, http.StatusServiceUnavailable, b.Status, b.Body)
		require.Equal(t, "refused-not-run", b.Header.Get("X-Outcome"))
		require.Equal(t, "table-down", b.Header.Get("X-Reason"))
		require.NotEmpty(t, b.Header.Get("Retry-After"))
		if !restarted {
			restarted = true
			s.RestartNode(2)
		}
	}
	require.Equal(t, 0, s.Runs("desk-1", "/bookings/confirm"))
	s.Eventually("the configuration from peers", func() bool {
		r, err := s.Status(2)
		return err == nil && r.ConfigVersion == 1 && r.Ready
	})
	a := s.Do(2, http.MethodPost, chat, session.UnstreamedChat("drafter", "the new node", 5))
	require.Equal(t, http.StatusOK, a.Status, a.Body)

	for _, part := range []string{"/fault/table", "/fault/object"} {
		s.SetFaults(s.Platform, part, `{}`)
	}
	s.Eventually("bookings", func() bool {
		return s.Do(0, http.MethodPost, "/bookings/confirm", `{}`, "Idempotency-Key", "k0").Status == http.StatusOK
	})
	require.Equal(t, 1, s.Runs("desk-1", "/bookings/confirm"))
}

// TestInvariantOperatorsRaceProcesses lets eight operators apply documents concurrently
// while four responses of the table are lost. Exactly one history must result, each operator
// must get the correct result, and all nodes must have the newest version when the commands
// return.
func TestInvariantOperatorsRaceProcesses(t *testing.T) {
	t.Parallel()
	const operators = 8
	s := session.New(t, session.SmallDocument(t, 2, 1), session.Options{})
	s.StartNodes(3)
	s.SetFaults(s.Platform, "/fault/table", `{"drop-answers":4}`)
	codes := make([]int, operators)
	outs := make([]string, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			doc := *s.Document
			doc.Placement.MovePrice = float64(i + 100) // differs from the value in force
			codes[i], outs[i] = s.ApplyBase(fmt.Sprint("operator-", i), &doc, 1)
		})
	}
	wg.Wait()
	won := 0
	for i, code := range codes {
		switch code {
		case 0:
			won++
		case 3:
			require.Contains(t, outs[i], "operator-", "must name the winner")
		default:
			require.Fail(t, "unexpected exit", "%d %s", code, outs[i])
		}
	}
	require.Equal(t, 1, won, "exactly one of the operators that saw version 1 must win: %v", codes)
	hashes := map[string]bool{}
	for i := range s.Nodes {
		r, err := s.Status(i)
		require.NoError(t, err)
		require.Equal(t, uint64(2), r.ConfigVersion)
		hashes[r.ConfigHash] = true
	}
	require.Len(t, hashes, 1)
}

// TestInvariantLeavingServer makes an engine leave while the VM list lags by 10 s. Three
// seconds after the engine has announced it, the engine must get no new work.
func TestInvariantLeavingServer(t *testing.T) {
	t.Parallel()
	s := session.New(t, allCopies(session.SmallDocument(t, 3, 1)), session.Options{Platform: []string{"-vm-lag", "10s"}})
	s.StartNodes(3)
	running := s.Stream(0, session.StreamedChat("drafter", "goes on", streamTokens))
	require.True(t, running.Read(3))
	server := running.Last[strings.LastIndex(running.Last, ".")+1:]
	s.SetFaults(s.Servers[server], "/fault", `{"leaving":true}`)
	announced := time.Now()
	served := 0
	for i := 0; time.Since(announced) < 3*time.Second; i++ {
		a := s.Do(i%3, http.MethodPost, chat, session.UnstreamedChat("drafter", fmt.Sprint("leaving ", i), 3))
		require.Equal(t, http.StatusOK, a.Status, a.Body)
		served++
	}
	require.Positive(t, served)
	before := s.Counters(s.Servers[server])["runs"]
	for i := range 30 {
		a := s.Do(i%3, http.MethodPost, chat, session.UnstreamedChat("drafter", fmt.Sprint("after ", i), 3))
		require.Equal(t, http.StatusOK, a.Status, a.Body)
	}
	require.Equal(t, before, s.Counters(s.Servers[server])["runs"])
	require.True(t, running.Read(-1), running.Error)
	require.Equal(t, session.ExpectedTokens("drafter@1", "goes on", streamTokens), running.Tokens)
}

// TestInvariantLeavingByVMList announces that an engine leaves only through the VM list,
// with a lag of 2 s. Three seconds after the first node has read it, the engine must get no
// new work, although it would accept it.
func TestInvariantLeavingByVMList(t *testing.T) {
	t.Parallel()
	s := session.New(t, allCopies(session.SmallDocument(t, 2, 1)), session.Options{Platform: []string{"-vm-lag", "2s"}})
	s.StartNodes(3)
	s.SetVM("gpu-1", "engine", vmlist.Leaving)
	s.Eventually("a node to see gpu-1 as leaving", func() bool {
		for i := range s.Nodes {
			if r, err := s.Status(i); err == nil && isLeaving(r, "gpu-1") {
				return true
			}
		}
		return false
	})
	noticed := time.Now()
	for i := 0; time.Since(noticed) < 3*time.Second; i++ {
		a := s.Do(i%3, http.MethodPost, chat, session.UnstreamedChat("drafter", fmt.Sprint("leaving ", i), 3))
		require.Equal(t, http.StatusOK, a.Status, a.Body)
	}
	before := s.Counters(s.Servers["gpu-1"])["runs"]
	for i := range 30 {
		a := s.Do(i%3, http.MethodPost, chat, session.UnstreamedChat("drafter", fmt.Sprint("after ", i), 3))
		require.Equal(t, http.StatusOK, a.Status, a.Body)
	}
	require.Equal(t, before, s.Counters(s.Servers["gpu-1"])["runs"])
}

// isLeaving reports whether a node's status shows a server as leaving.
func isLeaving(r status.Report, server string) bool {
	for _, v := range r.Servers {
		if v.Server == server {
			return v.Leaving
		}
	}
	return false
}

// TestInvariantVersionChange changes the version of a model on nearly full engines under
// load. The model must be served throughout, and every response must come from a single
// version.
func TestInvariantVersionChange(t *testing.T) {
	t.Parallel()
	doc := session.SmallDocument(t, 2, 1)
	for i := range doc.Servers {
		if doc.Servers[i].MemoryBytes > 0 { // room for one version of every item and little more
			doc.Servers[i].MemoryBytes = 4_000_000_000 + 8_800_000_000 + 4_400_000_000 + 500_000_000 + 9_000_000_000
		}
	}
	s := session.New(t, doc, session.Options{Engine: map[string][]string{"": {"-load-base", "500ms"}}})
	s.StartNodes(2)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	versions := map[string]int{}
	var wrong []string
	for k := range 4 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				prompt := fmt.Sprintf("worker %d request %d", k, i)
				a := s.Do(k%2, http.MethodPost, chat, session.UnstreamedChat("drafter", prompt, 12))
				mu.Lock()
				switch {
				case a.Status != http.StatusOK:
					wrong = append(wrong, fmt.Sprint(a.Status, a.Body))
				case strings.Contains(a.Body, strings.Join(session.ExpectedTokens("drafter@1", prompt, 12), "")):
					versions["1"]++
				case strings.Contains(a.Body, strings.Join(session.ExpectedTokens("drafter@2", prompt, 12), "")):
					versions["2"]++
				default:
					wrong = append(wrong, "mixed: "+a.Body)
				}
				mu.Unlock()
			}
		})
	}
	s.Document.Models[0].Version = "2"
	code, out := s.Apply(s.Document)
	require.Equal(t, 0, code, out)
	s.WaitResident()
	s.Eventually("the old version to be unloaded", func() bool { return residentCopies(t, s, "drafter", "1") == 0 })
	close(stop)
	wg.Wait()
	require.Empty(t, wrong)
	require.Positive(t, versions["1"])
	for _, p := range s.Servers {
		require.Zero(t, s.Counters(p)["memory-violations"])
		require.Zero(t, s.Counters(p)["overcommit-refused"], "an order did not fit into memory")
	}
}

// residentCopies returns how many servers hold a version of an item in the first node's
// view.
func residentCopies(t *testing.T, s *session.System, name, version string) int {
	r, err := s.Status(0)
	require.NoError(t, err)
	return countResident(r, name, version)
}

func countResident(r status.Report, name, version string) int {
	n := 0
	for _, v := range r.Servers {
		for _, i := range v.Resident {
			if i.Name == name && i.Version == version {
				n++
			}
		}
	}
	return n
}
