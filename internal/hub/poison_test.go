package hub_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/poison"
	"guavapaddle/internal/hub"
)

// relayedFleet is a leader, relays, and the nodes that report to each of them, with the intervals of a large fleet.
type relayedFleet struct {
	leader  *hub.Hub
	relays  []*hub.Hub
	acks    []hub.Ack         // of the relays
	crashes [][]poison.Crash  // not yet reported, by node
	sounds  [][]poison.Sound  // likewise
	blocks  [][]poison.Block  // by node
	since   map[int]time.Time // by node, when it first had a block
}

const (
	fleetRelays, relayNodes = 31, 31
	fleetInterval           = 400 * time.Millisecond
	// blockTime is how long after the fifth crash all nodes have to refuse the part that caused the crashes.
	blockTime = 3 * time.Second
)

func newRelayedFleet() *relayedFleet {
	f := &relayedFleet{leader: &hub.Hub{Self: "leader"}, since: map[int]time.Time{}}
	for range fleetRelays {
		f.relays = append(f.relays, &hub.Hub{})
	}
	n := fleetRelays * relayNodes
	f.acks, f.crashes, f.sounds = make([]hub.Ack, fleetRelays), make([][]poison.Crash, n), make([][]poison.Sound, n)
	f.blocks = make([][]poison.Block, n)
	return f
}

// report lets each node report to its relay if it is due at a time, which is counted in tenths of the interval, and then each relay.
func (f *relayedFleet) report(now time.Time, tenth int) {
	for i := range f.crashes {
		if i%10 != tenth%10 {
			continue
		}
		r := hub.Report{Node: fmt.Sprint("n", i), Crashes: f.crashes[i], Sounds: f.sounds[i], Blocks: f.blocks[i]}
		f.crashes[i], f.sounds[i] = nil, nil
		reply := f.relays[i/relayNodes].MergeAsRelay(now, r)
		f.blocks[i] = reply.Blocks
		if _, ok := f.since[i]; !ok && len(reply.Blocks) > 0 {
			f.since[i] = now
		}
	}
	for i, h := range f.relays {
		if (i+5)%10 != tenth%10 {
			continue
		}
		reply := f.leader.Merge(now, h.WithNodes(now, hub.Report{Node: fmt.Sprint("relay", i), Heard: f.acks[i]}))
		f.acks[i] = reply.Heard
		h.ApplyAsRelay(now, nil, reply)
	}
}

// TestBlockReachesAllNodesOfLargeFleetInTime plays a fleet of 961 nodes and 31 relays, each of which reports every 0.4 s, with the end of
// the leader some time after the third crash.
func TestBlockReachesAllNodesOfLargeFleetInTime(t *testing.T) {
	t.Parallel()
	for _, leaderEnds := range []bool{false, true} {
		t.Run(fmt.Sprint("leader ends ", leaderEnds), func(t *testing.T) {
			t.Parallel()
			f := newRelayedFleet()
			now := time.Unix(1000, 0)
			last := now
			for tenth := range 200 {
				now = now.Add(fleetInterval / 10)
				if tenth%18 == 0 && tenth < 90 {
					c := poison.Crash{Server: fmt.Sprint("i-", tenth), Service: "s"}
					for k := range 40 { // one node had the request, others sound ones beside it
						c.ID = uint64(1000*tenth + k + 1)
						c.Requests = []poison.Request{{Parts: []poison.Part{"a", "b"}, Before: 300 * time.Millisecond}}
						if k == 0 {
							c.Requests = append(c.Requests, poison.Request{Parts: []poison.Part{"a", "dead"}, Before: 100 * time.Millisecond})
						}
						node := (tenth*7 + k*23) % len(f.crashes)
						f.crashes[node] = append(f.crashes[node], c)
						f.sounds[node] = append(f.sounds[node], poison.Sound{Service: "s", Part: "a", Age: time.Second}, poison.Sound{Service: "s", Part: "b", Age: time.Second})
					}
					last = now
				}
				if leaderEnds && tenth == 54 {
					f.leader = &hub.Hub{Self: "next"}
				}
				f.report(now, tenth)
			}
			require.Len(t, f.since, fleetRelays*relayNodes)
			for i, at := range f.since {
				require.LessOrEqual(t, at.Sub(last), blockTime, "node %d", i)
				require.Len(t, f.blocks[i], 1)
				require.Contains(t, f.blocks[i][0].Parts, poison.Part("dead"))
			}
		})
	}
}

