package follow

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"guavapaddle/internal/clock"
	"guavapaddle/platform"
)

type (
	// table is the copy of one table.
	table struct {
		f     *Follower
		name  string
		apply func(*table)
		wake  chan struct{} // another node tells of a newer version

		mu       sync.Mutex
		rows     map[string]platform.Row
		vanished map[string]time.Time // entries that are kept for now, until then
		gone     []platform.Row       // entries that went of late, for other nodes
		floor    int64                // gone is whole for changes after this version
		version  int64
		contact  time.Time // when the store last answered this node
		heard    time.Time // up to when the copy is whole, by whoever read it
		told     int64     // newest version that another node told of
		back     time.Time // when the store was last reached again
		lost     bool
		quick    bool // the next call asks for what is there, without a wait
	}
)

func (t *table) start(f *Follower, name string, apply func(*table)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.f, t.name, t.apply = f, name, apply
	t.rows = map[string]platform.Row{}
	t.vanished = map[string]time.Time{}
	t.wake = make(chan struct{}, 1)
}

// ages returns the age of the copy and the time since the store answered.
func (t *table) ages(now time.Time) (heard, contact time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.heard), now.Sub(t.contact)
}

// run reads the table and follows it until ctx ends.
func (t *table) run(ctx context.Context) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = retryFirst, retryMost
	led := backoff.NewExponentialBackOff()
	led.InitialInterval, led.MaxInterval = ledFirst, ledMost
	whole := true
	for ctx.Err() == nil {
		if !whole && t.isFed() {
			whole = t.rest(ctx)
			continue
		}
		err := t.step(ctx, whole)
		if ctx.Err() != nil {
			return
		}
		var status *platform.StatusError
		if errors.As(err, &status) && status.HistoryGone() {
			t.f.Log.Info("feed-history-gone", zap.String("table", t.name), zap.Int64("after", t.Version()))
			whole = true
			continue
		}
		if err != nil {
			t.miss(err)
			if (whole || t.behind()) && t.f.Ask != nil {
				t.f.Ask(ctx)
				whole = t.empty()
			}
			if !whole && t.led() {
				t.pause(ctx, led.NextBackOff())
			} else {
				clock.Sleep(ctx, b.NextBackOff())
			}
			continue
		}
		if whole {
			t.wait(ctx)
		} else {
			clock.Sleep(ctx, t.f.gap())
		}
		whole = false
		b.Reset()
		led.Reset()
	}
}

// isFed tells whether another node passes changes on.
func (t *table) isFed() bool { return t.f.Fed != nil && t.f.Fed() }

// led tells whether another node will tell when the store is back.
func (t *table) led() bool { return t.f.Led != nil && t.f.Led() }

// pause waits for a time, but no longer than another node leads this one, and
// only until it passes changes on again.
func (t *table) pause(ctx context.Context, d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until) && t.led() && !t.isFed(); {
		if !clock.Sleep(ctx, fedCheck) {
			return
		}
	}
}

// wait gives another node the time to pass changes on before this one, which has just
// read the table whole, follows it by itself: a node that starts finds the holder of the
// lease within a second, and hundreds may start at once.
func (t *table) wait(ctx context.Context) {
	t.mu.Lock()
	t.quick = t.f.role() == Alone
	t.mu.Unlock()
	for until := time.Now().Add(gapWhole); time.Now().Before(until) && t.f.role() == Alone && !t.isFed(); {
		if !clock.Sleep(ctx, fedCheck) {
			return
		}
	}
}

// behind tells whether another node told of a newer version than is here.
func (t *table) behind() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.told > t.own()
}

// empty tells whether nothing is known of the table.
func (t *table) empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows) == 0
}

