package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"guavapaddle/core/balance"
	"guavapaddle/core/fleet"
	"guavapaddle/internal/gateway"
	"guavapaddle/internal/hub"
	"guavapaddle/internal/logging"
	"guavapaddle/io/http1"
	"guavapaddle/platform/standin"
)

type (
	// rig is a gateway on a listener, in front of stand-in servers.
	rig struct {
		t       *testing.T
		gateway *gateway.Gateway
		server  *http1.Server
		address string
		log     *buffer
	}

	// buffer is a log that can be read and written concurrently.
	buffer struct {
		mu sync.Mutex
		b  bytes.Buffer
	}

	// response is the response that a client received.
	response struct {
		status int
		header http.Header
		body   string
		err    error // of reading the header or the body
	}
)

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

var routes = []fleet.Route{
	{Name: "safe", Host: "h.example", Prefix: "/safe/", Kind: fleet.Safe, MaxAttempts: 2, Timeout: 2 * time.Second, Splits: []fleet.Split{{Service: "plain", Weight: 1}}},
	{Name: "unsafe", Host: "h.example", Prefix: "/unsafe/", Kind: fleet.Unsafe, MaxAttempts: 1, Timeout: 2 * time.Second, Splits: []fleet.Split{{Service: "plain", Weight: 1}}},
	{Name: "stream", Host: "h.example", Prefix: "/stream/", Kind: fleet.Stream, MaxAttempts: 1, Timeout: 5 * time.Second, TargetLatency: 600 * time.Millisecond, Splits: []fleet.Split{{Service: "plain", Weight: 1}}},
	{Name: "resumable", Host: "h.example", Prefix: "/resumable/", Kind: fleet.Stream, Resumable: true, MaxAttempts: 2, Timeout: 5 * time.Second, Splits: []fleet.Split{{Service: "plain", Weight: 1}}},
}

// newRig starts a gateway in front of workers. The first worker is tried first, as it is
// the only one in the gateway's data centre.
func newRig(t *testing.T, workers ...*standin.Worker) *rig {
	t.Helper()
	r := &rig{t: t, log: &buffer{}}
	log, err := logging.New(r.log, "info")
	require.NoError(t, err)
	r.gateway = &gateway.Gateway{Pool: &http1.Pool{}, Log: log, Zone: "z", Metrics: gateway.NewMetrics(),
		RequestLoad: func(context.Context, hub.LoadRequest) hub.LoadReply { return hub.LoadReply{} },
		AcquireSlot: func(context.Context, hub.SlotRequest) (hub.SlotReply, hub.SlotGrant, error) {
			return hub.SlotReply{}, nil, io.EOF
		},
		Rand: rand.New(rand.NewPCG(1, 1))}
	r.gateway.Run(balance.New(rand.New(rand.NewPCG(1, 1))))
	r.server = &http1.Server{Handler: r.gateway}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	r.address = l.Addr().String()
	go r.server.Serve(l)
	t.Cleanup(func() {
		_ = l.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		r.server.Shutdown(ctx)
	})
	r.gateway.SetConfig(fleet.NewConfig(1, routes, []fleet.Service{{Name: "plain"}}, fleet.Limits{}))
	var list []fleet.Server
	for i, w := range workers {
		zone := "away"
		if i == 0 {
			zone = "z"
		}
		list = append(list, fleet.Server{ID: w.ID, Service: "plain", Address: w.Address(), Zone: zone, Slots: 4})
	}
	r.gateway.SetServers(list)
	return r
}

func startWorker(t *testing.T, id string, script ...standin.Behaviour) *standin.Worker {
	t.Helper()
	return (&standin.Worker{ID: id, Script: script}).Start(t)
}

// do sends one request on a new connection.
func (r *rig) do(method, path, id, body string, header ...string) response {
	r.t.Helper()
	c, err := net.Dial("tcp4", r.address)
	require.NoError(r.t, err)
	defer func() { _ = c.Close() }()
	return exchange(r.t, c, bufio.NewReader(c), method, path, id, body, header...)
}

