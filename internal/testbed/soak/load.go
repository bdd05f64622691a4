package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"guavapaddle/internal/clock"
	"guavapaddle/platform/standin"
)

const (
	host          = "h.example"
	streamEvents  = 12
	clientTimeout = 4 * time.Second
)

// sendRequests sends requests of all kinds until ctx ends, on kept-alive and new
// connections, to random nodes, whether they are ready or not.
func (r *Run) sendRequests(ctx context.Context, client int) {
	rng := rand.New(rand.NewPCG(r.Seed, uint64(1000+client)))
	keepAlive := &http.Client{Timeout: clientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	for seq := 0; ctx.Err() == nil; seq++ {
		target := r.target(rng)
		c := keepAlive
		if rng.IntN(4) == 0 {
			c = &http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		}
		r.request(c, target, fmt.Sprintf("c%d-%d", client, seq), rng)
		clock.Sleep(ctx, time.Duration(10+rng.IntN(60))*time.Millisecond)
	}
}

// request sends one request and checks its response.
func (r *Run) request(c *http.Client, target *node, id string, rng *rand.Rand) {
	method, path, model, events := http.MethodGet, "/safe/x", "", 0
	repeatable := true
	switch rng.IntN(5) {
	case 0:
		method, path, repeatable = http.MethodPost, "/unsafe/x", false
	case 1, 2:
		path, model, events, repeatable = "/stream/x", r.model(rng), streamEvents, false
	case 3:
		path, model, events = "/resumable/x", r.model(rng), streamEvents
	}
	caller := r.randomCaller(id)
	caller.Node = target.settings.Node
	req, err := http.NewRequest(method, "http://"+target.settings.Clients+path, strings.NewReader(strings.Repeat("b", rng.IntN(2000))))
	if err != nil {
		panic(err) // the request is well-formed
	}
	req.Host = host
	req.GetBody = nil // prevents the client from resending the request with the same ID
	call := standin.Call{ID: id, Deadline: clientTimeout, Key: key(caller.Team, caller.Version)}
	caller.Tokens = standin.PlainTokens
	if model != "" {
		call.Model, call.Tokens = model, 100+rng.IntN(1500)
		call.Prompt = fmt.Sprintf("%s:50,b%d:20,%s:30", sharedPart, call.Tokens%3, id)
		caller.Tokens = call.Tokens + standin.CallOutput
	}
	call.SetHeaders(req.Header)
	r.check.RecordRequest(id, repeatable, caller)
	resp, err := c.Do(req)
	if err != nil {
		r.check.RecordResponse(id, target.settings.Node, 0)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	r.check.RecordResponse(id, target.settings.Node, resp.StatusCode)
	switch {
	case resp.StatusCode != http.StatusOK:
	case err == nil:
		gotID, stamp := standin.IDAndStamp(resp.Header)
		r.check.CheckResponse(id, gotID, stamp, string(b), events)
	case events > 0:
		r.check.CheckEvents(id, string(b), events, false)
	}
}

// Teams that send requests: one without a quota and one with a quota.
const (
	unlimitedTeam = "free"
	limitedTeam   = "bound"
)

// key returns a team's API key of a configuration. Each configuration also allows the key of
// the version before it.
func key(team string, version int) string { return fmt.Sprintf("key-%s-%d", team, version) }

// randomCaller chooses the sender of a request: one in three belongs to the team with a
// quota, and one in ten uses a key that was revoked recently. The choice derives from the
// request ID, so that the other random choices of a seed don't depend on it.
func (r *Run) randomCaller(id string) Caller {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	rng := rand.New(rand.NewPCG(r.Seed, h.Sum64()))
	c := Caller{Team: unlimitedTeam, Version: int(r.version.Load()), At: time.Now()}
	if rng.IntN(3) == 0 {
		c.Team = limitedTeam
	}
	if rng.IntN(10) == 0 {
		c.Version -= 2
	}
	return c
}

// model returns a random model, with an adapter in one of three cases.
func (r *Run) model(rng *rand.Rand) string {
	m := fmt.Sprint("m", rng.IntN(r.modelCount()))
	if rng.IntN(3) == 0 {
		m += fmt.Sprint("/a", 1+rng.IntN(adapters))
	}
	return m
}

// probeConfigs requests from each node the routes that exist in a single configuration
// version each, and records which are served.
func (r *Run) probeConfigs(ctx context.Context) {
	c := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; ctx.Err() == nil; n++ {
		for _, target := range r.nodes {
			version := int(r.version.Load())
			process := fmt.Sprintf("%s/%d", target.settings.Node, target.incarnation())
			for _, v := range []int{version, version - 1} {
				req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/v%d/", target.settings.Clients, v), nil)
				if err != nil {
					panic(err) // the request is well-formed
				}
				req.Host = host
				id := fmt.Sprintf("p%d-%s-%d", n, target.settings.Node, v)
				r.check.RecordRequest(id, true, Caller{Team: unlimitedTeam, Version: version, At: time.Now(), Tokens: standin.PlainTokens,
					Node: target.settings.Node})
				standin.Call{ID: id, Key: key(unlimitedTeam, version)}.SetHeaders(req.Header)
				resp, err := c.Do(req)
				if err != nil {
					continue
				}
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK && process == fmt.Sprintf("%s/%d", target.settings.Node, target.incarnation()) {
					r.check.RecordServed(process, v)
				}
			}
		}
		clock.Sleep(ctx, 100*time.Millisecond)
	}
}
