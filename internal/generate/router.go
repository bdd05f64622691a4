package generate

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"guavapaddle/core/backend"
	"guavapaddle/core/config"
	"guavapaddle/core/forward"
	"guavapaddle/core/outcome"
	"guavapaddle/core/queue"
	"guavapaddle/core/retry"
	"guavapaddle/core/route"
	"guavapaddle/core/suspect"
	"guavapaddle/core/view"
	"guavapaddle/internal/engines"
	"guavapaddle/internal/suspects"
)

const (
	// copyRetry is what a caller is told when a model has no copy.
	copyRetry = 2 * time.Second
	// freeAttempts bounds attempts that reached no server, because it is gone
	// or its owner changed: they cost no server anything.
	freeAttempts = 8
	// unreachableRest is how long a server that could not be reached is passed
	// over unless no other holds the item. Its owner notices within that time.
	unreachableRest = time.Second
	// lostRest is how long nothing is sent to a server that broke a
	// connection off and did not answer: its owner notices meanwhile.
	lostRest = time.Second
	// busyAttempts bounds the search for a server to run a marked request on.
	busyAttempts = 20
	// maxResumes bounds the resumptions in a row.
	maxResumes = 3
)

type (
	// Request is one generation that a caller asked this node for.
	Request struct {
		ID          string
		Customer    string
		Kind        config.Kind
		Item        backend.Item
		Prompt      string
		MaxTokens   int
		Deadline    time.Time
		PrefixHash  uint64
		Fingerprint suspect.Fingerprint
		Alone       bool
		Started     func()         // called at the first token, may be nil
		Buffered    bool           // the caller sees nothing before the finish
		Resume      *forward.Token // continue an earlier answer, nil for a new one
	}

	// Views is what the node knows of backend servers.
	Views interface {
		// All returns the servers that are known. It is not to be changed.
		All() []view.Server
		// Changed returns a channel that is closed at the next change.
		Changed() <-chan struct{}
		// Heard notes the load that an owner told with an answer.
		Heard(server string, l forward.Load)
	}

	// Owners reaches the owner of a server on another node.
	Owners interface {
		// Do runs job at the owner. The error is nil, a *engines.SinkError or
		// an *outcome.Error; reason peer-unreachable stands for a job that
		// was not sent, peer-lost for one whose connection broke.
		Do(ctx context.Context, owner string, job forward.Job, sink engines.Sink) error
	}

	// Local runs jobs on servers that this node owns.
	Local interface {
		Do(ctx context.Context, job forward.Job, sink engines.Sink) error
	}

	// Event tells of one decision about a request, for logs and explain.
	Event struct {
		RequestID string
		Event     string // "pick", "retry", "resume", "wait", "end"
		Server    string
		Owner     string
		Epoch     uint64 // of the owner's lease by the view that was used, zero if unknown
		Reason    string
	}

	// Router routes generations. Its fields are set before the first Do.
	Router struct {
		Self       string // node name
		DataCentre string
		Views      Views
		Local      Local
		Owners     Owners
		Engine     func(server string) engines.Engine // nil if unknown
		Place      func(server string) string         // data centre of a server
		Policy     route.Policy
		Forward    bool // send through the owner; false goes to engines directly
		Retry      retry.Policy
		Guard      Guard
		Boot       func(ctx context.Context, server string) (string, error) // boot id of a server's engine
		Note       func(Event)
		Wanted     func(item backend.Item, waiting int) // change in requests waiting for a copy

		mu     sync.Mutex
		random *rand.Rand
		budget *retry.Budget
		sent   route.Tracker
		rest   map[string]rest // servers that are passed over for a while
	}

	// rest is how long a server is passed over.
	rest struct {
		until time.Time
		lost  bool // it does not answer, so that nothing is sent there
	}

	// attempt is the state of one request in Do.
	attempt struct {
		r       *Router
		q       Request
		emit    forward.Emit
		offset  int
		exclude map[string]bool
		count   int // attempts that cost a server something
		free    int // attempts that did not
		server  string
		owner   string
		epoch   uint64          // of the owner's lease
		why     string          // reason of the last choice
		held    []forward.Reply // replies that a caller who waits for the whole will get
		ran     bool            // an attempt may have run
		lost    bool            // the connection of an attempt was lost
		crashed bool            // an attempt of this node crashed its server
		bypass  bool            // the owner is not known for sure: go to the engine
		began   bool            // a first token has come
	}
)

// Init prepares the router; seed makes its choices repeatable.
func (r *Router) Init(seed uint64, budget *retry.Budget) {
	r.random = rand.New(rand.NewPCG(seed, 0))
	r.budget = budget
	r.rest = map[string]rest{}
}

