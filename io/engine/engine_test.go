package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/backend"
	standin "guavapaddle/internal/testbed/standin/engine"
	"guavapaddle/internal/testbed/standin/fault"
	"guavapaddle/io/engine"
)

var (
	model = backend.Item{Name: "m", Version: "1"}
	other = backend.Item{Name: "n", Version: "1"}
)

var (
	// short sets timeouts that the test expects to expire.
	short = engine.StreamOptions{FirstEventTimeout: 200 * time.Millisecond, ProgressTimeout: 200 * time.Millisecond}
	// patient sets timeouts that must not expire on a busy machine.
	patient = engine.StreamOptions{FirstEventTimeout: time.Minute, ProgressTimeout: time.Minute}
)

// start starts an engine with a resident model and returns a client for it.
func start(t *testing.T, e *standin.Engine) *engine.Client {
	t.Helper()
	e.Name = "e"
	if e.MemoryBytes == 0 {
		e.MemoryBytes = 100
	}
	if e.Step == 0 {
		e.Step = time.Millisecond
	}
	address, err := e.Start()
	require.NoError(t, err)
	t.Cleanup(e.Close)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("engine counters: %v", e.Faults.Counters.All())
		}
	})
	require.True(t, e.Preload(model, 10))
	c := &engine.Client{Address: address}
	t.Cleanup(c.Close)
	return c
}

// newRequest returns a request for n tokens.
func newRequest(id string, n int) backend.Generate {
	return backend.Generate{RequestID: id, Item: model, Prompt: "prompt of " + id, MaxTokens: n}
}

// drain reads a stream to its end and returns the tokens and the finish reason.
func drain(s *engine.Stream) (tokens []string, finish string, err error) {
	defer s.Close()
	for {
		e, err := s.Next()
		if err != nil {
			return tokens, "", err
		}
		if e.Finish != "" {
			return tokens, e.Finish, nil
		}
		tokens = append(tokens, e.Token)
	}
}

// generate makes a request and reads the complete response.
func generate(c *engine.Client, g backend.Generate) (tokens []string, err error) {
	s, err := c.Generate(context.Background(), g, patient)
	if err != nil {
		return nil, err
	}
	tokens, _, err = drain(s)
	return tokens, err
}

// TestGenerate checks a complete response and its end.
func TestGenerate(t *testing.T) {
	c := start(t, &standin.Engine{})
	s, err := c.Generate(t.Context(), newRequest("r", 5), engine.StreamOptions{})
	require.NoError(t, err)
	got, finish, err := drain(s)
	require.NoError(t, err)
	require.Equal(t, "length", finish)
	require.Equal(t, standin.ExpectedTokens(model, "prompt of r", 5), got)
	_, err = s.Next()
	require.Equal(t, io.EOF, err)
}

// TestInvariantRefusalIsNotRun checks that exactly those failures that prove that the
// request did not run are reported as such, and that the engine indeed did not run it.
func TestInvariantRefusalIsNotRun(t *testing.T) {
	for _, c := range []struct {
		name   string
		engine *standin.Engine
		faults fault.Faults
		item   backend.Item
		kind   engine.Kind
		notRun bool
		runs   int64
	}{
		{"not resident", &standin.Engine{}, fault.Faults{}, other, engine.NotResident, true, 0},
		{"leaving", &standin.Engine{}, fault.Faults{Leaving: true}, model, engine.Leaving, true, 0},
		{"refuses", &standin.Engine{}, fault.Faults{Refuse: true}, model, engine.Leaving, true, 0},
		{"down", &standin.Engine{}, fault.Faults{Down: true}, model, engine.Lost, false, 0},
		{"answer dropped", &standin.Engine{}, fault.Faults{DropAnswers: 1}, model, engine.Lost, false, 1},
		{"black hole", &standin.Engine{}, fault.Faults{BlackHole: true}, model, engine.Silent, false, 0},
		{"late", &standin.Engine{}, fault.Faults{DelayMS: 60000}, model, engine.Silent, false, 1},
		{"crash", &standin.Engine{}, fault.Faults{CrashOn: "prompt"}, model, engine.Lost, false, 0},
		{"cut at once", &standin.Engine{}, fault.Faults{CutStreams: 1}, model, engine.Cut, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := start(t, c.engine)
			c.engine.Faults.SetFaults(c.faults)
			g := newRequest("r", 3)
			g.Item = c.item
			options := patient
			if c.kind == engine.Silent {
				options = short
			}
			s, err := client.Generate(t.Context(), g, options)
			if err == nil {
				_, _, err = drain(s)
			}
			require.Equal(t, c.kind, engine.KindOf(err), "%v", err)
			require.Equal(t, c.notRun, engine.NotRun(err))
			require.Eventually(t, func() bool { return c.engine.Faults.Counters.Get("runs") == c.runs }, 5*time.Second, time.Millisecond)
		})
	}
}

