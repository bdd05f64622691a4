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
	// member is a node with its follower and a clock that can jump.
	member struct {
		*configsync.Follower
		mu       sync.Mutex
		versions []uint64 // in force, in order
		offset   time.Duration
		cut      bool // peers can't reach it
		stop     context.CancelFunc
	}

	// link is one member as the others reach it.
	link struct{ m *member }
)

func (l link) FetchConfig(_ context.Context, hash string) ([]byte, error) {
	if l.m.isCut() {
		return nil, errPeerDown
	}
	body, ok := l.m.Packed(hash)
	if !ok {
		return nil, errPeerDown
	}
	return body, nil
}

func (l link) ConfigHead(context.Context) (head.Ref, bool, error) {
	if l.m.isCut() {
		return head.Ref{}, false, errPeerDown
	}
	ref, fresh := l.m.Head()
	return ref, fresh, nil
}

func (m *member) isCut() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cut
}

func (m *member) setCut(cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = cut
}

// pause makes the member find that it did not run for d.
func (m *member) pause(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.offset += d
}

func (m *member) seen() []uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]uint64{}, m.versions...)
}

// start runs a member with the given peers.
func start(t *testing.T, p *platform, peers ...*member) *member {
	return startOf(t, p, len(peers)+1, peers...)
}

// startOf runs a member of a deployment of so many nodes.
func startOf(t *testing.T, p *platform, nodes int, peers ...*member) *member {
	m := &member{}
	m.Follower = &configsync.Follower{
		Table: p,
		Store: p,
		Peers: func() []configsync.Peer {
			var list []configsync.Peer
			for _, o := range peers {
				list = append(list, link{m: o})
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

// after lets d pass in the bubble.
func after(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func TestFollowerPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		m := start(t, p)
		after(time.Second)
		require.False(t, m.Fresh(), "there is no configuration yet")
		p.apply(t, 1)
		after(3 * time.Second)
		require.True(t, m.Fresh())
		require.Equal(t, uint64(1), m.Index().Version())
		p.apply(t, 2)
		p.apply(t, 3)
		after(3 * time.Second)
		require.Equal(t, []uint64{1, 3}, m.seen())
		body, ok := m.Body(m.InForce().Hash)
		require.True(t, ok)
		require.Equal(t, m.InForce().Hash, config.HashBytes(body))
		require.Equal(t, 1, countVersions(m.seen(), 3), "each version is put in force once")
	})
}

// TestVersionIsLoggedBeforeItIsReported guards against a node whose status has a
// version that its log doesn't have yet.
func TestVersionIsLoggedBeforeItIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		var atLine []uint64 // the version that the node reports when it logs one
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
		after(3 * time.Second)
		p.apply(t, 2)
		after(3 * time.Second)
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

func TestHintBringsVersionAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		p.apply(t, 1)
		m := start(t, p)
		after(time.Second)
		ref := p.apply(t, 2)
		reads := p.reads
		m.Hint(ref.Version, ref.Hash)
		after(time.Millisecond)
		require.Equal(t, ref, m.InForce())
		require.Equal(t, reads, p.reads, "the table was not asked")
		m.Hint(1, "an old hash")
		after(time.Millisecond)
		require.Equal(t, ref, m.InForce())
	})
}

func TestPeersGiveBodyWhenStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		p.apply(t, 1)
		first := start(t, p)
		second := start(t, p, first)
		after(time.Second)
		ref := p.apply(t, 2)
		second.setCut(true)
		first.Hint(ref.Version, ref.Hash)
		after(time.Millisecond)
		p.set(func() { p.down = true })
		second.Hint(ref.Version, ref.Hash)
		after(time.Millisecond)
		require.Equal(t, ref, second.InForce())
	})
}

func TestWrongBodyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		p.apply(t, 1)
		m := start(t, p)
		after(time.Second)
		ref := p.apply(t, 2)
		other := p.objects[configsync.BodyKey(document(1).Hash())]
		good := p.objects[configsync.BodyKey(ref.Hash)]
		p.set(func() { p.objects[configsync.BodyKey(ref.Hash)] = other })
		after(10 * time.Second)
		require.Equal(t, []uint64{1}, m.seen())
		p.set(func() { p.objects[configsync.BodyKey(ref.Hash)] = []byte("not packed") })
		after(20 * time.Second)
		require.Equal(t, []uint64{1}, m.seen())
		require.True(t, m.Fresh(), "it goes on under what it has")
		p.set(func() { p.objects[configsync.BodyKey(ref.Hash)] = good })
		after(20 * time.Second)
		require.Equal(t, []uint64{1, 2}, m.seen())
	})
}

