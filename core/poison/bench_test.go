package poison_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"guavapaddle/core/poison"
)

// wave returns the reports of the nodes of a fleet when servers end together under full load, each with requests of as many
// nodes in flight. The requests are those of sessions, whose parts repeat.
func wave(r *rand.Rand, n, servers, requests int) []poison.Crash {
	var out []poison.Crash
	for s := range servers {
		for range requests {
			session := r.IntN(4 * servers)
			out = append(out, poison.Crash{ID: r.Uint64(), Server: fmt.Sprint("i-", n, "-", s), Service: service, Requests: []poison.Request{
				request(time.Duration(r.IntN(1500))*ms, poison.Part(fmt.Sprint("a", session%2)), poison.Part(fmt.Sprint("b", session)), poison.CopyOf(r.Uint64()))}})
		}
	}
	r.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// fleets are the servers that end together, half of those of the fleet, and the requests in flight at each.
var fleets = map[string]struct{ servers, requests int }{
	"65 nodes":  {47, 16},
	"985 nodes": {2000, 16},
}

// BenchmarkWaveOfCrashes measures what the leader spends on the reports of a wave, after an earlier one, with all decisions that they lead to.
func BenchmarkWaveOfCrashes(b *testing.B) {
	for name, x := range fleets {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				r := rand.New(rand.NewPCG(1, 1))
				var p play
				add := func(n int) {
					at := start.Add(time.Duration(n) * time.Minute)
					list := wave(r, n, x.servers, x.requests)
					b.StartTimer()
					for i, c := range list {
						now := at.Add(time.Duration(i) * 2 * second / time.Duration(len(list)))
						p.Add(now, c)
						if i%20 == 0 {
							p.Blocks(now)
						}
					}
					b.StopTimer()
				}
				for n := range 2 {
					add(n)
				}
				b.StartTimer()
			}
		})
	}
}

// BenchmarkDecision measures a decision of the leader with as many crashes as it keeps, and a look at the blocks in force while sound
// responses to what was in flight go on.
func BenchmarkDecision(b *testing.B) {
	for name, x := range fleets {
		r := rand.New(rand.NewPCG(1, 1))
		var p play
		list := wave(r, 0, x.servers, x.requests)
		for _, c := range list {
			p.Add(start, c)
		}
		b.Run("changed "+name, func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				at := start.Add(time.Duration(i) * 200 * ms)
				p.Add(at, poison.Crash{ID: r.Uint64(), Server: "i-0-0", Service: service, Requests: []poison.Request{request(10*ms, "a0")}})
				p.Blocks(at)
			}
		})
		b.Run("unchanged "+name, func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				at := time.Hour/2 + time.Duration(i)*200*ms
				p.sound(at, "a0", "a1", "b1")
				p.Blocks(start.Add(at))
			}
		})
	}
}