// TestFull checks that a request that finds the batch and the queue full is reported as not
// run.
func TestFull(t *testing.T) {
	e := &standin.Engine{Slots: 1, QueueBound: -1, Step: 10 * time.Millisecond}
	c := start(t, e)
	s, err := c.Generate(t.Context(), newRequest("long", 10000), engine.StreamOptions{})
	require.NoError(t, err)
	defer s.Close()
	_, err = c.Generate(t.Context(), newRequest("more", 1), engine.StreamOptions{})
	require.Equal(t, engine.Full, engine.KindOf(err))
	require.True(t, engine.NotRun(err))
}

// TestInvariantNotSentWithoutListener checks that a request to an address without a
// listener, or with a cancelled context, is reported as not run.
func TestInvariantNotSentWithoutListener(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	c := &engine.Client{Address: l.Addr().String()}
	_, err = c.Generate(t.Context(), newRequest("r", 1), short)
	require.Equal(t, engine.NotSent, engine.KindOf(err))
	require.True(t, engine.NotRun(err))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = c.Generate(ctx, newRequest("r", 1), short)
	require.True(t, engine.NotRun(err))
}

// TestInvariantStreamResumedWithoutGap interrupts a stream in each way that leaves the
// engine running. It checks that the rest of the response arrives on a new connection,
// without a gap and without a second run.
func TestInvariantStreamResumedWithoutGap(t *testing.T) {
	for _, c := range []struct {
		name     string
		faults   fault.Faults
		progress time.Duration
		kind     engine.Kind
	}{
		{"silent", fault.Faults{Silent: true}, 200 * time.Millisecond, engine.Silent},
		{"down", fault.Faults{Down: true}, time.Minute, engine.Cut},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := &standin.Engine{Step: 2 * time.Millisecond}
			client := start(t, e)
			options := engine.StreamOptions{FirstEventTimeout: time.Minute, ProgressTimeout: c.progress}
			s, err := client.Generate(t.Context(), newRequest("r", 600), options)
			require.NoError(t, err)
			first, err := s.Next()
			require.NoError(t, err)
			e.Faults.SetFaults(c.faults)
			rest, _, err := drain(s)
			require.Equal(t, c.kind, engine.KindOf(err), "%v", err)
			require.False(t, engine.NotRun(err))
			e.Faults.SetFaults(fault.Faults{})
			got := append([]string{first.Token}, rest...)
			s, err = client.Resume(t.Context(), backend.Resume{RequestID: "r", Offset: len(got)}, patient)
			require.NoError(t, err)
			rest, finish, err := drain(s)
			require.NoError(t, err)
			require.Equal(t, "length", finish)
			require.Equal(t, standin.ExpectedTokens(model, "prompt of r", 600), append(got, rest...))
			require.EqualValues(t, 1, e.Faults.Counters.Get("runs"))
		})
	}
}

// TestResumeUnknown checks that a request unknown to the engine cannot be resumed, and that
// a known one cannot be sent again.
func TestResumeUnknown(t *testing.T) {
	c := start(t, &standin.Engine{})
	_, err := c.Resume(t.Context(), backend.Resume{RequestID: "r"}, short)
	require.Equal(t, engine.UnknownRequest, engine.KindOf(err))
	_, err = generate(c, newRequest("r", 1))
	require.NoError(t, err)
	_, err = generate(c, newRequest("r", 1))
	require.Equal(t, engine.Duplicate, engine.KindOf(err))
	require.False(t, engine.NotRun(err))
}

