package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/poison"
)

// bad is the part of a request that crashes servers.
var bad = poison.CopyOf(0xbad)

func TestCopiesAreParts(t *testing.T) {
	t.Parallel()
	require.True(t, bad.IsCopy())
	require.False(t, poison.PartOf(string(bad)).IsCopy(), "a part of a prompt with its name")
	require.True(t, poison.Block{Parts: parts(bad)}.OfCopies())
	require.False(t, poison.Block{Parts: parts("a")}.OfCopies())
}

// TestCopiesSentTogetherAreBlocked guards against clients that send copies at the same time, so that no crash follows another.
func TestCopiesSentTogetherAreBlocked(t *testing.T) {
	t.Parallel()
	var p play
	for i := range 3 {
		p.crash(time.Duration(i)*10*ms, request(100*ms, "a", "b", bad), request(100*ms, "a", poison.CopyOf(uint64(i))))
	}
	require.Empty(t, p.blocked(500*ms), "another node may report a sound response to a copy")
	require.Equal(t, [][]poison.Part{parts(bad)}, p.blocked(1500*ms), "the whole request, not the parts of its prompt")
}

// TestCopiesMinutesApartAreBlocked guards against a request that comes so seldom that its crashes are forgotten in between, though
// servers end for other reasons all the time.
func TestCopiesMinutesApartAreBlocked(t *testing.T) {
	t.Parallel()
	var p play
	for i := range 3 {
		at := time.Duration(i) * 5 * time.Minute
		p.crash(at, request(100*ms, "a", bad), request(100*ms, "a", poison.CopyOf(uint64(i))))
		for k := range 40 {
			p.crash(at+time.Duration(k+1)*second, request(100*ms, "a", poison.CopyOf(uint64(1000*i+k))))
			p.sound(at+time.Duration(k+1)*second+500*ms, "a")
		}
	}
	require.Equal(t, [][]poison.Part{parts(bad)}, p.blocked(15*time.Minute))
}

// TestEvidenceIsNotDisplaced guards against servers that end together, with other requests in flight, and displace the crashes of a
// request that was suspected before.
func TestEvidenceIsNotDisplaced(t *testing.T) {
	t.Parallel()
	var p play
	p.crash(0, request(100*ms, bad))
	p.crash(second, request(100*ms, bad))
	for i := range 500 {
		p.crash(2*second+time.Duration(i)*4*ms, request(100*ms, "a", poison.CopyOf(uint64(i))), request(100*ms, "a", poison.CopyOf(1<<32)))
	}
	for _, c := range p.Evidence(start.Add(4 * second)) {
		require.Equal(t, parts(bad), c.Requests[0].Parts, "the lease has what is needed")
	}
	require.Len(t, p.Evidence(start.Add(4*second)), 2)
	p.sound(5*second, "a", poison.CopyOf(1<<32))
	p.crash(6*second, request(100*ms, bad))
	require.Equal(t, [][]poison.Part{parts(bad)}, p.blocked(8*second))
}

// TestCopiesOfSoundRequestAreNotBlocked guards against a popular request that is refused since copies of it were in flight at servers that
// ended for other reasons.
func TestCopiesOfSoundRequestAreNotBlocked(t *testing.T) {
	t.Parallel()
	popular := poison.CopyOf(7)
	for name, before := range map[string]bool{"sound before": true, "sound right after": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var p play
			for round := range 3 {
				at := time.Duration(round) * 10 * second
				if before {
					p.sound(at-second, popular)
				}
				for i := range 8 {
					p.crash(at+time.Duration(i)*10*ms, request(200*ms, popular))
				}
				if !before {
					p.sound(at+800*ms, popular)
				}
				for wait := time.Duration(0); wait < 5*second; wait += 200 * ms {
					require.Empty(t, p.blocked(at+wait), "round %d, %v", round, wait)
				}
				p.sound(at+6*second, popular)
			}
		})
	}
}

