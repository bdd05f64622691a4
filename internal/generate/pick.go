package generate

import (
	"context"
	"time"

	"guavapaddle/core/backend"
	"guavapaddle/core/outcome"
	"guavapaddle/core/route"
	"guavapaddle/core/view"
)

// pick selects a server and its owner, or waits for a copy of the item.
func (a *attempt) pick(ctx context.Context) error {
	waiting := false
	defer func() {
		if waiting {
			a.r.AddWaiting(a.q.Item, -1)
		}
	}()
	for {
		changed := a.r.Views.Changed()
		if s, ok := a.selectServer(); ok {
			a.server, a.owner, a.epoch = s.Server, s.Owner, s.Epoch
			a.trace("pick", a.reason)
			return nil
		}
		if len(a.exclude) > 0 { // all candidates failed; earlier ones may have recovered
			clear(a.exclude)
			continue
		}
		if !waiting {
			waiting = true
			a.r.AddWaiting(a.q.Item, 1)
			a.trace("wait", string(outcome.NoCopy))
		}
		if err := a.awaitView(ctx, changed); err != nil {
			return err
		}
	}
}

// awaitView waits until the views change.
func (a *attempt) awaitView(ctx context.Context, changed <-chan struct{}) error {
	t := time.NewTimer(time.Until(a.q.Deadline))
	defer t.Stop()
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return a.callerError(outcome.Refuse(outcome.CallerGone, "while it waited for a copy", 0))
	case <-t.C:
		return a.callerError(outcome.Refuse(outcome.NoCopy, a.q.Item.String(), noCopyRetryAfter))
	}
}

// selectServer applies the routing policy to the servers that hold the item. If
// there are none, it applies the policy to those that hold another version of
// it.
func (a *attempt) selectServer() (view.Server, bool) {
	all := a.r.Views.All()
	if s, ok := a.selectServerFor(all, a.q.Item); ok {
		return s, true
	}
	for _, v := range all {
		for _, i := range v.Resident {
			if i.Name == a.q.Item.Name && i.Base == a.q.Item.Base && i.Version != a.q.Item.Version {
				if s, ok := a.selectServerFor(all, i); ok {
					a.q.Item = i
					return s, true
				}
			}
		}
	}
	return view.Server{}, false
}

// selectServerFor applies the routing policy to the servers that hold item.
// Servers in cooldown are used only if no other candidate can be picked.
func (a *attempt) selectServerFor(all []view.Server, item backend.Item) (view.Server, bool) {
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
			SameDataCentre: r.DataCentreOf(v.Server) == r.DataCentre,
			OwnInFlight:    r.sent.InFlight(v.Server),
			OwnRecent:      r.sent.Recent(v.Server),
		})
	}
	now := time.Now()
	cooling := r.skipCooling(now, cs)
	q := route.Request{
		Item:       item,
		Urgency:    a.q.Kind.Urgency,
		Deadline:   a.q.Deadline,
		PrefixHash: a.q.PrefixHash,
		Exclude:    a.exclude,
	}
	c, ok := r.Policy.Pick(now, q, cs, r.random)
	if !ok && len(cooling) > 0 {
		for _, i := range cooling {
			cs[i].Reachable = true
		}
		c, ok = r.Policy.Pick(now, q, cs, r.random)
	}
	if !ok {
		return view.Server{}, false
	}
	a.reason = string(c.Reason)
	return cs[c.Index].Server, true
}