// TestInvariantFailedResumeMayHaveRun checks that no failed resume proves that the request
// did not run, since a resumed request has run before.
func TestInvariantFailedResumeMayHaveRun(t *testing.T) {
	e := &standin.Engine{}
	c := start(t, e)
	_, err := generate(c, newRequest("r", 3))
	require.NoError(t, err)
	e.Faults.SetFaults(fault.Faults{Refuse: true})
	_, err = c.Resume(t.Context(), backend.Resume{RequestID: "r"}, short)
	require.Equal(t, engine.Leaving, engine.KindOf(err))
	require.False(t, engine.NotRun(err))
	e.Close()
	_, err = c.Resume(t.Context(), backend.Resume{RequestID: "r"}, short)
	require.Equal(t, engine.NotSent, engine.KindOf(err))
	require.False(t, engine.NotRun(err))
}

// TestInvariantInvalidStreamFails feeds streams that are not a valid response to the request
// and checks that each returns an error of the right kind.
func TestInvariantInvalidStreamFails(t *testing.T) {
	const token = `{"request-id":"r","offset":0,"token":" a"}` + "\n"
	for _, c := range []struct {
		name, body string
		kind       engine.Kind
	}{
		{"empty", "", engine.Cut},
		{"no finish", token, engine.Cut},
		{"last line cut", token + `{"request-id":"r","offs`, engine.Cut},
		{"finish cut short of its end", token + `{"request-id":"r","offset":1,"finish":"leng`, engine.Cut},
		{"another request", `{"request-id":"q","offset":0,"token":" a"}` + "\n", engine.WrongRequest},
		{"no request", `{"offset":0,"token":" a"}` + "\n", engine.WrongRequest},
		{"another request later", token + `{"request-id":"q","offset":1,"finish":"stop"}` + "\n", engine.WrongRequest},
		{"gap", token + `{"request-id":"r","offset":2,"token":" a"}` + "\n", engine.WrongOffset},
		{"doubled", token + token, engine.WrongOffset},
		{"finish too early", token + `{"request-id":"r","offset":3,"finish":"stop"}` + "\n", engine.WrongOffset},
		{"neither token nor finish", `{"request-id":"r","offset":0}` + "\n", engine.Malformed},
		{"both", `{"request-id":"r","offset":0,"token":" a","finish":"stop"}` + "\n", engine.Malformed},
		{"not JSON", "hello\nhello\n", engine.Malformed},
		{"endless line", `{"request-id":"` + strings.Repeat("x", 2<<20), engine.Malformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, c.body)
			}))
			defer server.Close()
			client := &engine.Client{Address: server.Listener.Addr().String()}
			s, err := client.Generate(t.Context(), newRequest("r", 2), patient)
			require.NoError(t, err)
			_, finish, err := drain(s)
			require.Equal(t, c.kind, engine.KindOf(err), "%v", err)
			require.Empty(t, finish)
			_, again := s.Next()
			require.Equal(t, err, again)
		})
	}
}

// TestInvariantStatusIsNoProof checks that an error status without NotRunHeader does not
// prove that the request did not run.
func TestInvariantStatusIsNoProof(t *testing.T) {
	for _, status := range []int{http.StatusNotFound, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadGateway} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		defer server.Close()
		c := &engine.Client{Address: server.Listener.Addr().String()}
		_, err := c.Generate(t.Context(), newRequest("r", 1), short)
		require.Equal(t, engine.Failed, engine.KindOf(err))
		require.False(t, engine.NotRun(err))
	}
}

// TestSlowReader checks that the time that the reader spends between calls of Next does not
// count towards the progress timeout.
func TestSlowReader(t *testing.T) {
	c := start(t, &standin.Engine{})
	s, err := c.Generate(t.Context(), newRequest("r", 5), engine.StreamOptions{ProgressTimeout: 500 * time.Millisecond})
	require.NoError(t, err)
	for range 3 {
		_, err := s.Next()
		require.NoError(t, err)
		time.Sleep(600 * time.Millisecond)
	}
}

// TestCallerGone checks that a stream ends with Cancelled when the caller's context ends or
// another goroutine closes it, and that this is not reported as a failure of the engine.
func TestCallerGone(t *testing.T) {
	e := &standin.Engine{Step: 10 * time.Millisecond}
	c := start(t, e)
	for name, end := range map[string]func(context.CancelFunc, *engine.Stream){
		"cancel": func(cancel context.CancelFunc, _ *engine.Stream) { cancel() },
		"close":  func(_ context.CancelFunc, s *engine.Stream) { s.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s, err := c.Generate(ctx, newRequest(name, 1000), engine.StreamOptions{})
			require.NoError(t, err)
			go end(cancel, s)
			_, _, err = drain(s)
			require.Equal(t, engine.Cancelled, engine.KindOf(err), "%v", err)
			require.NoError(t, c.Cancel(t.Context(), name))
		})
	}
}

