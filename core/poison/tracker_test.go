package poison_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"guavapaddle/core/poison"
)

const service = "s"

var start = time.Unix(1000, 0)

// play feeds a tracker with crashes and sound responses in the order of time, as nodes would that report at once.
type play struct {
	poison.Tracker

	servers int
}

// request is a request in flight that was sent some time before the crash.
func request(before time.Duration, parts ...poison.Part) poison.Request {
	return poison.Request{Parts: parts, Before: before}
}

// crash adds the crash of one more server at a time after the start.
func (p *play) crash(at time.Duration, requests ...poison.Request) {
	p.servers++
	id := fmt.Sprint("i-", p.servers)
	p.Add(start.Add(at), poison.Crash{ID: uint64(p.servers), Server: id, Service: service, Requests: requests})
	p.Blocks(start.Add(at)) // the reply to the report
}

// sound adds a completed response that began at a time after the start.
func (p *play) sound(at time.Duration, parts ...poison.Part) {
	for _, x := range parts {
		p.AddSound(start.Add(at), poison.Sound{Service: service, Part: x})
	}
}

// blocked returns the parts of the blocks in force.
func (p *play) blocked(at time.Duration) [][]poison.Part {
	var out [][]poison.Part
	for _, b := range p.Blocks(start.Add(at)) {
		out = append(out, b.Parts)
	}
	return out
}

func parts(list ...poison.Part) []poison.Part { return list }

const (
	second = time.Second
	ms     = time.Millisecond
)

func TestPartOfAllCrashesIsBlocked(t *testing.T) {
	t.Parallel()
	for name, prompt := range map[string]func(i int) []poison.Part{
		"first":  func(i int) []poison.Part { return parts("dead", poison.Part(fmt.Sprint("b", i))) },
		"second": func(int) []poison.Part { return parts("a", "dead") },
		"third":  func(i int) []poison.Part { return parts("a", poison.Part(fmt.Sprint("b", i)), "dead") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var p play
			for i := range 3 {
				at := time.Duration(i) * 500 * ms
				p.sound(at-100*ms, "a", "b0", "b1")
				p.crash(at, request(50*ms, prompt(i)...), request(300*ms, "a", "b0"), request(400*ms, "a", "b1"))
				if i < 2 {
					require.Empty(t, p.blocked(at))
				}
			}
			require.Equal(t, [][]poison.Part{parts("dead")}, p.blocked(2500*ms))
			require.Equal(t, parts("dead"), p.Suspects(start.Add(2500 * ms))[:1])
		})
	}
}

func TestServersThatEndTogetherBlockNothing(t *testing.T) {
	t.Parallel()
	var p play
	for i := range 20 {
		p.crash(time.Duration(i)*20*ms, request(second, "a", "b0"), request(2*second, "a"))
	}
	require.Empty(t, p.blocked(10*second))
}

func TestPopularPartsAreNotBlockedWhenServersEndOneAfterTheOther(t *testing.T) {
	t.Parallel()
	var p play
	for i := range 20 {
		at := time.Duration(i) * second
		p.sound(at-500*ms, "a", "b0")
		p.crash(at, request(200*ms, "a", "b0"), request(200*ms, "a"))
		require.Empty(t, p.blocked(at))
	}
}

func TestPartThatIsInFlightBesideIsNotBlocked(t *testing.T) {
	t.Parallel()
	var p play
	for i := range 4 {
		requests := []poison.Request{request(50*ms, "a", "dead"), request(60*ms, "a", "rare"), request(60*ms, "a", "rare")}
		p.crash(time.Duration(i)*second, requests...)
	}
	require.Equal(t, [][]poison.Part{parts("a", "dead")}, p.blocked(5*second), "a and dead always came together")
	p.sound(6*second, "a")
	require.Equal(t, [][]poison.Part{parts("dead")}, p.blocked(6*second))
}

// TestWrongBlockIsReplaced checks that a part that was blocked as likely is let through again when a later crash
// shows another one to be the cause.
func TestWrongBlockIsReplaced(t *testing.T) {
	t.Parallel()
	var p play
	for i := range 3 {
		p.crash(time.Duration(i)*second, request(50*ms, "dead"), request(50*ms, "dead"), request(60*ms, "other"))
	}
	require.Equal(t, [][]poison.Part{parts("other")}, p.blocked(3*second), "fewer requests had it")
	p.crash(4*second, request(50*ms, "dead"))
	require.Equal(t, [][]poison.Part{parts("dead")}, p.blocked(4*second))
	p.Inherit(start.Add(5*second), []poison.Block{{Parts: parts("other"), Service: service, Crashes: 3, Age: 3 * second}})
	require.Equal(t, [][]poison.Part{parts("dead")}, p.blocked(5*second), "it doesn't come back from another node")
}