// TestRarePartBesideCopiesIsNotBlocked guards against a part of prompts that is refused in place of the one request that has crashed
// servers with it, since it was also in flight at the end of another server.
func TestRarePartBesideCopiesIsNotBlocked(t *testing.T) {
	t.Parallel()
	var p play
	p.crash(0, request(100*ms, "rare", poison.CopyOf(1)))
	for i := range 3 {
		p.crash(time.Duration(i+1)*second, request(100*ms, "rare", bad))
	}
	require.Equal(t, [][]poison.Part{parts(bad)}, p.blocked(5*second))
}

// TestPartOfRepeatedRequestsIsBlocked guards against requests that are each repeated until they are refused, so that the part of their
// prompts that crashes servers never is.
func TestPartOfRepeatedRequestsIsBlocked(t *testing.T) {
	t.Parallel()
	var p play
	at, late := time.Duration(0), 0
	for i := range 200 {
		at += 2 * second
		own := poison.CopyOf(uint64(i / 4))
		refused := false
		for _, b := range p.Blocks(start.Add(at)) {
			refused = refused || b.Matches(parts("a", "dead", own))
		}
		if refused {
			continue
		}
		p.sound(at-100*ms, "a")
		p.crash(at, request(100*ms, "a", "dead", own))
		if p.servers > 5 {
			late++
		}
	}
	require.LessOrEqual(t, late, 3, "after the fifth crash")
	require.Contains(t, p.blocked(at), parts("dead"))
}

// TestCrashesBeforeTheBlockTakeThePlaceOfTrials checks that a request reaches servers no more than three times after the third crash.
func TestCrashesBeforeTheBlockTakeThePlaceOfTrials(t *testing.T) {
	t.Parallel()
	for late, trials := range []int{2, 1, 0, 0} {
		var p play
		list := []time.Duration{0, second, 2 * second}
		for i := range late {
			list = append(list, 5500*ms+time.Duration(i)*100*ms)
		}
		for i, at := range list { // all are reported at the end
			p.Add(start.Add(7*second), poison.Crash{ID: uint64(i + 1), Server: fmt.Sprint("i-", i), Service: service, Age: 7*second - at, Requests: []poison.Request{request(100*ms, bad)}})
		}
		require.Len(t, p.blocked(7*second), 1)
		admitted := 0
		for at := 8 * second; at < time.Hour; at += second {
			if _, _, trial := p.Admit(start.Add(at), service, parts(bad)); trial {
				admitted++
			}
		}
		require.Equal(t, trials, admitted, "%d crashes later than 3 s after the third", late)
	}
}

// TestEvidenceOutlastsLeader checks that a leader which knows only the evidence of the one before decides like that.
func TestEvidenceOutlastsLeader(t *testing.T) {
	t.Parallel()
	var p, next play
	popular := poison.CopyOf(7)
	for i := range 2 {
		at := time.Duration(i) * second
		p.crash(at, request(100*ms, "a", bad), request(100*ms, "a", popular), request(100*ms, "a", poison.CopyOf(uint64(100+i))))
		p.sound(at+200*ms, "a", popular)
	}
	evidence := p.Evidence(start.Add(2 * second))
	require.Len(t, evidence, 2)
	for _, c := range evidence {
		require.Len(t, c.Requests, 1, "other requests aren't suspected")
		next.Add(start.Add(2*second), c)
		next.Add(start.Add(2*second), c)
	}
	next.servers = 10
	next.crash(3*second, request(100*ms, "a", bad))
	require.Equal(t, [][]poison.Part{parts(bad)}, next.blocked(4500*ms))
	require.Empty(t, next.Evidence(start.Add(4500*ms)), "the block says it")
}

func TestEagerTrackerDecidesAtOnce(t *testing.T) {
	t.Parallel()
	p := play{Tracker: poison.Tracker{Eager: true}}
	for i := range 3 {
		require.Empty(t, p.blocked(time.Duration(i)*ms))
		p.crash(time.Duration(i+1)*ms, request(0, bad))
	}
	require.Equal(t, [][]poison.Part{parts(bad)}, p.blocked(3*ms))
}
