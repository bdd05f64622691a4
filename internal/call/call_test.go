package call_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/config"
	"guavapaddle/core/outcome"
	"guavapaddle/core/retry"
	"guavapaddle/core/suspect"
	"guavapaddle/internal/call"
	"guavapaddle/internal/claims"
	"guavapaddle/internal/suspects"
	"guavapaddle/internal/testbed/await"
	"guavapaddle/internal/testbed/tabletest"
)

var (
	lookup = config.Kind{Name: "lookup", DeadlineMS: 4000, Repeatable: true}
	book   = config.Kind{Name: "book", DeadlineMS: 4000}
)

type (
	// service simulates a plain service on several servers and records sends and
	// runs.
	service struct {
		mu    sync.Mutex
		fault func(server string, r call.Request) string // returns the fault of a send, see Send
		runs  []run
		sends []run
		down  map[string]bool
	}

	// run is one recorded run of a call.
	run struct{ server, request, key, body string }
)

// Send implements call.Backend. The fault is "" for a response, "unreachable",
// "refused", "lost before it ran", "lost", "silent" or "crash".
func (s *service) Send(ctx context.Context, b config.BackendServer, r call.Request) (call.Response, error) {
	s.mu.Lock()
	fault := ""
	if s.fault != nil {
		fault = s.fault(b.Name, r)
	}
	if s.down[b.Name] {
		fault = "unreachable"
	}
	sent := run{server: b.Name, request: r.RequestID, key: r.IdempotencyKey, body: string(r.Body)}
	s.sends = append(s.sends, sent)
	if !slices.Contains([]string{"unreachable", "refused", "lost before it ran"}, fault) {
		s.runs = append(s.runs, sent)
	}
	if fault == "crash" {
		s.down[b.Name] = true
	}
	s.mu.Unlock()
	switch fault {
	case "unreachable":
		return call.Response{}, outcome.Refuse(outcome.BackendUnreachable, "", time.Second)
	case "refused":
		return call.Response{}, outcome.Refuse(outcome.BackendRefused, "", time.Second)
	case "silent":
		<-ctx.Done()
		return call.Response{}, outcome.Unconfirmed(outcome.BackendLost, "silent")
	case "":
		time.Sleep(3 * time.Millisecond)
		return call.Response{Status: 200, Body: answer(r)}, nil
	}
	return call.Response{}, outcome.Unconfirmed(outcome.BackendLost, "")
}

// Alive implements call.Prober.
func (s *service) Alive(_ context.Context, b config.BackendServer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.down[b.Name]
}

// answer returns the response body for r.
func answer(r call.Request) []byte { return []byte("answer to " + string(r.Body)) }

// newNode returns a Caller with a claim store on table and the given number of
// servers.
func newNode(t *testing.T, name string, s *service, table claims.Table, servers int) *call.Caller {
	if s.down == nil {
		s.down = map[string]bool{}
	}
	store := &claims.Store{Table: table, Node: name, Incarnation: 1}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { store.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); await.Value(t, done, "end of the store") })
	var list []config.BackendServer
	for i := range servers {
		list = append(list, config.BackendServer{Name: fmt.Sprint("s", i), Type: config.Service, Service: "bookings"})
	}
	pool := &call.Pool{}
	pool.Set(list, func(string) bool { return false })
	return &call.Caller{Servers: pool, Backend: s, Claims: store, Prober: s, Seed: 1}
}

// request returns a call of the simulated service.
func request(kind config.Kind, id, key, body string) call.Request {
	return call.Request{
		Team: "corella", Kind: kind, Service: "bookings", Method: "POST", Path: "/bookings/confirm",
		Body: []byte(body), IdempotencyKey: key, RequestID: id,
	}
}

// alwaysFault returns a fault function that returns the same fault for every
// send.
func alwaysFault(fault string) func(string, call.Request) string {
	return func(string, call.Request) string { return fault }
}

// requireOutcome requires that err has the outcome and the reason.
func requireOutcome(t *testing.T, err error, o outcome.Outcome, r outcome.Reason) {
	t.Helper()
	require.Error(t, err)
	require.Equal(t, o, outcome.From(err).Outcome)
	require.Equal(t, r, outcome.From(err).Reason)
}

