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