// rest waits while another node passes changes on. It returns whether that
// node knows of a newer version of a table that must be read whole.
func (t *table) rest(ctx context.Context) bool {
	timer := time.NewTimer(fedCheck)
	defer timer.Stop()
	select {
	case <-t.wake:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.quick = true
	if at := t.nextExpiry(); !at.IsZero() && !time.Now().Before(at) {
		t.take(nil, t.version)
	}
	return false
}

// step reads the table whole or waits for its next changes.
func (t *table) step(ctx context.Context, whole bool) error {
	began := t.f.now()
	if whole {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		rows, version, err := t.f.Store.Read(ctx, t.name, "", "")
		if err != nil {
			return err
		}
		hideKeys(rows)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.reach()
		t.replace(rows, version)
		t.prove(began)
		return nil
	}
	t.mu.Lock()
	wait, after := t.f.feedTime(t), t.version
	if t.quick {
		wait = quickWait
	}
	if at := t.nextExpiry(); !at.IsZero() {
		wait = max(quickWait, min(wait, time.Until(at)))
	}
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+answerSlack)
	defer cancel()
	rows, version, err := t.f.Store.Feed(ctx, t.name, after, wait)
	hideKeys(rows)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.quick = err != nil
	if err != nil {
		return err
	}
	t.reach()
	t.take(rows, version)
	t.prove(began)
	return nil
}

// hideKeys replaces keys of callers in the configuration's row by their digests, before
// it is kept or passed on.
func hideKeys(rows []platform.Row) {
	for i, r := range rows {
		if r.Table == platform.TableOperator && r.Key == platform.KeyConfig && !r.Gone {
			rows[i].Value = platform.HideKeys(r.Value)
		}
	}
}

// prove notes that the copy held all that the store had when a call began; t.mu is held.
func (t *table) prove(began time.Duration) {
	if t == &t.f.operator && t.own() > 0 {
		t.f.proof.advance(began)
	}
}

// replace takes in all rows of the table; those that are missing have vanished.
// t.mu is held.
func (t *table) replace(rows []platform.Row, version int64) {
	if version < t.version { // a change that came meanwhile is newer
		return
	}
	there := make(map[string]bool, len(rows))
	for _, r := range rows {
		there[r.Key] = true
	}
	for k := range t.rows {
		if !there[k] {
			rows = append(rows, platform.Row{Table: t.name, Key: k, Version: version, Gone: true})
		}
	}
	t.floor = version
	t.gone = nil
	t.merge(rows, version)
	t.apply(t)
}

// take takes in changes in the order of their versions, of the store or of another
// node; t.mu is held. A row that isn't here though this copy is whole beyond its
// version was removed since: another node's answer may be older than that, as one that
// was on its way while this node read the store itself. Taken in, such an entry stayed
// for good, and requests went to a server that was gone.
func (t *table) take(rows []platform.Row, version int64) {
	fresh := make([]platform.Row, 0, len(rows))
	for _, r := range rows {
		_, here := t.rows[r.Key]
		_, vanished := t.vanished[r.Key]
		if here && !vanished || r.Gone || r.Version > t.version {
			fresh = append(fresh, r)
		}
	}
	t.merge(fresh, version)
}

// merge enters rows, each unless a newer one is here; t.mu is held.
func (t *table) merge(rows []platform.Row, version int64) {
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
		t.forget(r)
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

// forget remembers for other nodes that an entry went; t.mu is held.
func (t *table) forget(r platform.Row) {
	r.Value = nil
	t.gone = append(t.gone, r)
	if n := len(t.gone) - goneMost; n > 0 {
		t.floor = max(t.floor, t.gone[n-1].Version)
		t.gone = t.gone[n:]
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

// reach notes an answer of the store; t.mu is held. If nobody whose copy came here had
// one for so long that entries lapse, it was away and is back. A call that got no
// answer isn't enough: taken for an outage, it kept a server for 3.3 s after it was gone,
// of which two are allowed.
func (t *table) reach() {
	now := time.Now()
	last, heard := t.contact, t.heard
	t.contact, t.heard = now, now
	if !heard.IsZero() && now.Sub(heard) > t.f.lapse() {
		t.back = now
	}
	if t.lost {
		t.lost = false
		t.f.Log.Info("store-regained", zap.String("table", t.name), zap.Duration("away", now.Sub(last)), zap.Int64("version", t.version))
	}
}

// miss notes a failed call.
func (t *table) miss(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lost {
		return
	}
	t.lost = true
	t.f.Log.Warn("store-lost", zap.String("table", t.name), zap.Int64("version", t.version), zap.Error(err))
}