// TestInvariantRefusedNotRunReasons guards against a call that is refused as not
// run, for any reason, although it ran or runs later.
func TestInvariantRefusedNotRunReasons(t *testing.T) {
	past := request(book, "r1", "k1", "b")
	past.Deadline = time.UnixMilli(1)
	for name, c := range map[string]struct {
		fault   string
		table   tabletest.Fault
		servers int
		request call.Request
		reason  outcome.Reason
	}{
		"no server":           {"", tabletest.Fault{}, 0, request(book, "r1", "k1", "b"), outcome.NoServer},
		"unreachable":         {"unreachable", tabletest.Fault{}, 3, request(book, "r1", "k1", "b"), outcome.BackendUnreachable},
		"unreachable, no key": {"unreachable", tabletest.Fault{}, 3, request(book, "r1", "", "b"), outcome.BackendUnreachable},
		"confirmed":           {"refused", tabletest.Fault{}, 3, request(book, "r1", "k1", "b"), outcome.BackendRefused},
		"confirmed, no key":   {"refused", tabletest.Fault{}, 3, request(book, "r1", "", "b"), outcome.BackendRefused},
		"lookup confirmed":    {"refused", tabletest.Fault{}, 3, request(lookup, "r1", "", "b"), outcome.BackendRefused},
		"table refuses":       {"", tabletest.Fault{Refuse: true}, 3, request(book, "r1", "k1", "b"), outcome.TableDown},
		"table unresponsive":  {"", tabletest.Fault{Hang: true}, 3, request(book, "r1", "k1", "b"), outcome.TableDown},
		"table reply lost":    {"", tabletest.Fault{LoseResponse: true}, 3, request(book, "r1", "k1", "b"), outcome.TableDown},
		"deadline passed":     {"", tabletest.Fault{}, 3, past, outcome.DeadlinePassed},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &service{fault: alwaysFault(c.fault)}
				table := tabletest.New()
				table.SetFault(func(tabletest.Call) tabletest.Fault { return c.table })
				n := newNode(t, "n1", s, table, c.servers)
				_, err := n.Do(t.Context(), c.request)
				requireOutcome(t, err, outcome.RefusedNotRun, c.reason)
				require.Empty(t, s.runs)
				table.SetFault(nil)
				s.fault = nil
				time.Sleep(30 * time.Second)
				require.Empty(t, s.runs, "it does not run later either")
				if c.servers > 0 && c.reason != outcome.DeadlinePassed {
					_, err = n.Do(t.Context(), c.request)
					require.NoError(t, err, "a repeat runs")
				}
			})
		})
	}
}

// TestInvariantAtMostOnceSend guards against a second send of a call that is not
// repeatable after its only send failed. A repeat, also through another node,
// gets the outcome unknown.
func TestInvariantAtMostOnceSend(t *testing.T) {
	for name, c := range map[string]struct {
		fault, key string
		ran        int
	}{
		"lost":                {"lost", "k1", 1},
		"lost, no key":        {"lost", "", 1},
		"silent":              {"silent", "k1", 1},
		"silent, no key":      {"silent", "", 1},
		"lost before it ran":  {"lost before it ran", "k1", 0},
		"server crashes":      {"crash", "k1", 1},
		"lost, without claim": {"lost before it ran", "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &service{fault: alwaysFault(c.fault)}
				table := tabletest.New()
				n := newNode(t, "n1", s, table, 3)
				_, err := n.Do(t.Context(), request(book, "r1", c.key, "b"))
				requireOutcome(t, err, outcome.Unknown, outcome.BackendLost)
				require.Len(t, s.runs, c.ran)
				require.Len(t, s.sends, 1, "sent once")
				if c.key == "" {
					return
				}
				s.fault = nil
				time.Sleep(time.Second)
				_, err = newNode(t, "n2", s, table, 3).Do(t.Context(), request(book, "r2", c.key, "b"))
				requireOutcome(t, err, outcome.Unknown, outcome.BackendLost)
				require.Len(t, s.sends, 1)
			})
		})
	}
}

func TestKeyedCallRetriesOnAnotherServerIfNotRun(t *testing.T) {
	for _, fault := range []string{"unreachable", "refused"} {
		synctest.Test(t, func(t *testing.T) {
			s := &service{}
			first := ""
			s.fault = func(server string, _ call.Request) string {
				if first == "" || first == server {
					first = server
					return fault
				}
				return ""
			}
			n := newNode(t, "n1", s, tabletest.New(), 2)
			a, err := n.Do(t.Context(), request(book, "r1", "k1", "b"))
			require.NoError(t, err)
			require.NotEqual(t, first, a.Server)
			require.Len(t, s.runs, 1)
		})
	}
}

func TestRepeatReturnsStoredAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &service{}
		table := tabletest.New()
		r := request(book, "r1", "k1", "b")
		a, err := newNode(t, "n1", s, table, 2).Do(t.Context(), r)
		require.NoError(t, err)
		require.False(t, a.Stored)
		time.Sleep(100 * time.Millisecond)
		other := newNode(t, "n2", s, table, 2)
		again, err := other.Do(t.Context(), r)
		require.NoError(t, err)
		require.True(t, again.Stored)
		require.Equal(t, a.Body, again.Body)
		r.Body = []byte("other")
		_, err = other.Do(t.Context(), r)
		requireOutcome(t, err, outcome.RefusedNotRun, outcome.KeyReused)
		r.Team = "kabinaki"
		b, err := other.Do(t.Context(), r)
		require.NoError(t, err)
		require.Equal(t, answer(r), b.Body)
		require.Len(t, s.runs, 2)
	})
}

// TestCallContinuesAfterCallerDisconnects guards against cancelling a call that
// is not repeatable when its caller disconnects: it runs to its end, so that its
// response is stored for a repeat.
func TestCallContinuesAfterCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &service{}
		n := newNode(t, "n1", s, tabletest.New(), 2)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := n.Do(ctx, request(book, "r1", "k1", "b"))
		require.NoError(t, err)
		require.Len(t, s.runs, 1)
	})
}

