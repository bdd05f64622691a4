package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/fleet"
	"guavapaddle/core/poison"
	"guavapaddle/internal/gateway"
	"guavapaddle/internal/hub"
	"guavapaddle/platform/standin"
)

const (
	promptHeader = "X-Guavapaddle-Prompt-Prefix: "
	// crashDelay is how long a server runs a request that crashes it.
	crashDelay = 150 * time.Millisecond
)

func TestRequestWithBlockedPartIsRefused(t *testing.T) {
	t.Parallel()
	w := startWorker(t, "i-1")
	r := newRig(t, w)
	block := poison.Block{Parts: []poison.Part{"a", "dead"}, Crashes: 3, Age: time.Second}
	r.gateway.AddBlocks([]poison.Block{block})
	require.Equal(t, 503, r.do("POST", "/unsafe/x", "r1", "", promptHeader+"dead:10,a:20,own:30").status)
	require.Empty(t, w.Runs())
	require.Equal(t, 200, r.do("POST", "/unsafe/x", "r2", "", promptHeader+"a:20,dead:30").status, "the last part is the request's own")
	require.Equal(t, 200, r.do("POST", "/unsafe/x", "r3", "", promptHeader+"a:20,b:10,own:30").status)
	r.gateway.ApplyReply(hub.ReportReply{})
	require.Equal(t, 200, r.do("POST", "/unsafe/x", "r4", "", promptHeader+"a:20,dead:10,own:30").status, "the leader has lifted it")
	r.gateway.ApplyReply(hub.ReportReply{Blocks: []poison.Block{block}})
	require.Equal(t, 503, r.do("POST", "/unsafe/x", "r5", "", promptHeader+"a:20,dead:10,own:30").status)
	require.Equal(t, []poison.Part{"a", "dead"}, r.gateway.Report("n", 0).Blocks[0].Parts)
}

// TestCrashIsReportedWithPartsInFlight checks what a node reports of a server that crashes, and that a server which lives on isn't
// reported.
func TestCrashIsReportedWithPartsInFlight(t *testing.T) {
	t.Parallel()
	for _, lives := range []bool{false, true} {
		t.Run(fmt.Sprint(lives), func(t *testing.T) {
			t.Parallel()
			w := startWorker(t, "i-1", standin.Crash, standin.OK)
			r := newRig(t, w)
			require.Equal(t, 502, r.do("POST", "/unsafe/x", "r0", "", promptHeader+"a:20,own:30").status)
			if lives {
				require.Eventually(t, func() bool {
					return r.do("POST", "/unsafe/x", fmt.Sprint("r", time.Now().UnixNano()), "").status == 200
				}, time.Second, time.Millisecond)
			}
			var list []poison.Crash
			require.Eventually(t, func() bool {
				list = append(list, r.gateway.Report("n", 0).Crashes...)
				return len(list) > 0 == !lives
			}, 2*time.Second, 400*time.Millisecond)
			if lives {
				return
			}
			require.Equal(t, "i-1", list[0].Server)
			require.Len(t, list[0].Requests[0].Parts, 2)
			require.Equal(t, poison.Part("a"), list[0].Requests[0].Parts[0])
			require.True(t, list[0].Requests[0].Parts[1].IsCopy())
		})
	}
}

// TestTrialIsSentOnlyIfLeaderGrantsIt guards against requests of a block whose trial is due that several nodes let through by themselves.
func TestTrialIsSentOnlyIfLeaderGrantsIt(t *testing.T) {
	t.Parallel()
	w := startWorker(t, "i-1")
	r := newRig(t, w)
	engine := &fleet.Engine{Models: map[string]fleet.Model{"m": {Name: "m"}}}
	r.gateway.SetConfig(fleet.NewConfig(2, routes, []fleet.Service{{Name: "plain", Engine: engine}}, fleet.Limits{}))
	r.gateway.AddBlocks([]poison.Block{{Parts: []poison.Part{"dead"}, Crashes: 3, Trial: true}})
	reply, err := hub.SlotReply{}, error(nil)
	r.gateway.AcquireSlot = func(context.Context, hub.SlotRequest) (hub.SlotReply, hub.SlotGrant, error) {
		return reply, noGrant{}, err
	}
	send := func(id string) int {
		return r.do("GET", "/stream/", id, "", "X-Guavapaddle-Model: m", promptHeader+"dead:10,own:30").status
	}
	reply = hub.SlotReply{Why: string(gateway.PromptCrashes)}
	require.Equal(t, 503, send("refused"))
	reply = hub.SlotReply{Granted: true, Server: "i-1"}
	require.Equal(t, 503, send("granted by a leader that doesn't know the block"))
	err = context.Canceled
	require.Equal(t, 503, send("no leader"))
	require.Empty(t, w.Runs())
	reply, err = hub.SlotReply{Granted: true, Server: "i-1", Trial: true}, nil
	require.Equal(t, 200, send("trial"))
	require.Len(t, w.Runs(), 1)
	reply = hub.SlotReply{Why: string(gateway.PromptCrashes)}
	require.Equal(t, 503, r.do("POST", "/unsafe/x", "plain", "", promptHeader+"dead:10,own:30").status)
	require.Len(t, w.Runs(), 1)
	reply = hub.SlotReply{Granted: true, Server: "i-1", Trial: true}
	require.Equal(t, 200, r.do("POST", "/unsafe/x", "plain trial", "", promptHeader+"dead:10,own:30").status, "services without slots are tried too")
}