// TestOrders checks the errors of orders and fences.
func TestOrders(t *testing.T) {
	e := &standin.Engine{ChecksOrders: true, ColdStart: time.Hour}
	c := start(t, e)
	inventory, err := c.Fence(t.Context(), 7)
	require.NoError(t, err)
	require.EqualValues(t, 7, inventory.Fence)
	require.Equal(t, []backend.ItemStatus{{Item: model, State: backend.Resident, Bytes: 10}}, inventory.Items)
	_, err = c.Fence(t.Context(), 6)
	var stale *engine.Error
	require.True(t, errors.As(err, &stale))
	require.Equal(t, engine.StaleFence, stale.Kind)
	require.EqualValues(t, 7, stale.Fence)
	adapter := backend.Item{Name: "a", Version: "1", Base: "absent"}
	for _, c2 := range []struct {
		order backend.Order
		kind  engine.Kind
		done  bool
	}{
		{backend.Order{OrderID: "1", Fence: 6, Op: backend.Load, Item: other, Bytes: 1}, engine.StaleFence, false},
		{backend.Order{OrderID: "2", Fence: 7, Op: backend.Load, Item: other, Bytes: 91}, engine.NoSpace, false},
		{backend.Order{OrderID: "3", Fence: 7, Op: backend.Load, Item: adapter, Bytes: 1}, engine.NoBase, false},
		{backend.Order{OrderID: "4", Fence: 7, Op: backend.Load, Item: other, Bytes: 1}, "", false},
		{backend.Order{OrderID: "4", Fence: 7, Op: backend.Load, Item: other, Bytes: 1}, "", false},
		{backend.Order{OrderID: "5", Fence: 7, Op: backend.Unload, Item: other}, "", false},
		{backend.Order{OrderID: "6", Fence: 7, Op: backend.Load, Item: other, Bytes: 1}, engine.InUse, false},
		{backend.Order{OrderID: "7", Fence: 8, Op: backend.Unload, Item: model}, "", true},
		{backend.Order{OrderID: "8", Fence: 7, Op: backend.Unload, Item: model}, engine.StaleFence, false},
	} {
		done, err := c.Order(t.Context(), c2.order)
		require.Equal(t, c2.kind, engine.KindOf(err), "order %s: %v", c2.order.OrderID, err)
		require.Equal(t, c2.done, done, "order %s", c2.order.OrderID)
	}
	e.Faults.SetFaults(fault.Faults{DropAnswers: 1})
	_, err = c.Order(t.Context(), backend.Order{OrderID: "9", Fence: 9, Op: backend.Unload, Item: model})
	require.Equal(t, engine.Lost, engine.KindOf(err))
}

// TestInvariantMemoryNeverOvercommitted sends random orders to an engine from several
// goroutines, some of them delayed, lost or repeated, and checks that its memory is never
// overcommitted.
func TestInvariantMemoryNeverOvercommitted(t *testing.T) {
	for seed := range uint64(3) {
		e := &standin.Engine{MemoryBytes: 100, ChecksOrders: seed == 0, ColdStart: time.Millisecond}
		c := start(t, e)
		var wg sync.WaitGroup
		for worker := range uint64(8) {
			wg.Go(func() {
				random := rand.New(rand.NewPCG(seed, worker))
				for range 100 {
					o := backend.Order{OrderID: fmt.Sprint(random.IntN(400)), Op: backend.Load, Bytes: 1 + random.Int64N(60),
						Item: backend.Item{Name: "m", Version: fmt.Sprint(random.IntN(6))}}
					if random.IntN(3) == 0 {
						o.Op = backend.Unload
					}
					if random.IntN(10) == 0 {
						e.Faults.SetFaults(fault.Faults{LoseOrders: random.IntN(3), OrderDelayMS: random.Int64N(5)})
					}
					_, err := c.Order(context.Background(), o)
					if k := engine.KindOf(err); k != "" && k != engine.NoSpace && k != engine.InUse {
						t.Errorf("unexpected order error: %v", err)
					}
				}
			})
		}
		wg.Wait()
		require.LessOrEqual(t, e.Faults.Counters.Get("peak-memory-bytes"), int64(100))
		require.Positive(t, e.Faults.Counters.Get("overcommit-refused"))
		require.Zero(t, e.Faults.Counters.Get("memory-violations"))
	}
}