// TestCrashesOutlastLeaderAndNodes guards against crashes that are forgotten when the leader ends and all nodes that observed them have been
// replaced: its deputy has them, and the lease.
func TestCrashesOutlastLeaderAndNodes(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	bad := poison.CopyOf(7)
	crash := func(i int) poison.Crash {
		return poison.Crash{ID: uint64(i), Server: fmt.Sprint("i-", i), Service: "s", Requests: []poison.Request{{Parts: []poison.Part{bad}, Before: 100 * time.Millisecond}}}
	}
	leader := &hub.Hub{Self: "leader"}
	var deputy poison.Log
	report := func(node string, r hub.Report) hub.ReportReply {
		r.Node = node
		return leader.Merge(now, r)
	}
	var ack hub.ReportReply
	for i := range 8 { // the fourth report loses its reply
		now = now.Add(time.Second)
		if i < 2 {
			report("n", hub.Report{Contact: time.Hour, Crashes: []poison.Crash{crash(i)}})
		}
		reply := report("deputy", hub.Report{Heard: ack.Heard, KnownCrashes: ack.KnownCrashes})
		if i == 3 {
			continue
		}
		ack = reply
		for _, c := range reply.Crashes {
			deputy.AddFrom(now, c, reply.Heard.Hub)
		}
	}
	require.True(t, ack.Deputy)
	require.Len(t, report("deputy", hub.Report{Heard: ack.Heard, KnownCrashes: ack.KnownCrashes}).Crashes, 0, "sent once")
	evidence := leader.Evidence(now)
	require.Len(t, evidence, 2)
	for name, pass := range map[string]func(next *hub.Hub){
		"deputy": func(next *hub.Hub) { next.Merge(now, hub.Report{Node: "deputy", Crashes: deputy.Unsent(now)}) },
		"lease":  func(next *hub.Hub) { next.AddEvidence(now, evidence) },
	} {
		t.Run(name, func(t *testing.T) {
			next := &hub.Hub{Self: "next"}
			pass(next)
			next.Merge(now, hub.Report{Node: "late", Crashes: []poison.Crash{crash(2)}})
			next.Merge(now.Add(2*time.Second), hub.Report{Node: "late"})
			blocks := next.Merge(now.Add(2500*time.Millisecond), hub.Report{Node: "other"}).Blocks
			require.Len(t, blocks, 1)
			require.Equal(t, []poison.Part{bad}, blocks[0].Parts)
		})
	}
}

// TestCopiesAreRefusedByAllNodesOfLargeFleetInTime plays a fleet of 961 nodes and 31 relays, at each of which a copy of a request that
// crashes servers comes only once, and which are replaced with their relay while the leader is.
func TestCopiesAreRefusedByAllNodesOfLargeFleetInTime(t *testing.T) {
	t.Parallel()
	const after = 3 // of the crashes, as many as may come later than blockTime after the third
	bad := poison.CopyOf(7)
	for _, replaced := range []bool{false, true} {
		t.Run(fmt.Sprint("replaced ", replaced), func(t *testing.T) {
			t.Parallel()
			f := newRelayedFleet()
			now := time.Unix(1000, 0)
			var crashes []time.Time
			for tenth := range 2000 {
				now = now.Add(fleetInterval / 10)
				if node := (tenth * 7) % len(f.crashes); tenth%20 == 0 && !refuses(f.blocks[node], bad) {
					crashes = append(crashes, now)
					f.crashes[node] = append(f.crashes[node], poison.Crash{ID: uint64(tenth + 1), Server: fmt.Sprint("i-", tenth), Service: "s",
						Requests: []poison.Request{{Parts: []poison.Part{"a", bad}, Before: 100 * time.Millisecond}, {Parts: []poison.Part{"a", poison.CopyOf(uint64(1000 + tenth))}, Before: 100 * time.Millisecond}}})
				}
				if replaced && tenth > 200 && tenth%50 == 0 {
					f.replaceRelay(tenth / 50 % fleetRelays)
				}
				if replaced && tenth > 200 && tenth%300 == 0 {
					next := &hub.Hub{Self: fmt.Sprint("leader ", tenth)}
					next.SetBlocks(now, f.leader.Blocks(now))
					next.AddEvidence(now, f.leader.Evidence(now))
					f.leader = next
				}
				f.report(now, tenth)
			}
			late := 0
			for _, at := range crashes {
				if at.Sub(crashes[2]) > blockTime {
					late++
				}
			}
			require.LessOrEqual(t, late, after)
			for i, list := range f.blocks {
				require.True(t, refuses(list, bad), "node %d", i)
			}
		})
	}
}

// refuses reports whether a block refuses requests with a part.
func refuses(blocks []poison.Block, p poison.Part) bool {
	_, ok := poison.FindMatch(blocks, "s", []poison.Part{"a", p})
	return ok
}

// replaceRelay replaces a relay and the nodes that report to it.
func (f *relayedFleet) replaceRelay(i int) {
	f.relays[i], f.acks[i] = &hub.Hub{}, hub.Ack{}
	for node := i * relayNodes; node < (i+1)*relayNodes; node++ {
		f.blocks[node], f.crashes[node], f.sounds[node] = nil, nil, nil
	}
}