func exchange(t *testing.T, c net.Conn, br *bufio.Reader, method, path, id, body string, header ...string) response {
	t.Helper()
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	head := method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Guavapaddle-Request-Id: " + id + "\r\n"
	for _, h := range header {
		head += h + "\r\n"
	}
	_, err := io.WriteString(c, head+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	require.NoError(t, err)
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(b), err: err}
}

func TestResponseIsForwardedWhole(t *testing.T) {
	w := startWorker(t, "i-1")
	r := newRig(t, w)
	a := r.do("POST", "/unsafe/x?q=1", "r1", "body", "X-Custom: kept", "Connection: X-Hop", "X-Hop: dropped")
	require.Equal(t, 200, a.status)
	require.Equal(t, "answer", a.body)
	require.Equal(t, "i-1", a.header.Get("X-Guavapaddle-Server-Stamp"))
	got, bodies := w.Requests()
	require.Equal(t, "/unsafe/x?q=1", got[0].RequestURI)
	require.Equal(t, "h.example", got[0].Host)
	require.Equal(t, "body", bodies[0])
	require.Equal(t, "kept", got[0].Header.Get("X-Custom"))
	require.Empty(t, got[0].Header.Get("X-Hop"))
	require.Equal(t, "i-1", got[0].Header.Get("X-Guavapaddle-Expect-Instance"))
	require.Eventually(t, func() bool { return strings.Contains(r.log.String(), "event=request request-id=r1 route=unsafe") },
		time.Second, time.Millisecond)
}

func TestInternalHeadersOfClientsAreDropped(t *testing.T) {
	w := startWorker(t, "i-1")
	r := newRig(t, w)
	names := []string{"X-Guavapaddle-Hold", "X-Guavapaddle-Pin-Ms", "X-Guavapaddle-Kv-Backup", "Kv-From", "Kv-Fetch",
		"X-Guavapaddle-Expect-Version", "X-Guavapaddle-Request-Priority"}
	var header []string
	for _, n := range names {
		header = append(header, n+": 1")
	}
	require.Equal(t, 200, r.do("GET", "/safe/x", "r1", "", append(header, "X-Guavapaddle-Expect-Instance: i-9")...).status)
	got, _ := w.Requests()
	for _, n := range names {
		require.Empty(t, got[0].Header.Get(n), n)
	}
}

func TestRemainingDeadlineIsForwarded(t *testing.T) {
	first, second := startWorker(t, "i-1", standin.Shed), startWorker(t, "i-2")
	r := newRig(t, first, second)
	require.Equal(t, 200, r.do("GET", "/safe/x", "r1", "", "X-Guavapaddle-Request-Deadline-Ms: 900").status)
	for _, w := range []*standin.Worker{first, second} {
		got, _ := w.Requests()
		for _, q := range got {
			ms, err := strconv.Atoi(q.Header.Get("X-Guavapaddle-Request-Deadline-Ms"))
			require.NoError(t, err)
			require.LessOrEqual(t, ms, 900)
			require.Greater(t, ms, 500)
		}
	}
}

