package front_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/platform/standin"
)

const (
	restAsked   = 2 * time.Second
	restSlack   = 500 * time.Millisecond // after a refusal in which requests may still come
	restAllowed = 2                      // requests of a node until the end of the rest
)

// TestAServerThatAsksForRestIsLeftAlone has a server turn all requests away and ask each
// node for rest.
func TestAServerThatAsksForRestIsLeftAlone(t *testing.T) {
	t.Parallel()
	for name, x := range map[string]struct {
		path, model string
		alone       bool // no other server could serve
	}{
		"engine":        {"/plans/x", "m0", false},
		"plain":         {"/calls/x", "", false},
		"only engine":   {"/plans/x", "m0", true},
		"only one left": {"/calls/x", "", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, resting, _ := newPair(t, 1, x.model, !x.alone)
			resting.Do(standin.Shed)
			resting.AskRest(restAsked)
			began := time.Now()
			statuses := f.press(x.path, x.model, 20*time.Millisecond, 5*time.Second)
			require.Less(t, time.Since(began), 6*time.Second, "what can't be served is refused at once")
			came := resting.Visits()
			require.NotEmpty(t, came)
			for i, first := range came {
				n := 0
				for _, later := range came[i:] {
					if d := later.At.Sub(first.At); d > restSlack && d < restAsked {
						n++
					}
				}
				require.LessOrEqual(t, n, restAllowed, "request %d of %d, statuses %v", i, len(came), statuses)
			}
			if !x.alone {
				require.GreaterOrEqual(t, statuses[200], 240, "%v", statuses)
				return
			}
			require.GreaterOrEqual(t, statuses[503], 240, "%v", statuses)
		})
	}
}
