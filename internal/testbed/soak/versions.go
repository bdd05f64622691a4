package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"guavapaddle/internal/clock"
	"guavapaddle/platform"
	"guavapaddle/platform/standin"
)

const (
	takeUpClients = 4
	maxTakeUps    = 3 // of one stream
	// versionPause is the pause between two events in runs with several versions, so that faults hit running streams.
	versionPause = 40 * time.Millisecond
	// minTakeUps is the number of streams taken up from which the share of those that go on is checked, and minTakenUpRatio
	// what it must be at least, of the share of new streams that begin.
	minTakeUps      = 12
	minTakenUpRatio = 0.5
)

type (
	// takeUp is a stream that a client began or took up.
	takeUp struct {
		Caller

		takesUp, ok bool
	}

	// takeUpCounts counts streams that clients took up at nodes in touch while two servers of their version served, and
	// new streams at such nodes.
	takeUpCounts struct{ tried, wentOn, begun, served int }

	// partialStream is what a client has of a stream.
	partialStream struct {
		origin   string // id of the request that brought the first event
		events   int
		software string
	}
)

// rollVersions replaces engines by ones of the same or another software version, one at a time, until ctx ends. It has its own
// random generator, so that the other faults of a seed don't depend on it.
func (r *Run) rollVersions(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.Seed, 5000))
	for n := 1; ctx.Err() == nil; n++ {
		clock.Sleep(ctx, randomDuration(rng, 300, 2500))
		w := r.randomWorker(rng)
		if w.service != "llm" || !w.startLeaving() {
			continue
		}
		r.software.Store(int64(1 + n/4 + rng.IntN(2)))
		if err := r.addWorker(w.service, fmt.Sprintf("i-s%d", n)); err != nil {
			r.check.RecordViolation("recover", "cannot start a new server: %v", err)
			return
		}
		r.logf("%s is replaced by i-s%d of v%d", w.ID, n, r.software.Load())
		r.faults.Go(func() {
			clock.Sleep(ctx, randomDuration(rand.New(rand.NewPCG(r.Seed, uint64(6000+n))), 100, 500))
			r.writeEntry(w, true)
			clock.Sleep(ctx, 2500*time.Millisecond)
			r.drop(platform.TableServers, w.ID)
			clock.Sleep(ctx, time.Second)
			w.Stop()
		})
	}
}

// takeUpStreams begins streams until ctx ends, leaves some of them, and takes those that ended early up at other nodes.
func (r *Run) takeUpStreams(ctx context.Context, client int) {
	rng := rand.New(rand.NewPCG(r.Seed, uint64(7000+client)))
	for seq := 0; ctx.Err() == nil; seq++ {
		s := partialStream{}
		model := r.model(rng)
		for try := range 1 + maxTakeUps {
			target := r.nodes[rng.IntN(len(r.nodes))]
			leaveAfter := streamEvents + 1
			if rng.IntN(3) == 0 {
				leaveAfter = 1 + rng.IntN(streamEvents)
			}
			if r.readStream(ctx, target, fmt.Sprintf("s%d-%d-%d", client, seq, try), model, &s, leaveAfter) || ctx.Err() != nil {
				break
			}
			clock.Sleep(ctx, randomDuration(rng, 1, 400))
		}
	}
}