// TestFailuresByKind guards against wrong statuses and forbidden retries for each kind of
// route: one server misbehaves, and the client's status and the runs are checked.
func TestFailuresByKind(t *testing.T) {
	for _, x := range []struct {
		name     string
		does     standin.Behaviour
		path     string
		status   int
		runs     int // of both servers together
		notReady bool
	}{
		{"shed unsafe is retried", standin.Shed, "/unsafe/", 200, 1, false},
		{"not-resident unsafe is retried", standin.NotResident, "/unsafe/", 200, 1, false},
		{"truncated unsafe is unknown", standin.Truncate, "/unsafe/", 502, 1, false},
		{"crashed unsafe is unknown", standin.Crash, "/unsafe/", 502, 1, false},
		{"garbage on unsafe is unknown", standin.Garbage, "/unsafe/", 502, 1, false},
		{"response to another request on unsafe is unknown", standin.WrongID, "/unsafe/", 502, 1, false},
		{"unsigned response on unsafe is unknown", standin.Unsigned, "/unsafe/", 502, 1, false},
		{"failed unsafe is forwarded", standin.Fail, "/unsafe/", 500, 1, false},
		{"unframed unsafe is forwarded", standin.Unframed, "/unsafe/", 200, 1, false},
		{"truncated safe is retried", standin.Truncate, "/safe/", 200, 2, false},
		{"crashed safe is retried", standin.Crash, "/safe/", 200, 2, false},
		{"garbage on safe is retried", standin.Garbage, "/safe/", 200, 2, false},
		{"response to another request on safe is retried", standin.WrongID, "/safe/", 200, 2, false},
		{"unsigned response on safe is retried", standin.Unsigned, "/safe/", 200, 2, false},
		{"failed safe is retried", standin.Fail, "/safe/", 200, 2, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			a, b := startWorker(t, "i-1", x.does), startWorker(t, "i-2")
			r := newRig(t, a)
			// The second server is added after the rig has started with the first only.
			r.gateway.SetServers([]fleet.Server{
				{ID: "i-1", Service: "plain", Address: a.Address(), Zone: "z", Slots: 64},
				{ID: "i-2", Service: "plain", Address: b.Address(), Zone: "away", Slots: 1},
			})
			got := r.do("POST", x.path, "r1", "body")
			require.Equal(t, x.status, got.status)
			require.Len(t, append(a.Runs(), b.Runs()...), x.runs)
			if got.status == 502 {
				require.Empty(t, got.header.Get("X-Guavapaddle-Server-Stamp"), "a failure of the gateway itself has no stamp")
				require.Empty(t, got.header.Get("Retry-After"), "it is not promised that the request did not run")
			}
		})
	}
}

func TestRefusedRequestHasNotRunAndGetsRetryAfter(t *testing.T) {
	w := startWorker(t, "i-1", standin.Shed)
	r := newRig(t, w)
	a := r.do("POST", "/unsafe/", "r1", "body")
	require.Equal(t, 503, a.status)
	after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Positive(t, after)
	require.Empty(t, w.Runs())
}

func TestExtraResponseIsNotForwarded(t *testing.T) {
	w := startWorker(t, "i-1", standin.Extra, standin.OK)
	r := newRig(t, w)
	c, err := net.Dial("tcp4", r.address)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for i := range 3 {
		a := exchange(t, c, br, "POST", "/unsafe/", fmt.Sprint("r", i), "body")
		require.Equal(t, 200, a.status)
		require.Equal(t, "answer", a.body)
		require.Equal(t, fmt.Sprint("r", i), a.header.Get("X-Guavapaddle-Request-Id"))
	}
	require.GreaterOrEqual(t, w.Conns(), 2, "the connection is not reused")
}

func TestLateExtraResponseIsDiscarded(t *testing.T) {
	w := startWorker(t, "i-1", standin.LateExtra, standin.OK)
	r := newRig(t, w)
	a := r.do("POST", "/unsafe/", "r1", "body")
	require.Equal(t, 200, a.status)
	require.Equal(t, "answer", a.body)
	require.Equal(t, "r1", a.header.Get("X-Guavapaddle-Request-Id"))
	require.Equal(t, 200, r.do("POST", "/unsafe/", "r2", "body").status)
	require.Equal(t, 2, w.Conns(), "the connection is not reused")
	require.Len(t, w.Runs(), 2)
}

func TestEarlyResponseToLongBodyDoesNotCorruptConnection(t *testing.T) {
	w := startWorker(t, "i-1", standin.Early, standin.OK)
	r := newRig(t, w)
	long := strings.Repeat("x", 1<<20)
	require.Equal(t, 400, r.do("POST", "/unsafe/", "r1", long).status)
	require.Equal(t, 200, r.do("POST", "/unsafe/", "r2", "next").status)
	_, bodies := w.Requests()
	require.Equal(t, "next", bodies[len(bodies)-1])
}

