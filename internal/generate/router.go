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
		Team        string
		Kind        config.Kind
		Item        backend.Item
		Prompt      string
		MaxTokens   int
		Deadline    time.Time
		PrefixHash  uint64
		Fingerprint suspect.Fingerprint
		Isolated    bool
		Started     func()               // called at the first token, may be nil
		Buffered    bool                 // the caller sees nothing before the finish
		Resume      *forward.ResumeToken // continue an earlier answer, nil for a new one
	}

	// Views is what the node knows of backend servers.
	Views interface {
		// All returns the servers that are known. It is not to be changed.
		All() []view.Server
		// Get returns the view of one server, false if it is not known.
		Get(server string) (view.Server, bool)
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

func (a *attempt) note(event, reason string) {
	a.r.Note(Event{RequestID: a.q.ID, Event: event, Server: a.server, Owner: a.owner, Epoch: a.epoch, Reason: reason})
}

// Seen notes that a newer view or load of a server arrived.
func (r *Router) Seen(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent.ViewUpdated(server, time.Now())
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

// SetRetryShare sets how many retries each first attempt that succeeded allows.
func (r *Router) SetRetryShare(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.PerSuccess = share
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
