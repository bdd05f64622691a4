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
	host         = "h.example"
	streamEvents = 12
	clientTime   = 4 * time.Second
)

// load sends requests until ctx ends: kept connections and new ones, all kinds,
// to nodes that are ready or were a moment ago.
func (r *Run) load(ctx context.Context, client int) {
	rng := rand.New(rand.NewPCG(r.Seed, uint64(1000+client)))
	kept := &http.Client{Timeout: clientTime, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	for n := 0; ctx.Err() == nil; n++ {
		at := r.nodes[rng.IntN(len(r.nodes))]
		c := kept
		if rng.IntN(4) == 0 {
			c = &http.Client{Timeout: clientTime, Transport: &http.Transport{DisableKeepAlives: true}}
		}
		r.request(c, at, fmt.Sprintf("c%d-%d", client, n), rng)
		clock.Sleep(ctx, time.Duration(10+rng.IntN(60))*time.Millisecond)
	}
}

// request sends one request and checks its answer.
func (r *Run) request(c *http.Client, at *node, id string, rng *rand.Rand) {
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
	who := r.caller(id)
	who.Node = at.settings.Node
	req, err := http.NewRequest(method, "http://"+at.settings.Clients+path, strings.NewReader(strings.Repeat("b", rng.IntN(2000))))
	if err != nil {
		panic(err) // of our own making
	}
	req.Host = host
	req.GetBody = nil // or the client would send it again under the same id
	call := standin.Call{ID: id, Deadline: clientTime, Key: key(who.Team, who.Version)}
	who.Tokens = standin.PlainTokens
	if model != "" {
		call.Model, call.Tokens = model, 100+rng.IntN(1500)
		who.Tokens = call.Tokens + standin.CallOutput
	}
	call.Set(req.Header)
	r.check.Sent(id, repeatable, who)
	resp, err := c.Do(req)
	if err != nil {
		r.check.Answered(id, at.settings.Node, 0)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	r.check.Answered(id, at.settings.Node, resp.StatusCode)
	switch {
	case resp.StatusCode != http.StatusOK:
	case err == nil:
		whose, stamp := standin.Signed(resp.Header)
		r.check.Whole(id, whose, stamp, string(b), events)
	case events > 0:
		r.check.Order(id, string(b), events, false)
	}
}

// Teams that call.
const (
	freeTeam  = "free"
	boundTeam = "bound"
)

// key returns a team's key of a configuration; each configuration also allows the one
// before it.
func key(team string, version int) string { return fmt.Sprintf("key-%s-%d", team, version) }

// caller draws who sends a request: one in three is of the team with a quota, and one in
// ten uses a key that was revoked of late. It is drawn from the request's id, so that a
// seed's other draws stay as they were.
func (r *Run) caller(id string) Caller {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	rng := rand.New(rand.NewPCG(r.Seed, h.Sum64()))
	c := Caller{Team: freeTeam, Version: int(r.version.Load()), At: time.Now()}
	if rng.IntN(3) == 0 {
		c.Team = boundTeam
	}
	if rng.IntN(10) == 0 {
		c.Version -= 2
	}
	return c
}

// model picks a model, with an adapter now and then.
func (r *Run) model(rng *rand.Rand) string {
	m := fmt.Sprint("m", rng.IntN(models))
	if rng.IntN(3) == 0 {
		m += fmt.Sprint("/a", 1+rng.IntN(adapters))
	}
	return m
}

// probe asks each node for the routes that only single configurations have.
func (r *Run) probe(ctx context.Context) {
	c := &http.Client{Timeout: probeTime, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; ctx.Err() == nil; n++ {
		for _, at := range r.nodes {
			version := int(r.version.Load())
			process := fmt.Sprintf("%s/%d", at.settings.Node, at.incarnation())
			for _, v := range []int{version, version - 1} {
				req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/v%d/", at.settings.Clients, v), nil)
				if err != nil {
					panic(err) // of our own making
				}
				req.Host = host
				id := fmt.Sprintf("p%d-%s-%d", n, at.settings.Node, v)
				r.check.Sent(id, true, Caller{Team: freeTeam, Version: version, At: time.Now(), Tokens: standin.PlainTokens,
					Node: at.settings.Node})
				standin.Call{ID: id, Key: key(freeTeam, version)}.Set(req.Header)
				resp, err := c.Do(req)
				if err != nil {
					continue
				}
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK && process == fmt.Sprintf("%s/%d", at.settings.Node, at.incarnation()) {
					r.check.Served(process, v)
				}
			}
		}
		clock.Sleep(ctx, 100*time.Millisecond)
	}
}
