package follow

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/fleet"
	"guavapaddle/internal/clock"
	"guavapaddle/platform"
)

const (
	// Grace is how long after the store's return an entry may be missing before
	// its server counts as gone; they are back within about two seconds.
	Grace = 1800 * time.Millisecond
	// feedWait is how long a feed waits for a change. A feed that went silent is
	// noticed after it and answerSlack, which must fit well into the two
	// seconds in which a leaving server has to be known.
	feedWait = time.Second
	// deputyWait is the same for a deputy: what it knows goes to the holder and
	// on to all nodes, each way up to 0.8 s.
	deputyWait = 600 * time.Millisecond
	// quickWait is the same for the first call after a rest, or after one without an
	// answer: what changed meanwhile is there already, and a call that gets no answer
	// is noticed after 0.42 s, not 1.4 s. A node to which nothing was passed on for 0.7 s
	// had been without news for 2.1 s by then.
	quickWait = 20 * time.Millisecond
	// gapHolder, gapDeputy and gapAlone are the least time from one answer of a
	// feed to the next call, for the node that passes changes on, its deputy, and
	// nodes that nobody leads. Without them each change of a server is a call: of
	// 65 nodes that lost their holder as 17 servers came back, 860 calls a second.
	gapHolder = 100 * time.Millisecond
	gapDeputy = 250 * time.Millisecond
	gapAlone  = 400 * time.Millisecond
	// gapWhole is the most time from a reading of the whole table to the first call of
	// its feed.
	gapWhole = time.Second
	// answerSlack is added for the answer itself; a slow store takes 200 ms.
	answerSlack = 400 * time.Millisecond
	// fedCheck is how often a node to which changes are passed on looks whether
	// that still holds.
	fedCheck = 100 * time.Millisecond
	// goneMost bounds the entries that went and are remembered for other nodes.
	goneMost = 256
	// refusedMost bounds the unreadable entries that are remembered, so that each
	// is told once.
	refusedMost = 1024
	readTimeout = 1500 * time.Millisecond
	retryFirst  = 50 * time.Millisecond
	retryMost   = 500 * time.Millisecond
	// ledFirst and ledMost bound the pauses of a node that the holder answers,
	// though its copy is old: the holder and its deputy try more often, and tell
	// when the store is back.
	ledFirst = time.Second
	ledMost  = 4 * time.Second
	// defaultHeartbeat is how often servers write their entries where nothing says so;
	// the users' platforms say 1.2 s.
	defaultHeartbeat = 1200 * time.Millisecond
	// proofParts is how many waits of the operator's feed fit into ProofWithin: a proof is
	// as old as the wait when it comes, and the last one holds for the next wait.
	proofParts = 12
	// lapsePart is how many heartbeats the store must have been away for entries to
	// lapse in it: they do after three without one, the last of which may just have been
	// due. A little less, for heartbeats that come late.
	lapsePart = 1.8
)

type (
	// Store is the platform's store as far as it is followed.
	Store interface {
		// Read returns the rows of a table and the version as of which they hold.
		Read(ctx context.Context, table, from, to string) ([]platform.Row, int64, error)
		// Feed waits for changes after a version.
		Feed(ctx context.Context, table string, after int64, wait time.Duration) ([]platform.Row, int64, error)
	}

	// Follower follows the store. Its exported fields are set before Run. The
	// functions are called one at a time for each table.
	Follower struct {
		Store     Store
		Log       *zap.Logger
		OnConfig  func(*fleet.Config)
		OnServers func([]fleet.Server)
		// Fed tells whether another node passes changes on, so that this one
		// needn't ask the store; nil for never.
		Fed func() bool
		// Led tells whether another node would pass changes on if it could read
		// the store, nil for never.
		Led func() bool
		// Role tells for whom this node follows, nil for itself.
		Role func() Role

		// ProofWithin is the age up to which the configuration is to be known as the newest,
		// zero for any: the holder and its deputy ask often enough for all nodes to.
		ProofWithin time.Duration

		// Heartbeat is how often servers write their entries, zero for 1.2 s.
		Heartbeat time.Duration

		// Clock returns a time that goes on while the process stands still, clock.Boot if nil.
		Clock func() time.Duration

		// Ask asks another node for its copy when a table can't be read, nil for
		// never.
		Ask func(ctx context.Context)

		operator table
		server   table
		proof    proof
		entries  map[string]fleet.Server // as last read, by key
		refused  map[string]int64        // versions of entries that can't be read
		known    map[string]bool         // servers that were passed on, and whether they leave
	}

	// Role tells for whom a node follows.
	Role int
)

const (
	// Alone follows for itself.
	Alone Role = iota
	// Holder passes changes on to all nodes.
	Holder
	// Deputy passes changes on to the holder.
	Deputy
)

