package generate

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"guavapaddle/core/backend"
	"guavapaddle/core/config"
	"guavapaddle/core/forward"
	"guavapaddle/core/outcome"
	"guavapaddle/core/retry"
	"guavapaddle/core/route"
	"guavapaddle/core/suspect"
	"guavapaddle/core/view"
	"guavapaddle/internal/engines"
	"guavapaddle/internal/suspects"
)

const (
	// noCopyRetryAfter is the retry delay given to callers if the model has no
	// copy.
	noCopyRetryAfter = 2 * time.Second
	// maxFreeAttempts bounds the attempts that loaded no server because it is
	// down, its owner changed or it no longer holds the item. They don't count
	// against the retry policy.
	maxFreeAttempts = 8
	// unreachableCooldown is how long an unreachable server is skipped unless no
	// other server holds the item. The server's owner detects the failure within
	// that time.
	unreachableCooldown = time.Second
	// lostCooldown is how long nothing is sent to a server that broke a
	// connection and did not respond. The server's owner detects the failure in
	// the meantime.
	lostCooldown = time.Second
	// maxBusyAttempts bounds the search for a server on which a marked request
	// can run.
	maxBusyAttempts = 20
	// maxResumes bounds the consecutive resumptions.
	maxResumes = 3
)

type (
	// Request is one generation requested by a caller of this node.
	Request struct {
		ID          string
		Team        string
		Kind        config.Kind
		Item        backend.Item
		Prompt      string
		MaxTokens   int
		Deadline    time.Time
		PrefixHash  uint64
		Fingerprint suspect.Fingerprint
		Isolated    bool
		Started     func()               // called at the first token; may be nil
		Buffered    bool                 // the caller gets the whole response after the finish
		Resume      *forward.ResumeToken // continues an earlier response; nil for a new one
	}

	// Views holds the node's knowledge of backend servers.
	Views interface {
		// All returns the known servers. The caller must not modify the slice.
		All() []view.Server
		// Get returns the view of one server, or false if the server is not
		// known.
		Get(server string) (view.Server, bool)
		// Changed returns a channel that is closed at the next change.
		Changed() <-chan struct{}
		// UpdateLoad updates the load of a server from an owner's reply.
		UpdateLoad(server string, l forward.Load)
	}

	// Owners runs jobs at the owners of servers on other nodes.
	Owners interface {
		// RunJob runs job at the owner. The error is nil, an *engines.SinkError or
		// an *outcome.Error. The reason peer-unreachable means that the job was
		// not sent, peer-lost that the connection broke after it was.
		RunJob(ctx context.Context, owner string, job forward.Job, sink engines.Sink) error
	}

	// Local runs jobs on servers that this node owns.
	Local interface {
		RunJob(ctx context.Context, job forward.Job, sink engines.Sink) error
	}

	// Event is a trace event: one decision about a request, for logs and
	// explain.
	Event struct {
		RequestID string
		Event     string // such as "pick", "wait", "retry" or "resume"
		Server    string
		Owner     string
		Epoch     uint64 // epoch of the owner's lease in the view that was used, zero if unknown
		Reason    string
	}

	// Router routes generations. Its fields are set before the first Do.
	Router struct {
		Self         string // node name
		DataCentre   string
		Views        Views
		Local        Local
		Owners       Owners
		Engine       func(server string) engines.Engine // nil if unknown
		DataCentreOf func(server string) string         // data centre of a server
		Policy       route.Policy
		Forward      bool // send through the owner; false goes to engines directly
		Retry        retry.Policy
		Guard        Guard
		BootID       func(ctx context.Context, server string) (string, error) // boot ID of a server's engine
		Trace        func(Event)
		AddWaiting   func(item backend.Item, waiting int) // receives the change in the number of requests that wait for a copy

		mu       sync.Mutex
		random   *rand.Rand
		budget   *retry.Budget
		sent     route.Tracker
		cooldown map[string]cooldown // by server
	}

	// cooldown is a period in which a server is skipped.
	cooldown struct {
		until        time.Time
		unresponsive bool // the server does not respond; nothing is sent to it
	}

	// attempt is the state of one request in Do.
	attempt struct {
		r             *Router
		q             Request
		emit          forward.Emit
		offset        int
		exclude       map[string]bool
		attempts      int // attempts that loaded a server
		freeAttempts  int // attempts that loaded no server
		server        string
		owner         string
		epoch         uint64          // epoch of the owner's lease
		reason        string          // reason of the last selection
		buffered      []forward.Reply // replies kept until the finish of a buffered response
		maybeRan      bool            // an attempt may have run
		connLost      bool            // the connection of an attempt was lost
		crashed       bool            // an attempt of this node crashed its server
		bypassOwner   bool            // the owner is uncertain: send directly to the engine
		gotFirstToken bool            // the first token was received
	}
)

// Init prepares the router. The seed makes its selections reproducible.
func (r *Router) Init(seed uint64, budget *retry.Budget) {
	r.random = rand.New(rand.NewPCG(seed, 0))
	r.budget = budget
	r.cooldown = map[string]cooldown{}
}

// Do generates the response to q and passes it to emit.
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
		err := a.sendGuarded(ctx)
		if err == nil {
			r.recordSuccess(a.attempts)
			return nil
		}
		a.maybeRan = a.maybeRan || mayHaveRun(err)
		a.connLost = a.connLost || connectionLost(err)
		if again, err := a.decide(ctx, err); !again && err != nil {
			return a.callerError(outcome.From(err))
		} else if !again {
			return nil
		}
	}
}

// mayHaveRun reports whether a failed attempt may have run.
func mayHaveRun(err error) bool {
	return !suspects.IsBusy(err) && outcome.From(err).Outcome != outcome.RefusedNotRun
}

// callerError returns the error for the caller after the last failure e. It is
// not a refusal if an earlier attempt may have run. It is unknown if a request
// that may not be repeated was lost, since that request may still run to its
// end.
func (a *attempt) callerError(e *outcome.Error) *outcome.Error {
	result := *e
	if a.maybeRan && result.Outcome == outcome.RefusedNotRun {
		result.Outcome = outcome.FailedAfterStart
	}
	if a.connLost && !a.q.Kind.Repeatable && result.Outcome == outcome.FailedAfterStart {
		result.Outcome = outcome.Unknown
	}
	return &result
}

// connectionLost reports whether an attempt was lost without a final reply.
func connectionLost(err error) bool {
	if suspects.IsBusy(err) {
		return false
	}
	r := outcome.From(err).Reason
	return r == outcome.PeerLost || r == outcome.BackendLost
}

func (a *attempt) trace(event, reason string) {
	a.r.Trace(Event{RequestID: a.q.ID, Event: event, Server: a.server, Owner: a.owner, Epoch: a.epoch, Reason: reason})
}

// ViewUpdated records that a newer view or load of a server was received.
func (r *Router) ViewUpdated(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent.ViewUpdated(server, time.Now())
}

func (r *Router) recordSent(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent.Sent(server, time.Now())
}

func (r *Router) recordEnded(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent.Ended(server)
}

// SetRetryShare sets how many retries each successful first attempt allows.
func (r *Router) SetRetryShare(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.PerSuccess = share
}

// recordSuccess adds a success to the retry budget. Only first attempts count.
func (r *Router) recordSuccess(failures int) {
	if failures > 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Success()
}

// takeRetry takes a retry from the budget and reports whether one was left.
func (r *Router) takeRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Take(time.Now())
}