func TestTwoPartsAreBlocked(t *testing.T) {
	t.Parallel()
	var p play
	for i := range 6 {
		at := time.Duration(i) * second
		p.sound(at-100*ms, "a")
		p.crash(at, request(50*ms, "a", poison.Part(fmt.Sprint("dead", i%2))))
	}
	require.ElementsMatch(t, [][]poison.Part{parts("dead0"), parts("dead1")}, p.blocked(8*second))
}

func TestBlockIsLiftedBySoundResponse(t *testing.T) {
	t.Parallel()
	var p play
	for i := range 3 {
		p.crash(time.Duration(i)*second, request(50*ms, "x"))
	}
	require.NotEmpty(t, p.blocked(3*second))
	require.NotEmpty(t, p.blocked(23*time.Hour), "it outlasts the requests that it refuses")
	p.AddSound(start.Add(4*second), poison.Sound{Service: "another", Part: "x"})
	require.NotEmpty(t, p.blocked(4*second), "a server of another service may bear it")
	block := p.Blocks(start.Add(4 * second))
	require.Equal(t, 2*second, block[0].Age)
	p.sound(3*second, "x")
	require.Empty(t, p.blocked(4*second))
	p.Inherit(start.Add(4*second), block)
	require.Empty(t, p.blocked(4*second))
}

func TestSoundResponseBeforeTheCrashesClearsNothing(t *testing.T) {
	t.Parallel()
	var p play
	p.sound(-second, "x")
	for i := range 3 {
		p.crash(time.Duration(i)*second, request(50*ms, "x"))
	}
	require.Equal(t, [][]poison.Part{parts("x")}, p.blocked(4*second))
}

func TestBlocksOutlastTheNodeThatDecided(t *testing.T) {
	t.Parallel()
	var p, next play
	for i := range 3 {
		p.crash(time.Duration(i)*second, request(50*ms, "x"))
	}
	list := p.Blocks(start.Add(3 * second))
	next.Inherit(start.Add(5*second), list)
	next.Inherit(start.Add(5*second), list)
	require.Equal(t, [][]poison.Part{parts("x")}, next.blocked(5*second))
	for i := range 200 {
		next.crash(time.Duration(10+i)*second, request(50*ms, poison.Part(fmt.Sprint("b", i))))
	}
	require.Equal(t, [][]poison.Part{parts("x")}, next.blocked(300*second), "other crashes don't displace it")
}

// TestOrderOfReportsDoesNotMatter checks that nodes' observations lead to the same blocks in any order and if repeated.
func TestOrderOfReportsDoesNotMatter(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		var list []poison.Crash
		for i := range rapid.IntRange(3, 8).Draw(rt, "crashes") {
			for node := range rapid.IntRange(1, 3).Draw(rt, "nodes") {
				c := poison.Crash{ID: uint64(100*i + node), Server: fmt.Sprint("i-", i), Service: service, Age: time.Duration(10-i) * second}
				for range rapid.IntRange(0, 3).Draw(rt, "requests") {
					b := poison.Part(fmt.Sprint("b", rapid.IntRange(0, 5).Draw(rt, "part")))
					c.Requests = append(c.Requests, request(100*ms, "a", b))
				}
				if node == 0 {
					c.Requests = append(c.Requests, request(50*ms, "a", "dead"))
				}
				list = append(list, c)
			}
		}
		blocks := func(list []poison.Crash) []poison.Block {
			var tracker poison.Tracker
			for _, c := range list {
				tracker.Add(start, c)
			}
			tracker.Blocks(start)
			return tracker.Blocks(start.Add(3 * second))
		}
		want := blocks(list)
		require.Len(rt, want, 1)
		permuted := rapid.Permutation(list).Draw(rt, "order")
		require.Equal(rt, want, blocks(append(permuted, permuted[0])))
	})
}

// TestCulpritAmongManyRequestsIsFound plays servers with many requests in flight, of which one part crashes them, on many seeds.
func TestCulpritAmongManyRequestsIsFound(t *testing.T) {
	t.Parallel()
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 0))
		var p play
		at := time.Duration(0)
		for p.servers < 5 {
			at += time.Duration(300+r.IntN(900)) * ms
			var requests []poison.Request
			for range 5 + r.IntN(60) {
				b := poison.Part(fmt.Sprint("b", r.IntN(4)))
				if r.IntN(10) == 0 {
					b = poison.Part(fmt.Sprint("rare", r.IntN(100)))
				}
				requests = append(requests, request(time.Duration(r.IntN(1500))*ms, "a", b))
				if r.IntN(3) == 0 {
					p.sound(at-time.Duration(100+r.IntN(200))*ms, "a", b)
				}
			}
			requests = append(requests, request(time.Duration(50+r.IntN(200))*ms, "a", "dead"))
			p.crash(at, requests...)
		}
		for _, b := range p.blocked(at + second) {
			require.Equal(t, parts("dead"), b, "seed %d", seed)
		}
		require.Len(t, p.blocked(at+second), 1, "seed %d", seed)
	}
}

