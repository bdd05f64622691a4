package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"guavapaddle/core/member"
)

const (
	tick  = 100 * time.Millisecond
	delay = time.Millisecond
)

// network delivers messages between states and can lose some of them.
type network struct {
	now       time.Time
	rng       *rand.Rand
	states    map[string]*member.State // by address
	addresses []string                 // in order of start
	down      map[string]bool          // by address
	loss      float64
	cut       func(from, to string) bool // may be nil
	queue     []member.Envelope
	count     int                     // number of messages
	onSend    func(m member.Envelope) // called for each message; may be nil
}

func newNetwork(n int, seed uint64) *network {
	w := &network{
		now:    time.Unix(1000, 0),
		rng:    rand.New(rand.NewPCG(seed, 1)),
		states: map[string]*member.State{},
		down:   map[string]bool{},
	}
	for i := range n {
		w.start(i, 1)
	}
	return w
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:7000", i) }

func name(i int) string { return fmt.Sprintf("n%d", i) }

// start starts node i with nodes 0 and 1 as its seeds.
func (w *network) start(i int, incarnation uint64) {
	self := member.Node{Name: name(i), Address: address(i), Incarnation: incarnation}
	s := member.New(self, member.Settings{}, rand.New(rand.NewPCG(uint64(i), incarnation)))
	if w.states[address(i)] == nil {
		w.addresses = append(w.addresses, address(i))
	}
	w.states[address(i)] = s
	delete(w.down, address(i))
	w.queue = append(w.queue, s.Join(w.now, []string{address(0), address(1)})...)
}

// run advances time by d and delivers the messages.
func (w *network) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(tick) {
		for _, a := range w.addresses {
			if !w.down[a] {
				w.queue = append(w.queue, w.states[a].Tick(w.now)...)
			}
		}
		for len(w.queue) > 0 {
			m := w.queue[0]
			w.queue = w.queue[1:]
			to := w.states[m.Address]
			w.count++
			if w.onSend != nil {
				w.onSend(m)
			}
			if to == nil || w.down[m.Address] || w.rng.Float64() < w.loss ||
				w.cut != nil && w.cut(m.Message.From.Address, m.Address) {
				continue
			}
			w.queue = append(w.queue, to.Receive(w.now.Add(delay), m.Message)...)
		}
	}
}

// all reports whether a condition holds for every running state.
func (w *network) all(holds func(s *member.State) bool) bool {
	for _, a := range w.addresses {
		if !w.down[a] && !holds(w.states[a]) {
			return false
		}
	}
	return true
}

func TestJoin(t *testing.T) {
	for _, n := range []int{2, 8, 64} {
		t.Run(fmt.Sprintf("%d nodes", n), func(t *testing.T) {
			w := newNetwork(n, 1)
			w.run(15 * time.Second)
			require.True(t, w.all(func(s *member.State) bool { return len(s.Live()) == n }))
		})
	}
}

func TestDeadNodeIsDetected(t *testing.T) {
	for _, n := range []int{8, 64} {
		t.Run(fmt.Sprintf("%d nodes", n), func(t *testing.T) {
			w := newNetwork(n, 2)
			w.run(15 * time.Second)
			w.down[address(5)] = true
			w.run(12 * time.Second)
			require.True(t, w.all(func(s *member.State) bool { return len(s.Live()) == n-1 }))
			w.start(5, 2)
			w.run(15 * time.Second)
			require.True(t, w.all(func(s *member.State) bool { return len(s.Live()) == n }))
		})
	}
}

// TestNeighboursAreFew checks that a node probes and pushes to few others and that every node is
// probed, regardless of the number of nodes.
func TestNeighboursAreFew(t *testing.T) {
	w := newNetwork(100, 7)
	w.run(time.Minute)
	peers, probed := map[string]map[string]bool{}, map[string]bool{}
	w.onSend = func(m member.Envelope) {
		from := m.Message.From.Address
		if m.Message.Type != member.Ping && m.Message.Type != member.Gossip {
			return
		}
		if peers[from] == nil {
			peers[from] = map[string]bool{}
		}
		peers[from][m.Address] = true
		probed[m.Address] = probed[m.Address] || m.Message.Type == member.Ping
	}
	for i := range 30 {
		w.states[address(i)].Put(member.Entry{Key: fmt.Sprint("k", i), Major: 1})
		w.run(time.Second)
	}
	require.Len(t, probed, 100)
	for from, to := range peers {
		require.LessOrEqual(t, len(to), 12, from) // 8 neighbours, and the replies to the few syncs
		require.GreaterOrEqual(t, len(to), 6, from)
	}
}

