package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"guavapaddle/internal/clock"
	"guavapaddle/platform/standin"
)

const (
	// deferrableTargetMS is the target latency of the deferrable route, and the nodes' setting that makes it deferrable.
	deferrableTargetMS = 10_000
	// deferrablePath is its prefix. A model that no engine holds is loaded for its requests too.
	deferrablePath = "/deferrable/"
	// Bursts of deferrable requests, or of requests of one team, last from minBurstMS to maxBurstMS, with burstRequests of them
	// at a time and as long a pause after each.
	minBurstMS, maxBurstMS = 500, 2000
	burstRequests          = 24
	// earlyReturns is how often a client that doesn't wait as it was asked sends a request again.
	earlyReturns = 2
	// minDeferrable is the number of deferrable requests from which on it is checked that some are served.
	minDeferrable = 40
)

// contend sends bursts of deferrable requests and bursts of one team's urgent ones in turn until ctx ends, from clients that return at
// once when they are refused. It has its own random generator.
func (r *Run) contend(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.Seed, 14000))
	for phase := 0; ctx.Err() == nil; phase++ {
		path := deferrablePath
		if phase%2 == 1 {
			path = "/stream/"
		}
		r.logf("burst of requests to %s", path)
		burst, end := context.WithTimeout(ctx, randomDuration(rng, minBurstMS, maxBurstMS))
		for i := range burstRequests {
			seed := rng.Uint64()
			r.faults.Go(func() { r.sendUntil(burst, rand.New(rand.NewPCG(r.Seed, seed)), path, fmt.Sprintf("d%d-%d", phase, i)) })
		}
		<-burst.Done()
		end()
		clock.Sleep(ctx, randomDuration(rng, minBurstMS, maxBurstMS))
	}
}

// sendUntil sends requests one after the other until ctx ends. The last one is awaited.
func (r *Run) sendUntil(ctx context.Context, rng *rand.Rand, path, name string) {
	for n := 0; ctx.Err() == nil; n++ {
		content := fmt.Sprintf("%s-%d", name, n)
		for try := 0; try <= earlyReturns; try++ {
			status := r.sendContending(r.nodes[rng.IntN(len(r.nodes))], path+content, fmt.Sprintf("%s-%d", content, try), r.model(rng))
			if path == deferrablePath {
				r.deferrable.Add(1)
			}
			if status == http.StatusOK && path == deferrablePath {
				r.deferrableServed.Add(1)
			}
			if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
				break
			}
		}
		clock.Sleep(ctx, randomDuration(rng, 10, 50))
	}
}

// sendContending sends a request for a model and returns the status of its response, zero if there is none. Responses are checked like
// those to other requests.
func (r *Run) sendContending(target *node, path, id, model string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+target.settings.Clients+path, nil)
	if err != nil {
		panic(err) // the request is well-formed
	}
	caller := Caller{Team: unlimitedTeam, Version: int(r.version.Load()), At: time.Now(), Node: target.settings.Node, Tokens: 100 + standin.CallOutput}
	req.Host = host
	standin.Call{ID: id, Deadline: clientTimeout, Key: key(caller.Team, caller.Version), Model: model, Tokens: 100, Prompt: fmt.Sprintf("%s:50,%s:30", sharedPart, id)}.SetHeaders(req.Header)
	r.check.RecordRequest(id, false, caller)
	resp, err := (&http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		r.check.RecordResponse(id, target.settings.Node, 0)
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	r.check.RecordResponse(id, target.settings.Node, resp.StatusCode)
	if resp.StatusCode == http.StatusOK && err == nil {
		gotID, stamp := standin.IDAndStamp(resp.Header)
		r.check.CheckResponse(id, gotID, stamp, string(b), streamEvents)
	}
	return resp.StatusCode
}

// checkDeferrable checks that deferrable requests weren't starved.
func (r *Run) checkDeferrable() {
	sent, served := r.deferrable.Load(), r.deferrableServed.Load()
	r.logf("deferrable requests: %d of %d served", served, sent)
	if sent >= minDeferrable && served == 0 {
		r.check.RecordViolation("starved", "none of %d deferrable requests was served", sent)
	}
}
