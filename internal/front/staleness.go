package front

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/pause"
	"guavapaddle/internal/clock"
)

// maxPause is the time between two samples of the process above which it counts as paused: other nodes wait as long for the leader's
// acknowledgement, and then begin streams without it.
const maxPause = recordTimeout

type (
	// contact is when this node last had contact with others, and since when it has been running.
	contact struct {
		heardAt atomic.Int64 // boot time of the last call of another node, or reply to a report

		mu       sync.Mutex
		detector pause.Detector
	}

	// StaleVersionsError reports that a coordinator can't tell which versions have begun streams: it was paused or is cut off, and servers of
	// others may have joined meanwhile.
	StaleVersionsError struct{}
)

// Error implements error.
func (*StaleVersionsError) Error() string {
	return "front: the versions that this node knows are out of date"
}

// beat records that the process runs.
func (n *Node) beat() {
	s := &n.contact
	s.mu.Lock()
	gap := s.detector.Beat(clock.SinceBoot())
	s.mu.Unlock()
	if gap > 0 {
		n.log.Info("process-paused", zap.Duration("for", gap))
	}
}

// runningSince returns the boot time at which the last pause of this node ended, zero if it had none.
func (n *Node) runningSince() time.Duration {
	s := &n.contact
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.RunningSince(clock.SinceBoot())
}

// hear records that a node with a name called this one, or replied to it.
func (n *Node) hear(from string) {
	if from != n.settings.Node {
		n.contact.heardAt.Store(int64(clock.SinceBoot()))
	}
}

// isHeardSince reports whether another node has called this one, or replied to it, since a boot time.
func (n *Node) isHeardSince(at time.Duration) bool {
	return time.Duration(n.contact.heardAt.Load()) >= at
}

// knowsVersions reports whether this node, as the leader or its deputy, knows all versions that have begun streams. Another node reports one
// before it begins a stream of it, or waits for recordTimeout without an acknowledgement. So this node must have had a call or a reply of another one, or
// have begun to read the list of servers, within that time; after a pause, calls that were sent before it are read first. A node that has read
// the list later than leaderTimeout after its last contact is alone rather than cut off.
func (n *Node) knowsVersions() bool {
	now, since := clock.SinceBoot(), n.runningSince()
	readAt, heardAt := n.follower.ServersReadAt(), time.Duration(n.contact.heardAt.Load())
	hasRead := readAt > since && now-readAt <= recordTimeout
	hasHeard := now-heardAt <= recordTimeout && (since == 0 || heardAt-since > recordTimeout)
	isAlone := readAt > since && readAt-heardAt > n.leaderTimeout() && n.isCopyFresh()
	return hasRead || hasHeard || isAlone
}

// isListConfirmed reports whether this node's list of servers has all versions that had begun streams by a boot time: the store, or a leader, from
// which each node gets what any of them has read, has confirmed it in a call that began later, and after the last pause of this node.
func (n *Node) isListConfirmed(by time.Duration) bool {
	at := max(n.follower.ServersReadAt(), time.Duration(n.confirmedAt.Load()))
	return n.placer.LeaseObserved() && at >= by && at > n.runningSince()
}