// TestInvariantLeavingSpreads checks that an entry of one node reaches all others in less than
// three seconds, with 8 nodes and with 350, while one message in ten is lost.
func TestInvariantLeavingSpreads(t *testing.T) {
	for _, n := range []int{8, 350} {
		t.Run(fmt.Sprintf("%d nodes", n), func(t *testing.T) {
			w := newNetwork(n, 3)
			w.run(30 * time.Second)
			require.True(t, w.all(func(s *member.State) bool { return len(s.Live()) == n }))
			w.loss = 0.1
			w.states[address(n-1)].Put(member.Entry{Key: "server/gpu-1", Major: 7, Minor: 1, Value: []byte("leaving")})
			w.run(3 * time.Second)
			require.True(t, w.all(func(s *member.State) bool { return len(s.Entries("server/")) == 1 }))
		})
	}
}

// TestEntryIsNeverReplacedByOlderOne checks the entries that each node holds through message loss,
// crashes and restarts of nodes.
func TestEntryIsNeverReplacedByOlderOne(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := newNetwork(5, rapid.Uint64().Draw(r, "seed"))
		w.loss = rapid.Float64Range(0, 0.5).Draw(r, "loss")
		seen := map[string]uint64{}
		version := uint64(0)
		for range rapid.IntRange(5, 20).Draw(r, "steps") {
			at := address(rapid.IntRange(0, 4).Draw(r, "node"))
			switch rapid.IntRange(0, 3).Draw(r, "action") {
			case 0:
				version++
				w.states[at].Put(member.Entry{Key: "k", Major: version, Value: []byte{1}})
			case 1:
				w.down[at] = true
			case 2:
				delete(w.down, at)
			}
			w.run(time.Duration(rapid.IntRange(1, 20).Draw(r, "ticks")) * tick)
			for _, a := range w.addresses {
				for _, e := range w.states[a].Entries("k") {
					require.GreaterOrEqual(r, e.Major, seen[a])
					seen[a] = e.Major
				}
			}
		}
		w.loss = 0
		clear(w.down)
		w.run(40 * time.Second)
		if version > 0 {
			require.True(r, w.all(func(s *member.State) bool {
				e := s.Entries("k")
				return len(e) == 1 && e[0].Major == version
			}), "all nodes eventually have the last version")
		}
	})
}

// TestRefute checks that a node which was silent and has returned counts as live.
func TestRefute(t *testing.T) {
	w := newNetwork(8, 4)
	w.run(12 * time.Second)
	w.down[address(3)] = true
	w.run(4 * time.Second)
	delete(w.down, address(3))
	w.run(30 * time.Second)
	require.True(t, w.all(func(s *member.State) bool { return len(s.Live()) == 8 }))
}

// TestPartitionHeals checks that the sides of a network partition merge again after they have
// forgotten each other.
func TestPartitionHeals(t *testing.T) {
	w := newNetwork(8, 6)
	w.run(12 * time.Second)
	half := func(a string) bool { return a < address(4) }
	w.cut = func(from, to string) bool { return half(from) != half(to) }
	w.run(3 * time.Minute)
	require.True(t, w.all(func(s *member.State) bool { return len(s.Nodes()) == 4 }), "the sides have forgotten each other")
	w.cut = nil
	w.run(time.Minute)
	require.True(t, w.all(func(s *member.State) bool { return len(s.Live()) == 8 }))
}

// BenchmarkSecond measures the cost of one second for a node, by the number of nodes.
func BenchmarkSecond(b *testing.B) {
	for _, n := range []int{8, 50, 100, 200, 350} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := newNetwork(n, 5)
			w.run(2 * time.Minute) // until the initial distribution of records is over
			w.count = 0
			b.ResetTimer()
			for range b.N {
				w.run(time.Second)
			}
			b.ReportMetric(float64(w.count)/float64(b.N)/float64(n), "messages/node")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/node")
		})
	}
}

// TestLateNodeIsReported checks that a node whose answer to a probe is late is reported exactly
// once, so that the connection to it is renewed.
func TestLateNodeIsReported(t *testing.T) {
	w := newNetwork(3, 1)
	w.run(20 * time.Second)
	require.Empty(t, w.states[address(0)].LateAnswerers())
	w.down[address(1)] = true
	w.run(20 * time.Second)
	require.Contains(t, w.states[address(0)].LateAnswerers(), address(1))
	require.NotContains(t, w.states[address(0)].LateAnswerers(), address(1))
}