// TestInvariantRestartInOutage shows that a node that starts while the
// platform is down takes the highest version from its peers.
func TestInvariantRestartInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		p.apply(t, 1)
		behind := start(t, p)
		after(time.Second)
		behind.stop()
		p.apply(t, 2)
		ahead := start(t, p)
		after(time.Second)
		p.set(func() { p.down = true })
		fresh := start(t, p, behind, ahead)
		after(time.Second)
		require.Equal(t, ahead.InForce(), fresh.InForce())
		require.True(t, fresh.Fresh())
		require.Equal(t, uint64(2), fresh.seen()[len(fresh.seen())-1])

		alone := start(t, p)
		after(time.Minute)
		require.False(t, alone.Fresh(), "nobody could tell it anything")
	})
}

// TestInvariantPausedNodeReadsAgain shows that a node doesn't admit after a
// pause until it was told the head again.
func TestInvariantPausedNodeReadsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		p.apply(t, 1)
		m := start(t, p)
		after(time.Second)
		require.True(t, m.Fresh())

		silence := make(chan struct{})
		p.set(func() { p.silence = silence })
		after(3 * time.Second) // a reading begins before the pause
		ref := p.applySilently(t, 2)
		m.pause(time.Minute)
		require.False(t, m.Fresh(), "the very first call after the pause is told")
		m.Hint(1, p.accepted()[0].Hash)
		require.False(t, m.Fresh(), "a hint confirms nothing")
		p.set(func() { p.silence = nil })
		close(silence)
		after(time.Second)
		require.Equal(t, ref, m.InForce())
		require.True(t, m.Fresh())
	})
}

func TestPausedInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		p.apply(t, 1)
		peer := start(t, p)
		dead := &member{cut: true}
		m := start(t, p, peer, dead)
		after(time.Second)
		p.set(func() { p.down = true })
		after(30 * time.Second)
		m.pause(time.Minute)
		require.False(t, m.Fresh())
		after(time.Second)
		require.True(t, m.Fresh(), "a fresh peer answered")

		peer.pause(time.Minute)
		m.pause(time.Minute)
		require.False(t, m.Fresh())
		after(configsync.DefaultTrustAfter - time.Second)
		require.False(t, m.Fresh(), "no fresh peer answers, and not all answer")
		after(2 * time.Second)
		require.True(t, m.Fresh(), "no fresh peer answered for long")
	})
}

func TestAllPausedInOutageTrustEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		p.apply(t, 1)
		a := start(t, p)
		b := start(t, p, a)
		after(time.Second)
		p.set(func() { p.down = true })
		after(30 * time.Second)
		a.pause(time.Minute)
		b.pause(time.Minute)
		require.False(t, a.Fresh())
		require.False(t, b.Fresh())
		after(time.Second)
		require.True(t, b.Fresh(), "all others answered and none is fresh")
	})
}

// TestOutageEndsWithoutStorm counts what 350 nodes ask of the platform.
func TestOutageEndsWithoutStorm(t *testing.T) {
	const nodes, window = 350, 40 * time.Second
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		p.apply(t, 1)
		members := make([]*member, nodes)
		for i := range members {
			members[i] = startOf(t, p, nodes)
		}
		after(20 * time.Second)
		steady := readsIn(p, window)
		p.set(func() { p.down = true })
		after(time.Minute)
		outage := readsIn(p, window)
		p.set(func() { p.down = false })
		p.apply(t, 2)
		peak := 0
		for range 20 {
			peak = max(peak, readsIn(p, time.Second))
		}
		after(5 * time.Second)
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

// readsIn returns the reads of the table in the next d.
func readsIn(p *platform, d time.Duration) int {
	before := 0
	p.set(func() { before = p.reads })
	after(d)
	n := 0
	p.set(func() { n = p.reads - before })
	return n
}
