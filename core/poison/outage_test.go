package poison_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/poison"
)

// respond reports that a response to some request of the service was sound.
func (p *play) respond(at time.Duration) { p.sound(at, poison.AnyRequest) }

// observe reports that a node observes the responses of the service, none of which was sound yet.
func (p *play) observe(at time.Duration) { p.AddSound(start.Add(at), poison.NoResponse(service)) }

// admits reports whether a request with the given parts is let through.
func (p *play) admits(at time.Duration, list ...poison.Part) bool {
	p.Blocks(start.Add(at))
	_, blocked, _ := p.Admit(start.Add(at), service, list)
	return !blocked
}

// TestServiceIsServedAfterOutage plays outages in which each server that starts ends again under its first requests, all of which share a part, and
// counts the requests that are let through in the minute after.
func TestServiceIsServedAfterOutage(t *testing.T) {
	t.Parallel()
	for _, outage := range []time.Duration{5 * second, 22 * second, 33 * second, 44 * second, 66 * second, 10 * time.Minute} {
		for name, before := range map[string]bool{"sound before": true, "nodes started in it": false} {
			t.Run(outage.String()+" "+name, func(t *testing.T) {
				t.Parallel()
				var p play
				if before {
					p.sound(-100*ms, "a", "b0")
					p.respond(-100 * ms)
				}
				p.respond(150 * ms) // of the last server
				served := 0
				for at := time.Duration(0); at < outage+time.Minute; at += 100 * ms {
					p.observe(at)
					list := parts("a", poison.Part([]string{"b0", "b1"}[int(at/(100*ms))%2]), poison.CopyOf(uint64(at/(400*ms))))
					switch {
					case !p.admits(at, list...):
					case at < outage:
						p.crash(at, request(50*ms, list...))
					default:
						served++
						p.sound(at, list...)
						p.respond(at)
					}
				}
				require.GreaterOrEqual(t, served, 600*3/4)
			})
		}
	}
}

// TestProvisionalBlockBecomesFinal checks that a request which crashes servers faster than others respond is let through once more, and then
// seldom: this crash comes after sound responses to others.
func TestProvisionalBlockBecomesFinal(t *testing.T) {
	t.Parallel()
	var p play
	for i := range 3 {
		p.observe(time.Duration(i) * 10 * ms)
		p.crash(time.Duration(i)*10*ms, request(100*ms, "a", bad), request(100*ms, "a", poison.CopyOf(uint64(i))))
	}
	late, trials := 0, 0
	for at := 100 * ms; at < time.Hour; at += 100 * ms {
		isBlocked := len(p.blocked(at)) > 0
		if p.admits(at, "a", bad) {
			p.crash(at+50*ms, request(50*ms, "a", bad))
			if isBlocked && at < time.Minute {
				trials++
			}
			if at > 3*second {
				late++
			}
		} else if at < time.Minute {
			p.respond(at)
			p.sound(at, "a")
		}
	}
	require.LessOrEqual(t, late, 3, "later than 3 s after the third crash")
	require.Equal(t, 1, trials, "in the first minute")
	require.False(t, p.Blocks(start.Add(time.Hour))[0].Provisional)
}

// TestCopiesAloneAreBlockedForGood checks that copies of one request which crash servers are blocked where nothing else comes.
func TestCopiesAloneAreBlockedForGood(t *testing.T) {
	t.Parallel()
	var p play
	p.respond(-second)
	for i := range 3 {
		p.crash(time.Duration(i)*second, request(100*ms, "a", bad))
	}
	list := p.Blocks(start.Add(2500 * ms))
	require.Len(t, list, 1)
	require.False(t, list[0].Provisional)
}

// TestFinalBlockStaysFinal checks that a leader which decides without what others have observed doesn't weaken a block.
func TestFinalBlockStaysFinal(t *testing.T) {
	t.Parallel()
	for name, decidesFirst := range map[string]bool{"decides first": true, "inherits first": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var p play
			final := []poison.Block{{Parts: parts("dead"), Service: service, Crashes: 5, Age: second}}
			if !decidesFirst {
				p.Inherit(start, final)
			}
			p.observe(0)
			for i := range 5 {
				p.crash(time.Duration(i)*100*ms, request(10*ms, "a", "dead"), request(10*ms, "a"))
				p.sound(time.Duration(i)*100*ms+ms, "a")
			}
			require.Equal(t, [][]poison.Part{parts("dead")}, p.blocked(500*ms))
			require.Equal(t, decidesFirst, p.Blocks(start.Add(500 * ms))[0].Provisional)
			p.Inherit(start.Add(500*ms), final)
			require.False(t, p.Blocks(start.Add(500 * ms))[0].Provisional)
		})
	}
}

