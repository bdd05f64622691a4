package front

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/standstill"
	"guavapaddle/internal/clock"
	"guavapaddle/internal/hub"
)

// standstillGap is the time between two samples of the process from which it has stood still. Other nodes begin streams without the leader's
// acknowledgement after that time.
const standstillGap = recordTimeout

type (
	// inStep is what this node knows of whether others may have gone on without it.
	inStep struct {
		heardAt atomic.Int64 // boot time of the last report of another node

		mu       sync.Mutex
		detector standstill.Detector
	}

	// OutOfStepError reports that this node can't tell which versions have begun streams: it has stood still or is cut off, and
	// others may have joined.
	OutOfStepError struct{}
)

// Error implements error.
func (*OutOfStepError) Error() string {
	return "front: servers of versions that this node doesn't know may have joined"
}

// beat records that the process runs.
func (n *Node) beat() {
	s := &n.inStep
	s.mu.Lock()
	s.detector.MaxGap = standstillGap
	gap := s.detector.Beat(clock.SinceBoot())
	s.mu.Unlock()
	if gap > 0 {
		n.log.Info("stood-still", zap.Duration("for", gap))
	}
}

// runningSince returns the boot time since when this node has not stood still, zero if it never has.
func (n *Node) runningSince() time.Duration {
	s := &n.inStep
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.RunningSince(clock.SinceBoot())
}

// hear records a report of another node.
func (n *Node) hear(r hub.Report) {
	if r.Node != n.settings.Node {
		n.inStep.heardAt.Store(int64(clock.SinceBoot()))
	}
}

// coordinatesInStep reports whether this node, as the leader or its deputy, knows all versions that have begun streams. Another node either reports one
// before it begins a stream of it, or waits for recordTimeout in vain. So this node must have heard of others, or have begun to read the list of
// servers, within that time; after a standstill, reports that were sent before it arrive first. A node that no other reports to, but that reads the
// list, is alone rather than cut off.
func (n *Node) coordinatesInStep() bool {
	now, since := clock.SinceBoot(), n.runningSince()
	readAt, heardAt := n.follower.ServersReadAt(), time.Duration(n.inStep.heardAt.Load())
	hasRead := readAt > since && now-readAt <= recordTimeout
	hasHeard := now-heardAt <= recordTimeout && (since == 0 || heardAt-since > recordTimeout)
	isAlone := readAt > since && readAt-heardAt > recordTimeout && n.isCopyFresh()
	return hasRead || hasHeard || isAlone
}

// readSince reports whether this node's list of servers has all versions that had begun streams by a boot time: the store, or a leader, from which each
// node gets what any of them has read, has confirmed it in a call that began later.
func (n *Node) readSince(at time.Duration) bool {
	return n.placer.LeaseObserved() && max(n.follower.ServersReadAt(), time.Duration(n.confirmedAt.Load())) >= at
}
