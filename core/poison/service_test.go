package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/poison"
)

// TestPartIsServedAtServicesThatBearIt guards against requests to a service whose servers live with a part, and which are refused since it
// crashes those of another one.
func TestPartIsServedAtServicesThatBearIt(t *testing.T) {
	t.Parallel()
	const other = "other"
	for name, soundAt := range map[string]time.Duration{"between the crashes": 1500 * ms, "as an early trial": 5 * second, "as a late trial": 63 * second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var p play
			refused := func(at time.Duration, service string) bool {
				p.Blocks(start.Add(at))
				_, blocked, _ := p.Admit(start.Add(at), service, parts("a", "b"))
				return blocked
			}
			sound := func(at time.Duration) {
				p.AddSound(start.Add(at), poison.Sound{Service: other, Part: "a"})
				p.AddSound(start.Add(at), poison.Sound{Service: other, Part: "b"})
			}
			for i := range 3 {
				at := time.Duration(i) * second
				if soundAt < at && soundAt > at-second {
					sound(soundAt)
				}
				p.crash(at, request(50*ms, "a", "b", poison.Part(fmt.Sprint("c", i))))
			}
			require.True(t, refused(3*second, service))
			require.Equal(t, soundAt > 3*second, refused(3*second, other))
			if soundAt > 3*second {
				require.False(t, refused(soundAt-ms, other), "a trial")
				sound(soundAt)
			}
			require.False(t, refused(soundAt+3*second, other))
			require.True(t, refused(soundAt+3*second, service), "at its own service trials are few")
			var next play
			next.Inherit(start.Add(70*second), p.Blocks(start.Add(70*second)))
			_, blocked, _ := next.Admit(start.Add(70*second), other, parts("a", "b"))
			require.False(t, blocked, "the next leader knows it")
		})
	}
}