// TestRepeatableCallRetriesOnAnotherServer checks that the second attempt of a
// repeatable call goes to another server even if the pool's cooldown does not
// exclude the first.
func TestRepeatableCallRetriesOnAnotherServer(t *testing.T) {
	for _, fault := range []string{"lost", "unreachable", "refused", "silent", "crash"} {
		t.Run(fault, func(t *testing.T) {
			for range 8 {
				synctest.Test(t, func(t *testing.T) { checkRetryOnAnotherServer(t, fault) })
			}
		})
	}
}

// checkRetryOnAnotherServer makes the server that is picked first fail.
func checkRetryOnAnotherServer(t *testing.T, fault string) {
	s := &service{}
	first := ""
	s.fault = func(server string, _ call.Request) string {
		if first == "" || first == server {
			first = server
			return fault
		}
		return ""
	}
	n := newNode(t, "n1", s, tabletest.New(), 2)
	n.Servers.(*call.Pool).Cooldown = time.Nanosecond
	start := time.Now()
	a, err := n.Do(t.Context(), request(lookup, "r1", "", "b"))
	require.NoError(t, err)
	require.NotEqual(t, first, a.Server)
	require.Len(t, s.sends, 2, "the second attempt goes to the other server")
	require.Less(t, time.Since(start), 4*time.Second)
}

// TestUnconfirmedAttemptDecidesOutcome guards against reporting a call as not
// run because its last attempt did not run, although an earlier one may have.
func TestUnconfirmedAttemptDecidesOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &service{}
		n := 0
		s.fault = func(string, call.Request) string {
			n++
			return []string{"lost", "unreachable", "unreachable"}[n-1]
		}
		_, err := newNode(t, "n1", s, tabletest.New(), 3).Do(t.Context(), request(lookup, "r1", "", "b"))
		requireOutcome(t, err, outcome.Unknown, outcome.BackendLost)
		require.Equal(t, 3, n)
	})
}

// TestInvariantRetryBudgetOfCalls guards against a retry storm: with half of the
// servers losing calls and no cooldown, sends stay below 1.2 times the calls.
func TestInvariantRetryBudgetOfCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &service{}
		s.fault = func(server string, _ call.Request) string {
			if server == "s0" || server == "s1" {
				return "lost"
			}
			return ""
		}
		n := newNode(t, "n1", s, tabletest.New(), 4)
		n.Servers.(*call.Pool).Cooldown = time.Nanosecond // disables the cooldown
		n.Budget = retry.Budget{}
		const calls = 2000
		var wg sync.WaitGroup
		for i := range calls {
			time.Sleep(5 * time.Millisecond)
			wg.Go(func() { _, _ = n.Do(t.Context(), request(lookup, fmt.Sprint(i), "", fmt.Sprint(i))) })
		}
		wg.Wait()
		require.Less(t, len(s.sends), calls*12/10)
		require.Greater(t, len(s.sends), calls, "some are retried")
	})
}

// TestInvariantCrashingRequestOfAPlainService checks that a call that crashes
// every server it reaches, sent repeatedly through nodes that share their
// suspicion marks, crashes no more than two servers.
func TestInvariantCrashingRequestOfAPlainService(t *testing.T) {
	for _, kind := range []config.Kind{lookup, book} {
		t.Run(kind.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &service{}
				s.fault = func(_ string, r call.Request) string {
					if string(r.Body) == "poison" {
						return "crash"
					}
					return ""
				}
				nodes := newGuardedNodes(t, s, tabletest.New(), 8, 6)
				for i := range 40 {
					_, err := nodes[i%8].Do(t.Context(), request(kind, fmt.Sprint("r", i), fmt.Sprint("k", i), "poison"))
					require.Error(t, err)
					time.Sleep(300 * time.Millisecond)
				}
				require.Len(t, s.down, 2)
				_, err := nodes[0].Do(t.Context(), request(kind, "x", "kx", "poison"))
				requireOutcome(t, err, outcome.RefusedNotRun, outcome.CrashSuspect)
				_, err = nodes[3].Do(t.Context(), request(kind, "y", "ky", "innocent"))
				require.NoError(t, err)
			})
		})
	}
}

// newGuardedNodes returns nodes that share a table and their suspicion marks.
func newGuardedNodes(t *testing.T, s *service, table *tabletest.Table, count, servers int) []*call.Caller {
	var nodes []*call.Caller
	var guards []*suspects.Guard
	for i := range count {
		n := newNode(t, fmt.Sprint("n", i), s, table, servers)
		g := &suspects.Guard{Table: table}
		n.Suspects = g
		nodes, guards = append(nodes, n), append(guards, g)
	}
	for _, g := range guards {
		g.Broadcast = mergeInto(guards)
		t.Cleanup(g.Wait)
	}
	return nodes
}

// mergeInto returns a function that merges marks into every guard.
func mergeInto(guards []*suspects.Guard) func(context.Context, []suspect.Mark) {
	return func(_ context.Context, marks []suspect.Mark) {
		for _, g := range guards {
			g.Merge(marks)
		}
	}
}