// Run follows both tables until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.operator.start(f, platform.TableOperator, f.config)
	f.server.start(f, platform.TableServers, f.servers)
	var wg sync.WaitGroup
	wg.Go(func() { f.operator.run(ctx) })
	wg.Go(func() { f.server.run(ctx) })
	wg.Wait()
}

// Age returns how old the copy of the tables is, whoever read them.
func (f *Follower) Age(now time.Time) time.Duration {
	operator, _ := f.operator.ages(now)
	server, _ := f.server.ages(now)
	return max(operator, server)
}

// Contact returns how long ago the store answered this node itself, for the
// table that it answered least recently.
func (f *Follower) Contact(now time.Time) time.Duration {
	_, operator := f.operator.ages(now)
	_, server := f.server.ages(now)
	return max(operator, server)
}

// lapse returns how long the store must have been away for entries to lapse.
func (f *Follower) lapse() time.Duration {
	beat := f.Heartbeat
	if beat <= 0 {
		beat = defaultHeartbeat
	}
	return time.Duration(float64(beat) * lapsePart)
}

// role tells for whom this node follows.
func (f *Follower) role() Role {
	if f.Role == nil {
		return Alone
	}
	return f.Role()
}

// ConfigAge returns how long ago the configuration that was passed on was the newest for
// certain, whoever read it.
func (f *Follower) ConfigAge() time.Duration { return f.proof.age(f.now()) }

// now returns the time of the clock.
func (f *Follower) now() time.Duration {
	if f.Clock == nil {
		return clock.Boot()
	}
	return f.Clock()
}

// Proved takes in that a version of the configuration's row was the newest at a time of
// the clock.
func (f *Follower) Proved(version int64, at time.Duration) {
	t := &f.operator
	t.mu.Lock()
	defer t.mu.Unlock()
	if own := t.own(); own > 0 && own >= version {
		f.proof.advance(at)
	}
}

// feedTime returns how long a feed of a table waits for a change.
func (f *Follower) feedTime(t *table) time.Duration {
	wait := feedWait
	if f.role() == Deputy {
		wait = deputyWait
	}
	if t == &f.operator && f.ProofWithin > 0 && f.role() != Alone {
		wait = min(wait, f.ProofWithin/proofParts)
	}
	return wait
}

// gap returns the least time between two calls of a feed.
func (f *Follower) gap() time.Duration {
	switch f.role() {
	case Holder:
		return gapHolder
	case Deputy:
		return gapDeputy
	default:
		return gapAlone
	}
}

// config passes the newest configuration on. One that can't be read leaves the
// last one in force.
func (f *Follower) config(t *table) {
	r, ok := t.rows[platform.KeyConfig]
	if !ok {
		return
	}
	c, err := platform.Config(r)
	f.proof.readable(err == nil)
	if err != nil {
		f.Log.Error("config-unreadable", zap.Int64("version", r.Version), zap.Error(err))
		return
	}
	f.OnConfig(c)
}

// servers passes the list of servers on. An entry that can't be read names no
// server. Only entries that have changed are read: with hundreds of servers some change
// all the time.
func (f *Follower) servers(t *table) {
	list := make([]fleet.Server, 0, len(t.rows))
	entries := make(map[string]fleet.Server, len(t.rows))
	for key, r := range t.rows {
		s, ok := f.entries[key]
		if !ok || s.Version != r.Version {
			var err error
			if s, err = platform.Server(r); err != nil {
				f.unreadable(r, err)
				continue
			}
		}
		entries[key] = s
		list = append(list, s)
	}
	f.entries = entries
	f.left(list, time.Since(t.heard))
	f.OnServers(list)
}

// left tells which servers leave, or are gone, since the list before.
func (f *Follower) left(list []fleet.Server, age time.Duration) {
	known := make(map[string]bool, len(list))
	for _, s := range list {
		known[s.ID] = s.Leaving
		if s.Leaving && !f.known[s.ID] {
			f.Log.Info("server-leaving", zap.String("server", s.ID), zap.Int64("version", s.Version), zap.Duration("age", age))
		}
	}
	for id := range f.known {
		if _, ok := known[id]; !ok {
			f.Log.Info("server-gone", zap.String("server", id), zap.Duration("age", age))
		}
	}
	f.known = known
}

// unreadable tells once of each version of an entry that can't be read.
func (f *Follower) unreadable(r platform.Row, err error) {
	if f.refused == nil {
		f.refused = map[string]int64{}
	}
	if f.refused[r.Key] == r.Version {
		return
	}
	if len(f.refused) >= refusedMost {
		clear(f.refused)
	}
	f.refused[r.Key] = r.Version
	f.Log.Error("server-unreadable", zap.String("server", r.Key), zap.Int64("version", r.Version), zap.Error(err))
}