// TestInvariantLateResponseIsDiscarded makes calls time out and checks that the next calls
// receive their own responses, on their own connections, until the late ones have come. The
// delay is twice the deadline with its grace.
func TestInvariantLateResponseIsDiscarded(t *testing.T) {
	const delay = 400 * time.Millisecond
	e := &standin.Engine{}
	c := start(t, e)
	_, err := c.State(t.Context())
	require.NoError(t, err)
	for i := range 5 {
		e.Faults.SetFaults(fault.Faults{DelayMS: delay.Milliseconds()})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		_, err := c.State(ctx)
		cancel()
		require.Equal(t, engine.Lost, engine.KindOf(err))
		_, err = c.Generate(t.Context(), newRequest(fmt.Sprint("late", i), 3), engine.StreamOptions{FirstEventTimeout: 100 * time.Millisecond})
		require.Equal(t, engine.Silent, engine.KindOf(err))
		e.Faults.SetFaults(fault.Faults{})
		timedOut := time.Now()
		for n := 0; n == 0 || time.Since(timedOut) < delay; n++ {
			id := fmt.Sprint("next", i, "-", n)
			got, err := generate(c, newRequest(id, 3))
			require.NoError(t, err)
			require.Equal(t, standin.ExpectedTokens(model, "prompt of "+id, 3), got)
			events, err := c.CacheEvents(t.Context(), 0)
			require.NoError(t, err)
			require.Empty(t, events.Events)
		}
	}
}

// TestInvariantConcurrentResponses makes a thousand concurrent requests with three
// priorities, many with the same prompt, while streams are cut. It checks that each request
// receives its own complete response, which depends only on the prompt.
func TestInvariantConcurrentResponses(t *testing.T) {
	const requests = 1000
	e := &standin.Engine{Slots: 100, QueueBound: requests, CacheBlocks: 100}
	c := start(t, e)
	e.Faults.SetFaults(fault.Faults{DelayMS: 20, CutStreams: 300, CutAfter: 2})
	var wg sync.WaitGroup
	failures := make(chan error, requests)
	for i := range requests {
		g := backend.Generate{
			RequestID: fmt.Sprintf("r%d", i), Item: model, Prompt: fmt.Sprintf("prompt %d", i%400),
			MaxTokens: 1 + i%13, Priority: i % 3,
		}
		wg.Go(func() { failures <- generateWithRetry(c, g) })
	}
	wg.Wait()
	for range requests {
		require.NoError(t, <-failures)
	}
	require.EqualValues(t, requests, e.Faults.Counters.Get("runs"))
	require.EqualValues(t, 300, e.Faults.Counters.Get("streams-cut"))
}

// generateWithRetry makes a request and resumes it until the response is complete. It fails
// if the response does not match the prompt. A call that could not be sent, as can happen on
// a busy machine, is repeated; the engine counts the runs.
func generateWithRetry(c *engine.Client, g backend.Generate) error {
	var got []string
	sent := false
	for {
		s, err := openStream(c, g, sent, len(got))
		if engine.KindOf(err) == engine.NotSent {
			continue
		}
		if err != nil {
			return err
		}
		sent = true
		tokens, finish, err := drain(s)
		got = append(got, tokens...)
		if finish != "" {
			break
		}
		if engine.KindOf(err) != engine.Cut {
			return err
		}
	}
	want := standin.ExpectedTokens(g.Item, g.Prompt, g.MaxTokens)
	if strings.Join(got, "") != strings.Join(want, "") {
		return fmt.Errorf("%s: got %q, want %q", g.RequestID, got, want)
	}
	return nil
}

// openStream makes a request, or resumes it if it was sent before.
func openStream(c *engine.Client, g backend.Generate, sent bool, offset int) (*engine.Stream, error) {
	if sent {
		return c.Resume(context.Background(), backend.Resume{RequestID: g.RequestID, Offset: offset}, patient)
	}
	return c.Generate(context.Background(), g, patient)
}
