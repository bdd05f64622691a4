package configsync_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"guavapaddle/core/config"
	"guavapaddle/core/config/head"
	"guavapaddle/internal/configsync"
)

var errPeerDown = errors.New("peer is down")

type (
	// member is a node with a follower and an adjustable clock.
	member struct {
		*configsync.Follower
		mu          sync.Mutex
		versions    []uint64 // versions put in force, in order
		offset      time.Duration
		unreachable bool // peers can't reach the node
		stop        context.CancelFunc
	}

	// peerLink implements configsync.Peer for a member.
	peerLink struct{ m *member }
)

func (l peerLink) FetchConfig(_ context.Context, hash string) ([]byte, error) {
	if l.m.isUnreachable() {
		return nil, errPeerDown
	}
	body, ok := l.m.PackedBody(hash)
	if !ok {
		return nil, errPeerDown
	}
	return body, nil
}

func (l peerLink) ConfigHead(context.Context) (head.Ref, bool, error) {
	if l.m.isUnreachable() {
		return head.Ref{}, false, errPeerDown
	}
	ref, fresh := l.m.Head()
	return ref, fresh, nil
}

func (m *member) isUnreachable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unreachable
}

func (m *member) setUnreachable(unreachable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unreachable = unreachable
}

// pause simulates a pause of the member's process of length d.
func (m *member) pause(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.offset += d
}

func (m *member) adopted() []uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]uint64{}, m.versions...)
}

// start runs a member with the given peers, which are all other nodes.
func start(t *testing.T, p *platform, peers ...*member) *member {
	return startOf(t, p, len(peers)+1, peers...)
}

// startOf runs a member with the given peers in a deployment of the given number of nodes.
func startOf(t *testing.T, p *platform, nodes int, peers ...*member) *member {
	m := &member{}
	m.Follower = &configsync.Follower{
		Table: p,
		Store: p,
		Peers: func() []configsync.Peer {
			var list []configsync.Peer
			for _, o := range peers {
				list = append(list, peerLink{m: o})
			}
			return list
		},
		Nodes: func() int { return nodes },
		Now: func() time.Time {
			m.mu.Lock()
			defer m.mu.Unlock()
			return time.Now().Add(m.offset)
		},
		OnChange: func(x *config.Index) {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.versions = append(m.versions, x.Version())
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	m.stop = cancel
	go func() { _ = m.Run(ctx) }()
	return m
}

// advance lets d of the bubble's fake time pass.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func TestFollowerPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		m := start(t, p)
		advance(time.Second)
		require.False(t, m.Fresh(), "there is no configuration yet")
		p.apply(t, 1)
		advance(3 * time.Second)
		require.True(t, m.Fresh())
		require.Equal(t, uint64(1), m.Index().Version())
		p.apply(t, 2)
		p.apply(t, 3)
		advance(3 * time.Second)
		require.Equal(t, []uint64{1, 3}, m.adopted())
		body, ok := m.Body(m.InForce().Hash)
		require.True(t, ok)
		require.Equal(t, m.InForce().Hash, config.HashBytes(body))
		require.Equal(t, 1, countVersions(m.adopted(), 3), "each version is put in force once")
	})
}

// TestVersionIsLoggedBeforeItIsReported guards against a node that reports a version in
// its status before its log contains the version.
func TestVersionIsLoggedBeforeItIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		var atLine []uint64 // the version that the node reports at each log line
		m := &member{}
		m.Follower = &configsync.Follower{Table: p, Store: p}
		core, lines := observer.New(zap.InfoLevel)
		m.Log = zap.New(core, zap.Hooks(func(e zapcore.Entry) error {
			if e.Message == "config-in-force" {
				atLine = append(atLine, m.InForce().Version)
			}
			return nil
		}))
		go func() { _ = m.Run(t.Context()) }()
		p.apply(t, 1)
		advance(3 * time.Second)
		p.apply(t, 2)
		advance(3 * time.Second)
		require.Equal(t, uint64(2), m.InForce().Version)
		require.Equal(t, 2, lines.FilterMessage("config-in-force").Len())
		require.Equal(t, []uint64{0, 1}, atLine)
	})
}

func countVersions(versions []uint64, v uint64) int {
	n := 0
	for _, x := range versions {
		if x == v {
			n++
		}
	}
	return n
}

func TestHintIsFetchedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		p.apply(t, 1)
		m := start(t, p)
		advance(time.Second)
		ref := p.apply(t, 2)
		reads := p.reads
		m.AddHint(ref.Version, ref.Hash)
		advance(time.Millisecond)
		require.Equal(t, ref, m.InForce())
		require.Equal(t, reads, p.reads, "the table is not read")
		m.AddHint(1, "an old hash")
		advance(time.Millisecond)
		require.Equal(t, ref, m.InForce())
	})
}

func TestBodyIsFetchedFromPeersWhenStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		p.apply(t, 1)
		first := start(t, p)
		second := start(t, p, first)
		advance(time.Second)
		ref := p.apply(t, 2)
		second.setUnreachable(true)
		first.AddHint(ref.Version, ref.Hash)
		advance(time.Millisecond)
		p.set(func() { p.down = true })
		second.AddHint(ref.Version, ref.Hash)
		advance(time.Millisecond)
		require.Equal(t, ref, second.InForce())
	})
}

func TestWrongBodyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		p.apply(t, 1)
		m := start(t, p)
		advance(time.Second)
		ref := p.apply(t, 2)
		other := p.objects[configsync.BodyKey(document(1).Hash())]
		good := p.objects[configsync.BodyKey(ref.Hash)]
		p.set(func() { p.objects[configsync.BodyKey(ref.Hash)] = other })
		advance(10 * time.Second)
		require.Equal(t, []uint64{1}, m.adopted())
		p.set(func() { p.objects[configsync.BodyKey(ref.Hash)] = []byte("not packed") })
		advance(20 * time.Second)
		require.Equal(t, []uint64{1}, m.adopted())
		require.True(t, m.Fresh(), "the node keeps serving with its version")
		p.set(func() { p.objects[configsync.BodyKey(ref.Hash)] = good })
		advance(20 * time.Second)
		require.Equal(t, []uint64{1, 2}, m.adopted())
	})
}

// TestInvariantRestartInOutage guards against a node that starts while the platform
// is down and doesn't adopt the highest version of its peers.
func TestInvariantRestartInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		p.apply(t, 1)
		behind := start(t, p)
		advance(time.Second)
		behind.stop()
		p.apply(t, 2)
		ahead := start(t, p)
		advance(time.Second)
		p.set(func() { p.down = true })
		fresh := start(t, p, behind, ahead)
		advance(time.Second)
		require.Equal(t, ahead.InForce(), fresh.InForce())
		require.True(t, fresh.Fresh())
		require.Equal(t, uint64(2), fresh.adopted()[len(fresh.adopted())-1])

		standalone := start(t, p)
		advance(time.Minute)
		require.False(t, standalone.Fresh(), "a node without peers can't learn a version")
	})
}

// TestInvariantPausedNodeReadsAgain guards against a node that admits requests after a
// pause of its process before it has read the head again. A read that began before the
// pause and a hint must not count.
func TestInvariantPausedNodeReadsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		p.apply(t, 1)
		m := start(t, p)
		advance(time.Second)
		require.True(t, m.Fresh())

		readsBlocked := make(chan struct{})
		p.set(func() { p.readsBlocked = readsBlocked })
		advance(3 * time.Second) // a read begins before the pause
		ref := p.applyWhileReadsBlock(t, 2)
		m.pause(time.Minute)
		require.False(t, m.Fresh(), "the first call after the pause detects it")
		m.AddHint(1, p.accepted()[0].Hash)
		require.False(t, m.Fresh(), "a hint is no confirmation")
		p.set(func() { p.readsBlocked = nil })
		close(readsBlocked)
		advance(time.Second)
		require.Equal(t, ref, m.InForce())
		require.True(t, m.Fresh())
	})
}

func TestPausedInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		p.apply(t, 1)
		peer := start(t, p)
		dead := &member{unreachable: true}
		m := start(t, p, peer, dead)
		advance(time.Second)
		p.set(func() { p.down = true })
		advance(30 * time.Second)
		m.pause(time.Minute)
		require.False(t, m.Fresh())
		advance(time.Second)
		require.True(t, m.Fresh(), "a fresh peer replied")

		peer.pause(time.Minute)
		m.pause(time.Minute)
		require.False(t, m.Fresh())
		advance(configsync.DefaultAssumeAfter - time.Second)
		require.False(t, m.Fresh(), "no fresh peer replies, and not all peers reply")
		advance(2 * time.Second)
		require.True(t, m.Fresh(), "no fresh peer replied for AssumeAfter")
	})
}

func TestAllPausedInOutageAssumeNewest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		p.apply(t, 1)
		a := start(t, p)
		b := start(t, p, a)
		advance(time.Second)
		p.set(func() { p.down = true })
		advance(30 * time.Second)
		a.pause(time.Minute)
		b.pause(time.Minute)
		require.False(t, a.Fresh())
		require.False(t, b.Fresh())
		advance(time.Second)
		require.True(t, b.Fresh(), "all peers replied and none is fresh")
	})
}

// TestOutageCausesNoReadBurst guards against bursts of reads during and after an outage
// of the platform, by the reads of 350 nodes.
func TestOutageCausesNoReadBurst(t *testing.T) {
	const nodes, window = 350, 40 * time.Second
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		p.apply(t, 1)
		members := make([]*member, nodes)
		for i := range members {
			members[i] = startOf(t, p, nodes)
		}
		advance(20 * time.Second)
		steady := readsIn(p, window)
		p.set(func() { p.down = true })
		advance(time.Minute)
		outage := readsIn(p, window)
		p.set(func() { p.down = false })
		p.apply(t, 2)
		peak := 0
		for range 20 {
			peak = max(peak, readsIn(p, time.Second))
		}
		advance(5 * time.Second)
		for _, m := range members {
			require.Equal(t, uint64(2), m.InForce().Version)
		}
		t.Logf("reads of %d nodes: steady %.1f/s, in the outage %.1f/s, after it at most %d in a second",
			nodes, float64(steady)/window.Seconds(), float64(outage)/window.Seconds(), peak)
		require.Less(t, float64(steady)/window.Seconds(), 1.25*configsync.DefaultMaxReads)
		require.Less(t, float64(outage)/window.Seconds(), 100.0)
		require.Less(t, peak, 150)
	})
}

// readsIn returns the number of reads of the table in the next d.
func readsIn(p *platform, d time.Duration) int {
	before := 0
	p.set(func() { before = p.reads })
	advance(d)
	n := 0
	p.set(func() { n = p.reads - before })
	return n
}
