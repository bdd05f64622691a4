package follow

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"guavapaddle/core/fleet"
	"guavapaddle/platform"
)

const (
	// Grace is how long after the store's return an entry may be missing before
	// its server counts as gone; they are back within about two seconds.
	Grace = 1800 * time.Millisecond

	// feedWait is how long a feed waits for a change. A feed that went silent is
	// noticed after it and answerSlack, which must fit well into the two
	// seconds in which a leaving server has to be known.
	feedWait = 1200 * time.Millisecond
	// answerSlack is added for the answer itself; a slow store takes 200 ms.
	answerSlack = 500 * time.Millisecond
	readTimeout = 1500 * time.Millisecond
	retryFirst  = 50 * time.Millisecond
	retryMost   = 500 * time.Millisecond
	// away is the time without contact after which the store counts as away.
	away = 2500 * time.Millisecond
)

type (
	// Follower follows the store. Its exported fields are set before Run. The
	// functions are called one at a time for each table.
	Follower struct {
		Store     *platform.Store
		Log       *zap.Logger
		OnConfig  func(*fleet.Config)
		OnServers func([]fleet.Server)

		mu      sync.Mutex
		contact map[string]time.Time // last answer for a table
	}

	// table is the copy of one table.
	table struct {
		f        *Follower
		name     string
		rows     map[string]platform.Row
		vanished map[string]time.Time // entries that are kept for now, until then
		version  int64
		back     time.Time // when the store was last reached again
		lost     bool
		apply    func(*table)
	}
)

// Run follows both tables until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.contact = map[string]time.Time{}
	var wg sync.WaitGroup
	for name, apply := range map[string]func(*table){
		platform.TableOperator: f.config,
		platform.TableServers:  f.servers,
	} {
		t := &table{f: f, name: name, apply: apply, rows: map[string]platform.Row{}, vanished: map[string]time.Time{}}
		wg.Go(func() { t.run(ctx) })
	}
	wg.Wait()
}

// Contact returns when each table was last heard of, the oldest of them; the
// zero time before the first.
func (f *Follower) Contact() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.contact) < 2 {
		return time.Time{}
	}
	var oldest time.Time
	for _, at := range f.contact {
		if oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// run reads the table and follows it until ctx ends.
func (t *table) run(ctx context.Context) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = retryFirst, retryMost
	whole := true
	for ctx.Err() == nil {
		err := t.step(ctx, whole)
		if ctx.Err() != nil {
			return
		}
		var status *platform.StatusError
		if errors.As(err, &status) && status.HistoryGone() {
			t.f.Log.Info("feed-history-gone", zap.String("table", t.name), zap.Int64("after", t.version))
			whole = true
			continue
		}
		if err != nil {
			t.miss(err)
			if !sleep(ctx, b.NextBackOff()) {
				return
			}
			continue
		}
		whole = false
		b.Reset()
		t.reach()
	}
}

// step reads the table whole or waits for its next changes.
func (t *table) step(ctx context.Context, whole bool) error {
	if whole {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		rows, version, err := t.f.Store.Read(ctx, t.name, "", "")
		if err != nil {
			return err
		}
		t.reach()
		t.replace(rows, version)
		return nil
	}
	wait := feedWait
	if at := t.nextExpiry(); !at.IsZero() {
		wait = max(20*time.Millisecond, min(wait, time.Until(at)))
	}
	ctx, cancel := context.WithTimeout(ctx, wait+answerSlack)
	defer cancel()
	rows, version, err := t.f.Store.Feed(ctx, t.name, t.version, wait)
	if err != nil {
		return err
	}
	t.reach()
	t.take(rows, version)
	return nil
}

// replace takes in all rows of the table; those that are missing have vanished.
func (t *table) replace(rows []platform.Row, version int64) {
	there := make(map[string]bool, len(rows))
	for _, r := range rows {
		there[r.Key] = true
	}
	for k := range t.rows {
		if !there[k] {
			rows = append(rows, platform.Row{Table: t.name, Key: k, Version: version, Gone: true})
		}
	}
	t.take(rows, version)
	t.apply(t)
}

// take takes in changes in the order of their versions.
func (t *table) take(rows []platform.Row, version int64) {
	now := time.Now()
	changed := false
	for _, r := range rows {
		if r.Part != "" || r.Version < t.rows[r.Key].Version {
			continue
		}
		changed = true
		if !r.Gone {
			t.rows[r.Key] = r
			delete(t.vanished, r.Key)
			continue
		}
		if _, ok := t.rows[r.Key]; ok && now.Before(t.back.Add(Grace)) {
			t.vanished[r.Key] = t.back.Add(Grace)
			continue
		}
		delete(t.rows, r.Key)
	}
	for k, at := range t.vanished {
		if !now.Before(at) {
			changed = true
			delete(t.rows, k)
			delete(t.vanished, k)
		}
	}
	t.version = max(t.version, version)
	if changed {
		t.apply(t)
	}
}

// nextExpiry returns when the next entry that is kept for now is given up.
func (t *table) nextExpiry() time.Time {
	var next time.Time
	for _, at := range t.vanished {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// reach notes an answer of the store.
func (t *table) reach() {
	now := time.Now()
	t.f.mu.Lock()
	last := t.f.contact[t.name]
	t.f.contact[t.name] = now
	t.f.mu.Unlock()
	if !last.IsZero() && now.Sub(last) > away {
		t.back = now
	}
	if t.lost {
		t.lost = false
		t.back = now
		t.f.Log.Info("store-regained", zap.String("table", t.name), zap.Duration("away", now.Sub(last)), zap.Int64("version", t.version))
	}
}

// miss notes a failed call.
func (t *table) miss(err error) {
	if t.lost {
		return
	}
	t.lost = true
	t.f.Log.Warn("store-lost", zap.String("table", t.name), zap.Int64("version", t.version), zap.Error(err))
}

// config passes the newest configuration on. One that can't be read leaves the
// last one in force.
func (f *Follower) config(t *table) {
	r, ok := t.rows[platform.KeyConfig]
	if !ok {
		return
	}
	c, err := platform.Config(r)
	if err != nil {
		f.Log.Error("config-unreadable", zap.Int64("version", r.Version), zap.Error(err))
		return
	}
	f.OnConfig(c)
}

// servers passes the list of servers on. An entry that can't be read is left
// out.
func (f *Follower) servers(t *table) {
	list := make([]fleet.Server, 0, len(t.rows))
	for _, r := range t.rows {
		s, err := platform.Server(r)
		if err != nil {
			f.Log.Error("server-unreadable", zap.String("server", r.Key), zap.Error(err))
			continue
		}
		list = append(list, s)
	}
	f.OnServers(list)
}

// sleep waits for d and tells whether ctx is still open.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