// readStream begins a stream, or takes it up, reads it until it has so many events, and reports whether it is complete.
func (r *Run) readStream(ctx context.Context, target *node, id, model string, s *partialStream, leaveAfter int) bool {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	caller := Caller{Team: unlimitedTeam, Version: int(r.version.Load()), At: time.Now(), Node: target.settings.Node, Tokens: 100 + standin.CallOutput}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target.settings.Clients+"/resumable/x", nil)
	if err != nil {
		panic(err) // the request is well-formed
	}
	req.Host = host
	call := standin.Call{ID: id, Deadline: clientTimeout, Key: key(caller.Team, caller.Version), Model: model, Tokens: 100}
	takesUp := s.events > 0
	if takesUp {
		call.Resumes, call.LastEvent = s.origin, fmt.Sprint(s.events)
	}
	call.SetHeaders(req.Header)
	r.check.RecordRequest(id, true, caller)
	hadServers := r.serversOf(s.software) >= 2
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	ok := err == nil && resp.StatusCode == http.StatusOK
	if (err == nil || ctx.Err() == nil) && (!takesUp || hadServers && r.serversOf(s.software) >= 2) {
		r.check.recordTakeUp(caller, takesUp, ok)
	}
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	if !ok {
		return false
	}
	before := s.events
	err = s.read(bufio.NewReader(resp.Body), leaveAfter, func(format string, a ...any) {
		r.check.RecordViolation("order", "request %s at %s, which takes up %q after event %d: "+format,
			append([]any{id, target.settings.Node, call.Resumes, before}, a...)...)
	})
	if s.events > 0 && !takesUp {
		s.origin = id
	}
	return err == nil
}

// read reads events until the stream ends, which returns nil if it ends as complete, or until there are so many. It calls
// violated if an event is missing, comes twice, or is from another version than the first.
func (s *partialStream) read(br *bufio.Reader, leaveAfter int, violated func(format string, a ...any)) error {
	event := ""
	for s.events < leaveAfter {
		line, err := br.ReadString('\n')
		if err == io.EOF && event+line == "" {
			if s.events != streamEvents {
				violated("it ended as complete after %d of %d events", s.events, streamEvents)
			}
			return nil
		}
		if err == io.EOF {
			violated("it ended as complete inside an event: %q", event+line)
			return nil
		}
		if err != nil {
			return err
		}
		if event += line; line != "\n" {
			continue
		}
		software := ""
		if _, comment, ok := strings.Cut(event, "\n: "); ok {
			software = strings.TrimSpace(comment)
		}
		if want := fmt.Sprintf("id: %[1]d\ndata: event %[1]d\n: %[2]s\n\n", s.events+1, software); event != want {
			violated("event %d is %q", s.events+1, event)
		}
		if s.software != "" && software != s.software {
			violated("event %d is from %s, the ones before from %s", s.events+1, software, s.software)
		}
		s.software, event = software, ""
		s.events++
	}
	return io.ErrUnexpectedEOF // the client leaves
}

// serversOf returns the number of engines of a software version that aren't leaving.
func (r *Run) serversOf(version string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, w := range r.workers {
		if w.service == "llm" && w.Software == version && !w.leaving.Load() {
			n++
		}
	}
	return n
}

// recordTakeUp records whether a stream was taken up, or begun, successfully.
func (c *Checker) recordTakeUp(caller Caller, takesUp, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.takeUps = append(c.takeUps, takeUp{caller, takesUp, ok})
}

// CheckTakeUps checks that streams are taken up about as successfully as new ones begin, at nodes in touch.
func (c *Checker) CheckTakeUps() {
	c.mu.Lock()
	var n takeUpCounts
	for _, t := range c.takeUps {
		if !c.inTouch(t.Node, t.At) {
			continue
		}
		one := 0
		if t.ok {
			one = 1
		}
		if t.takesUp {
			n.tried, n.wentOn = n.tried+1, n.wentOn+one
		} else {
			n.begun, n.served = n.begun+1, n.served+one
		}
	}
	c.mu.Unlock()
	if n.tried >= minTakeUps && n.begun > 0 && float64(n.wentOn)/float64(n.tried) < minTakenUpRatio*float64(n.served)/float64(n.begun) {
		c.RecordViolation("lost", "%d of %d streams went on, %d of %d new ones began", n.wentOn, n.tried, n.served, n.begun)
	}
}

// TakeUps returns how many streams were taken up and how many of them went on, at all nodes.
func (c *Checker) TakeUps() (tried, wentOn int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tried = len(slices.DeleteFunc(slices.Clone(c.takeUps), func(t takeUp) bool { return !t.takesUp }))
	wentOn = len(slices.DeleteFunc(slices.Clone(c.takeUps), func(t takeUp) bool { return !t.takesUp || !t.ok }))
	return tried, wentOn
}
