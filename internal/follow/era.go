package follow

import (
	"context"
	"errors"

	"guavapaddle/platform"
)

// observeEra records an era of the store, and cancels the feed call in progress if the copy is of an
// earlier one.
func (t *table) observeEra(era int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observedEra = max(t.observedEra, era)
	if t.cancelFeed != nil && !t.revision.IsZero() && t.revision.Era < era {
		t.cancelFeed()
	}
}

// setCancelFeed sets the function that cancels the feed call about to begin.
func (t *table) setCancelFeed(cancel context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancelFeed = cancel
}

// eraAfter returns the era of the store after a call with the given result, as far as this table knows it.
func (t *table) eraAfter(err error) int64 {
	var status *platform.StatusError
	var era *EraError
	switch {
	case errors.As(err, &era):
		return era.Store
	case errors.As(err, &status):
		return status.Era
	default:
		return t.Revision().Era
	}
}