// Do generates the answer to q and passes it to emit.
func (r *Router) Do(ctx context.Context, q Request, emit forward.Emit) error {
	a := &attempt{r: r, q: q, emit: emit, exclude: map[string]bool{}}
	if q.Resume != nil {
		a.offset, a.server = q.Resume.Offset, q.Resume.Server
		return a.resume(ctx, outcome.Fail(outcome.CallerGone, "came back"))
	}
	for {
		if err := a.pick(ctx); err != nil {
			return err
		}
		err := a.guarded(ctx)
		if err == nil {
			r.success(a.count)
			return nil
		}
		a.ran = a.ran || mayHaveRun(err)
		a.lost = a.lost || connectionLost(err)
		if again, err := a.judge(ctx, err); !again && err != nil {
			return a.failed(outcome.From(err))
		} else if !again {
			return nil
		}
	}
}

// mayHaveRun tells whether a failed attempt may have run.
func mayHaveRun(err error) bool {
	return !suspects.IsBusy(err) && outcome.From(err).Outcome != outcome.RefusedNotRun
}

// pick chooses server and owner, or waits for a copy.
func (a *attempt) pick(ctx context.Context) error {
	waiting := false
	defer func() {
		if waiting {
			a.r.Wanted(a.q.Item, -1)
		}
	}()
	for {
		changed := a.r.Views.Changed()
		if s, ok := a.choose(); ok {
			a.server, a.owner, a.epoch = s.Server, s.Owner, s.Epoch
			a.note("pick", a.why)
			return nil
		}
		if len(a.exclude) > 0 { // all others failed; the first may do by now
			clear(a.exclude)
			continue
		}
		if !waiting {
			waiting = true
			a.r.Wanted(a.q.Item, 1)
			a.note("wait", string(outcome.NoCopy))
		}
		if err := a.await(ctx, changed); err != nil {
			return err
		}
	}
}

// await waits until the views change.
func (a *attempt) await(ctx context.Context, changed <-chan struct{}) error {
	t := time.NewTimer(time.Until(a.q.Deadline))
	defer t.Stop()
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return a.failed(outcome.Refuse(outcome.CallerGone, "while it waited for a copy", 0))
	case <-t.C:
		return a.failed(outcome.Refuse(outcome.NoCopy, a.q.Item.String(), copyRetry))
	}
}

// failed returns what the caller is told of the last failure e: not a refusal
// if an earlier attempt may have run, and unknown if a request that may not be
// repeated was lost, since it may run to its end.
func (a *attempt) failed(e *outcome.Error) *outcome.Error {
	told := *e
	if a.ran && told.Outcome == outcome.RefusedNotRun {
		told.Outcome = outcome.FailedAfterStart
	}
	if a.lost && !a.q.Kind.Repeatable && told.Outcome == outcome.FailedAfterStart {
		told.Outcome = outcome.Unknown
	}
	return &told
}

// connectionLost tells whether an attempt was lost without a word of its end.
func connectionLost(err error) bool {
	if suspects.IsBusy(err) {
		return false
	}
	r := outcome.From(err).Reason
	return r == outcome.PeerLost || r == outcome.BackendLost
}

// choose applies the policy to the servers that hold the item, and to those
// that hold another version of it if none does.
func (a *attempt) choose() (view.Server, bool) {
	all := a.r.Views.All()
	if s, ok := a.chooseOf(all, a.q.Item); ok {
		return s, true
	}
	for _, v := range all {
		for _, i := range v.Resident {
			if i.Name == a.q.Item.Name && i.Base == a.q.Item.Base && i.Version != a.q.Item.Version {
				if s, ok := a.chooseOf(all, i); ok {
					a.q.Item = i
					return s, true
				}
			}
		}
	}
	return view.Server{}, false
}

func (a *attempt) chooseOf(all []view.Server, item backend.Item) (view.Server, bool) {
	r := a.r
	r.mu.Lock()
	defer r.mu.Unlock()
	cs := make([]route.Candidate, 0, len(all))
	for _, v := range all {
		if !v.Holds(item) {
			continue
		}
		cs = append(cs, route.Candidate{
			Server:         v,
			SameDataCentre: r.Place(v.Server) == r.DataCentre,
			OwnInFlight:    r.sent.InFlight(v.Server),
			OwnRecent:      r.sent.Recent(v.Server),
		})
	}
	now := time.Now()
	rested := r.passOver(now, cs)
	q := route.Request{
		Item:       item,
		Urgency:    a.q.Kind.Urgency,
		Deadline:   a.q.Deadline,
		PrefixHash: a.q.PrefixHash,
		Exclude:    a.exclude,
	}
	c, ok := r.Policy.Pick(now, q, cs, r.random)
	if !ok && len(rested) > 0 {
		for _, i := range rested {
			cs[i].Reachable = true
		}
		c, ok = r.Policy.Pick(now, q, cs, r.random)
	}
	if !ok {
		return view.Server{}, false
	}
	a.why = string(c.Reason)
	return cs[c.Index].Server, true
}