// TestPopularPartsAreNotBlockedAmidManyCrashes plays two parts that together crash servers faster than responses last, so that
// between two crashes none shows the popular parts to be sound.
func TestPopularPartsAreNotBlockedAmidManyCrashes(t *testing.T) {
	t.Parallel()
	var p play
	p.sound(-second, "a", "b0")
	for i := range 30 {
		at := time.Duration(i) * 100 * ms
		dead := poison.Part(fmt.Sprint("dead", i%2))
		if len(p.blocked(at)) == 0 {
			p.crash(at, request(20*ms, "a", dead), request(10*ms, "a", "b0"), request(30*ms, "a", "b0"))
		}
		p.sound(at-1300*ms, "a", "b0")
		for _, b := range p.blocked(at) {
			require.Subset(t, parts("a", "dead0", "dead1"), b)
			require.NotEqual(t, parts("a"), b)
		}
	}
	p.sound(3*second, "a")
	require.ElementsMatch(t, [][]poison.Part{parts("dead0"), parts("dead1")}, p.blocked(4*second))
}

// TestManySoundPartsAreForgottenWithoutCrashes checks that the sound responses to parts that were in flight at crashes outlast those to
// others.
func TestManySoundPartsAreForgottenWithoutCrashes(t *testing.T) {
	t.Parallel()
	var p play
	p.crash(0, request(50*ms, "x"))
	p.crash(second, request(50*ms, "x"))
	p.sound(1500*ms, "x")
	for i := range 10000 {
		p.sound(1600*ms, poison.Part(fmt.Sprint("b", i)))
	}
	p.crash(2*second, request(50*ms, "x"))
	require.Empty(t, p.blocked(10*second))
}

// TestSingleRequestsAreLetThroughAsTrials checks that a block which may be wrong is found out by few requests.
func TestSingleRequestsAreLetThroughAsTrials(t *testing.T) {
	t.Parallel()
	var p play
	admit := func(at time.Duration) string {
		_, blocked, trial := p.Admit(start.Add(at), service, parts("x", "y"))
		return map[[2]bool]string{{true, false}: "blocked", {false, true}: "trial", {false, false}: "free"}[[2]bool{blocked, trial}]
	}
	require.Equal(t, "free", admit(0))
	for i := range 3 {
		p.crash(time.Duration(i)*second, request(50*ms, "x"))
	}
	require.Len(t, p.blocked(3*second), 1)
	require.Equal(t, "blocked", admit(3*second))
	require.False(t, p.Blocks(start.Add(61 * second))[0].Trial)
	require.True(t, p.Blocks(start.Add(62 * second))[0].Trial)
	require.Equal(t, "trial", admit(62*second))
	require.Equal(t, "blocked", admit(62*second), "one at a time")
	p.crash(63*second, request(50*ms, "x"))
	require.Equal(t, "blocked", admit(5*time.Minute))
	require.Equal(t, 1, p.Blocks(start.Add(5 * time.Minute))[0].Trials)
	var next play
	next.Inherit(start.Add(5*time.Minute), p.Blocks(start.Add(5*time.Minute)))
	require.Equal(t, 1, next.Blocks(start.Add(6 * time.Minute))[0].Trials, "another leader counts on")
	require.Equal(t, "trial", admit(12*time.Minute))
	require.Equal(t, "blocked", admit(20*time.Hour), "there are no more")
	p.sound(12*time.Minute, "x")
	require.Equal(t, "free", admit(20*time.Hour))
}

func TestBlocksAreForgottenAfterRetention(t *testing.T) {
	t.Parallel()
	var p play
	for i := range 3 {
		p.crash(time.Duration(i)*second, request(50*ms, "x"))
	}
	old := p.Blocks(start.Add(23 * time.Hour))
	require.Len(t, old, 1)
	require.Empty(t, p.blocked(25*time.Hour))
	old[0].Age = 25 * time.Hour
	p.Inherit(start.Add(25*time.Hour), old)
	require.Empty(t, p.blocked(25*time.Hour))
}