func TestRoutesAndConfiguration(t *testing.T) {
	r := newRig(t, startWorker(t, "i-1"))
	require.Equal(t, 404, r.do("GET", "/none/", "r1", "").status)
	require.Equal(t, 400, r.do("GET", "/safe/", "", "").status, "no id")
	r.gateway.SetConfig(fleet.NewConfig(2, routes[1:], []fleet.Service{{Name: "plain"}}, fleet.Limits{}))
	require.Equal(t, 404, r.do("GET", "/safe/", "r2", "").status)
	r.gateway.SetConfig(fleet.NewConfig(1, routes, []fleet.Service{{Name: "plain"}}, fleet.Limits{}))
	require.Equal(t, 404, r.do("GET", "/safe/", "r3", "").status, "an older configuration is ignored")
}

func TestWithoutConfigRequestsGetUnavailable(t *testing.T) {
	g := &gateway.Gateway{Pool: &http1.Pool{}, Log: zap.NewNop(), Metrics: gateway.NewMetrics(), Rand: rand.New(rand.NewPCG(1, 1))}
	g.Run(balance.New(rand.New(rand.NewPCG(1, 1))))
	s := &http1.Server{Handler: g}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	go s.Serve(l)
	r := &rig{t: t, address: l.Addr().String()}
	a := r.do("GET", "/safe/", "r1", "")
	require.Equal(t, 503, a.status)
	require.NotEmpty(t, a.header.Get("Retry-After"))
}

func TestDeadlineEndsRequest(t *testing.T) {
	w := startWorker(t, "i-1", standin.Silent)
	r := newRig(t, w)
	began := time.Now()
	a := r.do("POST", "/unsafe/", "r1", "body", "X-Guavapaddle-Request-Deadline-Ms: 400")
	require.Equal(t, 504, a.status)
	require.Less(t, time.Since(began), 800*time.Millisecond)
	require.Eventually(t, func() bool { return w.ClosedByCaller() == 1 }, time.Second, time.Millisecond, "the run at the server is cancelled")
}

func TestClientDisconnectCancelsRun(t *testing.T) {
	w := (&standin.Worker{ID: "i-1", Stream: 1000, Pause: 5 * time.Millisecond}).Start(t)
	r := newRig(t, w)
	c, err := net.Dial("tcp4", r.address)
	require.NoError(t, err)
	_, err = io.WriteString(c, "GET /stream/ HTTP/1.1\r\nHost: h.example\r\nX-Guavapaddle-Request-Id: r1\r\n\r\n")
	require.NoError(t, err)
	_, err = c.Read(make([]byte, 1))
	require.NoError(t, err)
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool { return w.ClosedByCaller() == 1 }, 500*time.Millisecond, time.Millisecond)
}

func TestBrokenStreamIsNotTerminated(t *testing.T) {
	a := (&standin.Worker{ID: "i-1", Stream: 10, Script: standin.Script{standin.Cut}}).Start(t)
	r := newRig(t, a)
	got := r.do("GET", "/stream/", "r1", "")
	require.Equal(t, 200, got.status)
	require.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
	require.Len(t, a.Runs(), 1)
}

func TestResumableStreamContinuesAfterLastCompleteEvent(t *testing.T) {
	a := (&standin.Worker{ID: "i-1", Stream: 10, Script: standin.Script{standin.Cut}}).Start(t)
	b := (&standin.Worker{ID: "i-2", Stream: 10}).Start(t)
	r := newRig(t, a)
	r.gateway.SetServers([]fleet.Server{
		{ID: "i-1", Service: "plain", Address: a.Address(), Zone: "z", Slots: 64},
		{ID: "i-2", Service: "plain", Address: b.Address(), Zone: "away", Slots: 1},
	})
	got := r.do("GET", "/resumable/", "r1", "")
	require.NoError(t, got.err)
	want := ""
	for n := 1; n <= 10; n++ {
		want += fmt.Sprintf("id: %d\ndata: event %d\n\n", n, n)
	}
	require.Equal(t, want, got.body)
	require.Equal(t, "i-1", got.header.Get("X-Guavapaddle-Server-Stamp"))
	require.Len(t, b.Runs(), 1)
}