// send runs the request at the picked server, through its owner if it can.
func (a *attempt) send(ctx context.Context, resume bool) error {
	r := a.r
	job := a.job(resume)
	r.begin(a.server)
	defer r.end(a.server)
	sink := func(reply forward.Reply) error {
		if reply.Load != nil {
			r.Views.Heard(a.server, *reply.Load)
			r.Seen(a.server)
		}
		if reply.Token == "" && reply.Finish == "" {
			return nil
		}
		if !a.began && a.q.Started != nil {
			a.q.Started()
		}
		a.began = true
		if reply.Finish == "" {
			a.offset = reply.Offset + 1
		}
		return a.pass(reply)
	}
	switch {
	case r.Forward && a.owner == r.Self && !a.bypass:
		return r.Local.Do(ctx, job, sink)
	case r.Forward && a.owner != "" && !a.bypass:
		err := r.Owners.Do(ctx, a.owner, job, sink)
		if e := outcome.From(err); e == nil || e.Reason != outcome.PeerUnreachable {
			return err
		}
		a.note("direct", string(outcome.PeerUnreachable))
	}
	return a.direct(ctx, job, sink)
}

// pass gives a reply to the caller, or holds it until the finish if the caller
// sees nothing before: a generation that fails halfway can then begin anew.
func (a *attempt) pass(reply forward.Reply) error {
	at := forward.Token{RequestID: a.engineRequest(), Offset: a.offset, Server: a.server}
	if !a.q.Buffered {
		return a.emit(reply, at)
	}
	a.held = append(a.held, reply)
	if reply.Finish == "" {
		return nil
	}
	for _, r := range a.held {
		if err := a.emit(r, at); err != nil {
			return err
		}
	}
	return nil
}

// direct runs a job at the engine without its owner.
func (a *attempt) direct(ctx context.Context, job forward.Job, sink engines.Sink) error {
	e := a.r.Engine(a.server)
	if e == nil {
		return outcome.Refuse(outcome.NoServer, a.server, copyRetry)
	}
	return engines.Run(ctx, e, job, queue.Priority(job.Urgency), sink)
}

// resume continues the generation at its server: through the owner, or
// directly if the owner is lost. why is the failure so far.
func (a *attempt) resume(ctx context.Context, why *outcome.Error) error {
	a.owner, a.epoch = a.r.ownerOf(a.server)
	for range maxResumes {
		if why.Reason == outcome.PeerLost || why.Reason == outcome.NoServer {
			a.owner = ""
		}
		a.note("resume", string(why.Reason))
		before := a.offset
		err := a.send(ctx, true)
		if err == nil {
			return nil
		}
		if _, ok := errors.AsType[*engines.SinkError](err); ok {
			return outcome.Fail(outcome.CallerGone, "")
		}
		e := outcome.From(err)
		if e.Outcome == outcome.RefusedNotRun {
			e.Outcome = outcome.FailedAfterStart // the first part ran
		}
		if e.Reason != outcome.PeerLost && e.Reason != outcome.NoServer && a.offset == before {
			return e
		}
		why = e
	}
	return why
}

// pause waits before an attempt.
func (a *attempt) pause(ctx context.Context, attempt int) error {
	a.r.mu.Lock()
	d := a.r.Retry.Backoff(attempt, a.r.random)
	a.r.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return outcome.Fail(outcome.CallerGone, "")
	}
}

// job returns the job for the picked server.
func (a *attempt) job(resume bool) forward.Job {
	return forward.Job{
		Server:      a.server,
		RequestID:   a.q.ID,
		EngineID:    forward.EngineID(a.q.Customer, a.engineRequest()),
		Customer:    a.q.Customer,
		Kind:        a.q.Kind.Name,
		Urgency:     a.q.Kind.Urgency,
		Value:       a.q.Kind.Value,
		RemainingMS: time.Until(a.q.Deadline).Milliseconds(),
		Item:        a.q.Item,
		Prompt:      a.q.Prompt,
		MaxTokens:   a.q.MaxTokens,
		Offset:      a.offset,
		Resume:      resume,
		Alone:       a.q.Alone,
		Fingerprint: string(a.q.Fingerprint),
	}
}

// engineRequest returns the request id that the engine knows. A request that
// is continued keeps the id of its first part; each new attempt has its own.
func (a *attempt) engineRequest() string {
	switch {
	case a.q.Resume != nil:
		return a.q.Resume.RequestID
	case a.count > 0:
		return a.q.ID + "-" + strconv.Itoa(a.count)
	}
	return a.q.ID
}

func (a *attempt) note(event, reason string) {
	a.r.Note(Event{RequestID: a.q.ID, Event: event, Server: a.server, Owner: a.owner, Epoch: a.epoch, Reason: reason})
}

// ownerOf returns the owner of a server and the epoch of its lease by the
// views, empty if unknown.
func (r *Router) ownerOf(server string) (string, uint64) {
	for _, v := range r.Views.All() {
		if v.Server == server {
			return v.Owner, v.Epoch
		}
	}
	return "", 0
}

// Seen notes that a newer view or load of a server arrived.
func (r *Router) Seen(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent.Seen(server, time.Now())
}

func (r *Router) begin(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent.Sent(server, time.Now())
}

func (r *Router) end(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent.Ended(server)
}

// success fills the retry budget; only first attempts count.
func (r *Router) success(failures int) {
	if failures > 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Success()
}

func (r *Router) take() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Take(time.Now())
}