// TestSoundPartIsServedBesidePartsThatCrashServers plays an outage in which all servers end, beside and before requests with a part that
// crashes servers, which share another part with nearly all sound ones. Most trials could be of requests that do crash servers.
func TestSoundPartIsServedBesidePartsThatCrashServers(t *testing.T) {
	t.Parallel()
	const outage = 10 * second
	var p play
	p.sound(-100*ms, "a", "b", "c")
	p.respond(-100 * ms)
	served, refused := 0, 0
	for i := range 700 {
		at := time.Duration(i) * 100 * ms
		p.observe(at)
		own := poison.CopyOf(uint64(i))
		list, sound := parts("a", "dead", own), false
		switch i % 10 {
		case 0:
			list, sound = parts("a", "b", own), true
		case 5:
			list, sound = parts("c", own), true
		}
		isCounted := i%10 == 0 && at > outage+10*second
		switch {
		case !p.admits(at, list...):
			if isCounted {
				refused++
			}
		case at < outage || !sound:
			p.crash(at, request(50*ms, list...))
		default:
			if isCounted {
				served++
			}
			p.sound(at, list...)
			p.respond(at)
		}
	}
	require.GreaterOrEqual(t, served, 3*refused, "%v", p.blocked(70*second))
}

// TestBlockOfPartThatWasSoundStaysProvisional checks that a part is tested all the time that was sound before: servers don't crash on it each time.
func TestBlockOfPartThatWasSoundStaysProvisional(t *testing.T) {
	t.Parallel()
	for name, knownLate := range map[string]bool{"known before": false, "known later": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var p play
			if !knownLate {
				p.sound(-second, "x")
			}
			for i := range 5 {
				p.observe(time.Duration(i) * second)
				p.crash(time.Duration(i)*second, request(50*ms, "x"), request(50*ms, "y"))
				p.sound(time.Duration(i)*second+300*ms, "y")
				p.respond(time.Duration(i)*second + 300*ms)
			}
			require.Equal(t, knownLate, !p.Blocks(start.Add(7 * second))[0].Provisional)
			if knownLate {
				p.AddSound(start.Add(7*second), poison.Sound{Service: service, Part: "x", Age: 8 * second})
			}
			require.True(t, p.Blocks(start.Add(8 * second))[0].Provisional)
			require.True(t, p.admits(8*second, "x"))
			require.False(t, p.admits(8*second, "x"), "one at a time")
			require.True(t, p.admits(10*second, "x"))
		})
	}
}

// TestCopiesAloneAreTestedSoonAfterOutage guards against a service of which only copies of one request are asked, and which stays refused after
// an outage of all its servers. A request that crashes each server reaches three at most.
func TestCopiesAloneAreTestedSoonAfterOutage(t *testing.T) {
	t.Parallel()
	for _, outage := range []time.Duration{5 * second, 15 * second, 20 * second, 2 * time.Hour} {
		t.Run(outage.String(), func(t *testing.T) {
			t.Parallel()
			var p play
			p.respond(-second)
			late, servedAt := 0, time.Duration(0)
			for at := time.Duration(0); at < time.Hour && servedAt == 0; at += 100 * ms {
				switch {
				case !p.admits(at, "a", bad):
				case at >= outage:
					p.sound(at, "a", bad)
					servedAt = at
				default:
					p.crash(at, request(50*ms, "a", bad))
					if at > 3*second {
						late++
					}
				}
			}
			if outage > time.Hour {
				require.LessOrEqual(t, late, 3, "requests let through after the block")
				return
			}
			require.Positive(t, servedAt)
			require.LessOrEqual(t, servedAt, 2*outage, "the time until a trial is bounded by the length of the outage")
			require.Empty(t, p.blocked(servedAt+second))
		})
	}
}