func TestRequestThatCrashesServersIsRefused(t *testing.T) {
	var workers []*standin.Worker
	for i := range 6 {
		workers = append(workers, startWorker(t, fmt.Sprint("i-", i), standin.Crash))
	}
	r := newRig(t, workers...)
	for i := range 8 {
		r.do("POST", "/unsafe/deadly", fmt.Sprint("r", i), "same body")
	}
	runs := 0
	for _, w := range workers {
		runs += len(w.Runs())
	}
	require.Equal(t, 3, runs)
	require.Eventually(t, func() bool { return strings.Contains(r.log.String(), "reason=crashes") }, time.Second, time.Millisecond)
}

func TestRetriesStayWithinBudget(t *testing.T) {
	var workers []*standin.Worker
	for i := range 4 {
		workers = append(workers, startWorker(t, fmt.Sprint("i-", i), standin.Shed))
	}
	r := newRig(t, workers...)
	const requests = 100
	for i := range requests {
		r.do("GET", "/safe/", fmt.Sprint("r", i), "")
	}
	arrivals := 0
	for _, w := range workers {
		got, _ := w.Requests()
		arrivals += len(got)
	}
	require.LessOrEqual(t, arrivals-requests, requests/5+7, "a fifth of the requests, and one of eight nodes' share of 56")
	require.Greater(t, arrivals, requests)
}

func TestOtherIncarnationAtAddressIsNotUsed(t *testing.T) {
	w := startWorker(t, "i-new")
	r := newRig(t, w)
	r.gateway.SetServers([]fleet.Server{{ID: "i-old", Service: "plain", Address: w.Address(), Zone: "z", Slots: 4}})
	require.Equal(t, 503, r.do("POST", "/unsafe/", "r1", "body").status)
	require.Empty(t, w.Runs())
}

func TestWaitingRequestsAreRefusedOnStop(t *testing.T) {
	r := newRig(t, startWorker(t, "i-1"))
	r.gateway.AcquireSlot = func(ctx context.Context, _ hub.SlotRequest) (hub.SlotReply, hub.SlotGrant, error) {
		<-ctx.Done()
		return hub.SlotReply{}, nil, ctx.Err()
	}
	engine := &fleet.Engine{Models: map[string]fleet.Model{"m": {Name: "m", LoadTime: time.Minute}}}
	r.gateway.SetConfig(fleet.NewConfig(2, routes, []fleet.Service{{Name: "plain", Engine: engine}}, fleet.Limits{}))
	got := make(chan response, 1)
	go func() { got <- r.do("GET", "/stream/", "r1", "", "X-Guavapaddle-Model: m") }()
	require.Never(t, func() bool { return len(got) > 0 }, 50*time.Millisecond, 10*time.Millisecond)
	r.gateway.Stop(time.Now())
	a := <-got
	require.Equal(t, 503, a.status)
	require.NotEmpty(t, a.header.Get("Retry-After"))
}

func TestSlotAtLeavingServerIsNotUsed(t *testing.T) {
	leaving, staying := startWorker(t, "i-1"), startWorker(t, "i-2")
	r := newRig(t, leaving, staying)
	r.gateway.SetServers([]fleet.Server{
		{ID: "i-1", Service: "plain", Address: leaving.Address(), Zone: "z", Slots: 4, Leaving: true, Resident: []fleet.ResidentModel{{Model: "m"}}},
		{ID: "i-2", Service: "plain", Address: staying.Address(), Zone: "z", Slots: 4, Resident: []fleet.ResidentModel{{Model: "m"}}},
	})
	engine := &fleet.Engine{Models: map[string]fleet.Model{"m": {Name: "m"}}}
	r.gateway.SetConfig(fleet.NewConfig(2, routes, []fleet.Service{{Name: "plain", Engine: engine}}, fleet.Limits{}))
	r.gateway.AcquireSlot = func(context.Context, hub.SlotRequest) (hub.SlotReply, hub.SlotGrant, error) {
		return hub.SlotReply{Granted: true, Server: "i-1"}, noGrant{}, nil
	}
	require.Equal(t, 200, r.do("GET", "/stream/", "r1", "", "X-Guavapaddle-Model: m").status)
	require.Empty(t, leaving.Runs())
	require.Len(t, staying.Runs(), 1)
}