// TestCrashWithoutWaitingClientIsReported guards against requests whose clients leave before they crash the server, and servers that end
// without a sign: the node that sent the request doesn't see its connection break.
func TestCrashWithoutWaitingClientIsReported(t *testing.T) {
	t.Parallel()
	for name, x := range map[string]struct {
		end  standin.CrashEnd
		sign func(r *rig)
	}{
		"another request's connection breaks": {standin.EndReset, func(r *rig) { r.do("POST", "/unsafe/other", "other", "") }},
		"a new connection is refused": {standin.EndReset, func(r *rig) {
			<-time.After(2 * crashDelay)
			r.do("POST", "/unsafe/other", "other", "")
		}},
		"the entry goes":          {standin.EndSilent, func(r *rig) { r.gateway.ServerGone("i-1") }},
		"another node reports it": {standin.EndSilent, func(r *rig) { r.gateway.ApplyReply(hub.ReportReply{Crashed: []hub.CrashedServer{{Server: "i-1"}}}) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := (&standin.Worker{ID: "i-1", CrashPaths: []string{"/unsafe/bad"}, CrashDelay: crashDelay, Think: 4 * crashDelay, End: x.end}).Start(t)
			r := newRig(t, w)
			r.leave("/unsafe/bad", crashDelay/3)
			x.sign(r)
			var copies []poison.Part
			require.Eventually(t, func() bool {
				for _, c := range r.gateway.Report("n", 0).Crashes {
					for _, q := range c.Requests {
						copies = append(copies, q.Parts...)
					}
				}
				return len(copies) > 0
			}, 3*time.Second, 20*time.Millisecond)
			require.True(t, copies[0].IsCopy())
			require.Contains(t, r.log.String(), "event=server-crash")
		})
	}
}

// TestRequestOfClientThatLeftIsNoCrash checks that a server which is leaving, or lives on, isn't reported.
func TestRequestOfClientThatLeftIsNoCrash(t *testing.T) {
	t.Parallel()
	w := (&standin.Worker{ID: "i-1", Think: crashDelay}).Start(t)
	r := newRig(t, w)
	r.leave("/unsafe/x", crashDelay/3)
	r.gateway.SetServers([]fleet.Server{{ID: "i-1", Service: "plain", Address: w.Address(), Zone: "z", Slots: 4, Leaving: true}})
	r.gateway.ServerGone("i-1")
	r.gateway.SetServers([]fleet.Server{{ID: "i-1", Service: "plain", Address: w.Address(), Zone: "z", Slots: 4}})
	require.Equal(t, 200, r.do("POST", "/unsafe/x", "after", "").status)
	r.gateway.ApplyReply(hub.ReportReply{Crashed: []hub.CrashedServer{{Server: "i-1", Age: time.Minute}}})
	require.Never(t, func() bool { return len(r.gateway.Report("n", 0).Crashes) > 0 }, 1500*time.Millisecond, 100*time.Millisecond)
	require.False(t, r.gateway.HasUnreportedCrash())
}

// TestNodeThatStopsReportsCrashAtOnce checks that a crash just before a stop can be reported without the wait whether the server lives.
func TestNodeThatStopsReportsCrashAtOnce(t *testing.T) {
	t.Parallel()
	r := newRig(t, startWorker(t, "i-1", standin.Crash))
	require.False(t, r.gateway.HasUnreportedCrash())
	r.do("POST", "/unsafe/x", "r0", "")
	require.True(t, r.gateway.HasUnreportedCrash())
	require.Len(t, r.gateway.Report("n", 0).Crashes, 1)
}

// leave sends a request whose client leaves after a time.
func (r *rig) leave(path string, after time.Duration) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), after)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.address+path, nil)
	require.NoError(r.t, err)
	req.Host = "h.example"
	req.Header.Set("X-Guavapaddle-Request-Id", "left")
	resp, err := (&http.Client{Transport: &http.Transport{}}).Do(req)
	if err == nil {
		_ = resp.Body.Close()
	}
	require.Error(r.t, err)
}

// TestCrashesOfServerThatStartsAgainUnderItsIDCount guards against crashes that count as one since the server has the id that it had.
func TestCrashesOfServerThatStartsAgainUnderItsIDCount(t *testing.T) {
	t.Parallel()
	w := startWorker(t, "i-1", standin.Crash)
	r := newRig(t, w)
	var tracker poison.Tracker
	for i := range 3 {
		r.gateway.SetServers([]fleet.Server{{ID: "i-1", StartedAtMS: int64(i + 1), Service: "plain", Address: w.Address(), Zone: "z", Slots: 4}})
		require.Equal(t, 502, r.do("POST", "/unsafe/bad", fmt.Sprint("r", i), "").status)
		require.True(t, r.gateway.HasUnreportedCrash())
	}
	for _, c := range r.gateway.Report("n", 0).Crashes {
		tracker.Add(time.Now(), c)
	}
	require.Len(t, tracker.Blocks(time.Now()), 1)
}
