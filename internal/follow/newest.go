package follow

import (
	"go.uber.org/zap"

	"guavapaddle/core/fleet"
	"guavapaddle/platform"
)

// rewriteTime is how long after a restore of the store the operator may take to write again what the
// copy lacks.
const rewriteTime = MissingGrace

// newestConfig is the newest configuration that this node knows. The store may have an older one after a
// restore, until the operator has written the newest again.
type newestConfig struct {
	row     platform.Row
	version int64 // assigned by the operator, 0 for none
	stored  int64 // version of the configuration in this node's copy of the store
}

// isStoreBehind reports whether the store has an older configuration.
func (n *newestConfig) isStoreBehind() bool { return n.stored < n.version }

// rowLackedBy returns the configuration's row if a node that has the given version can't read it from the
// store, and nil otherwise.
func (n *newestConfig) rowLackedBy(version int64) *platform.Row {
	if !n.isStoreBehind() || version >= n.version {
		return nil
	}
	row := n.row
	return &row
}

// putInForce calls OnConfig unless a newer configuration is in force; operator.mu is held.
func (f *Follower) putInForce(r platform.Row, c *fleet.Config) {
	if c.Version() < f.newest.version {
		f.Log.Warn("config-behind", zap.Int64("stored", c.Version()), zap.Int64("version", f.newest.version), zap.Stringer("revision", r.Revision()))
		return
	}
	f.newest.row, f.newest.version = r, c.Version()
	f.OnConfig(c)
}

// adoptConfig puts a configuration in force that another node has and the store lacks.
func (f *Follower) adoptConfig(r *platform.Row) {
	if r == nil {
		return
	}
	c, err := platform.Config(*r)
	if err != nil {
		f.Log.Error("config-unreadable", zap.Int64("version", r.Version), zap.Error(err))
		return
	}
	f.operator.mu.Lock()
	defer f.operator.mu.Unlock()
	if c.Version() <= f.newest.version {
		return
	}
	f.Log.Info("config-adopted", zap.Int64("version", c.Version()), zap.Int64("stored", f.newest.stored))
	f.putInForce(*r, c)
}

// HasLostConfig reports whether the configuration in force here is newer than a version and can't be read
// from the store, which has lost it.
func (f *Follower) HasLostConfig(version int64) bool {
	row, _ := f.lackedConfig(version)
	return row != nil
}

// lackedConfig returns the row of the configuration in force if a node that has the given version can't
// read it from the store, and its version.
func (f *Follower) lackedConfig(version int64) (*platform.Row, int64) {
	f.operator.mu.Lock()
	defer f.operator.mu.Unlock()
	return f.newest.rowLackedBy(version), f.newest.version
}
