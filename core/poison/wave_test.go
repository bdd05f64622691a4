package poison_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"guavapaddle/core/poison"
)

// wave returns the reports of the nodes of a fleet when half of 94 servers end together under full load: each server had 16 requests in
// flight, each of another node. Requests are those of sessions, whose parts repeat.
func wave(r *rand.Rand, n int) []poison.Crash {
	var out []poison.Crash
	for s := range 47 {
		for range 16 {
			session := r.IntN(400)
			out = append(out, poison.Crash{ID: r.Uint64(), Server: fmt.Sprint("i-", n, "-", s), Service: service, Requests: []poison.Request{
				request(time.Duration(r.IntN(1500))*ms, poison.Part(fmt.Sprint("a", session%2)), poison.Part(fmt.Sprint("b", session)), poison.CopyOf(r.Uint64()))}})
		}
	}
	r.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// BenchmarkWaveOfCrashes measures what the leader spends on the reports of a wave, after earlier ones.
func BenchmarkWaveOfCrashes(b *testing.B) {
	for _, earlier := range []int{0, 1, 4} {
		b.Run(fmt.Sprint(earlier, " earlier"), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				r := rand.New(rand.NewPCG(1, 1))
				var p play
				add := func(n int) {
					at := start.Add(time.Duration(n) * 10 * second)
					for i, c := range wave(r, n) {
						p.Add(at.Add(time.Duration(i)*ms), c)
						if i%50 == 0 {
							p.Blocks(at.Add(time.Duration(i) * ms))
						}
					}
				}
				for n := range earlier {
					add(n)
				}
				b.StartTimer()
				add(earlier)
			}
		})
	}
}