// countedGrant is a granted slot that counts how often it was released.
type countedGrant struct{ done *atomic.Int64 }

// SetRate implements hub.SlotGrant.
func (countedGrant) SetRate(*float64) {}

// PrefillDone implements hub.SlotGrant.
func (countedGrant) PrefillDone() {}

// SetLoad implements hub.SlotGrant.
func (countedGrant) SetLoad(balance.LoadReport) {}

// Done implements hub.SlotGrant.
func (c countedGrant) Done(balance.Result) { c.done.Add(1) }

func TestSlotsOfFailedRequestsAreReleased(t *testing.T) {
	var workers []*standin.Worker
	var servers []fleet.Server
	for i := range 4 {
		w := startWorker(t, fmt.Sprint("i-", i), standin.Shed)
		workers = append(workers, w)
		servers = append(servers, fleet.Server{ID: w.ID, Service: "plain", Address: w.Address(), Zone: "z", Slots: 4, Resident: []fleet.ResidentModel{{Model: "m"}}})
	}
	r := newRig(t, workers...)
	r.gateway.SetServers(servers)
	engine := &fleet.Engine{Models: map[string]fleet.Model{"m": {Name: "m"}}}
	r.gateway.SetConfig(fleet.NewConfig(2, routes, []fleet.Service{{Name: "plain", Engine: engine}}, fleet.Limits{}))
	var granted, done atomic.Int64
	r.gateway.AcquireSlot = func(_ context.Context, p hub.SlotRequest) (hub.SlotReply, hub.SlotGrant, error) {
		n := granted.Add(1)
		return hub.SlotReply{Granted: true, Server: fmt.Sprint("i-", n%4)}, countedGrant{&done}, nil
	}
	for i := range 20 {
		require.Equal(t, 503, r.do("GET", "/stream/", fmt.Sprint("r", i), "", "X-Guavapaddle-Model: m").status)
	}
	require.Contains(t, r.log.String(), "reason=budget", "some requests failed while they held a slot")
	require.Eventually(t, func() bool { return granted.Load() == done.Load() }, 2*time.Second, time.Millisecond, "a slot is released after its response")
}

// noGrant is a granted slot whose calls are ignored.
type noGrant struct{}

// SetRate implements hub.SlotGrant.
func (noGrant) SetRate(*float64) {}

// PrefillDone implements hub.SlotGrant.
func (noGrant) PrefillDone() {}

// SetLoad implements hub.SlotGrant.
func (noGrant) SetLoad(balance.LoadReport) {}

// Done implements hub.SlotGrant.
func (noGrant) Done(balance.Result) {}

// TestPooledConnectionOutlivesItsClients guards against a client's disconnect closing a
// connection to a server that is already back in the pool: each client closes its
// connection as soon as it has its response.
func TestPooledConnectionOutlivesItsClients(t *testing.T) {
	w := startWorker(t, "i-1", standin.OK)
	r := newRig(t, w)
	for i := range 300 {
		got := r.do("POST", "/unsafe/x", fmt.Sprint("r", i), "")
		require.Equal(t, 200, got.status, i)
	}
	require.Equal(t, 1, w.Conns())
}

// TestRequestThatWasSoundBetweenCrashesIsServed guards against popular requests that are refused for good, since copies of them were in
// flight at servers that crashed for another reason.
func TestRequestThatWasSoundBetweenCrashesIsServed(t *testing.T) {
	var workers []*standin.Worker
	for i := range 8 {
		workers = append(workers, startWorker(t, fmt.Sprint("i-", i)))
	}
	r := newRig(t, workers...)
	for i := range 4 {
		for _, w := range workers {
			w.SetScript(standin.Crash)
		}
		require.Equal(t, 502, r.do("POST", "/unsafe/popular", fmt.Sprint("c", i), "same body").status, "crash %d", i)
		for _, w := range workers {
			w.SetScript(standin.OK)
		}
		require.Equal(t, 200, r.do("POST", "/unsafe/popular", fmt.Sprint("s", i), "same body").status, "after crash %d", i)
	}
}
