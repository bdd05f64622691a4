package residency_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/residency"
)

// TestAModelOnLimitedServersGetsOneMoreCopy guards against a model whose servers take no more
// requests and which has too little load for another copy.
func TestAModelOnLimitedServersGetsOneMoreCopy(t *testing.T) {
	limited := map[string]bool{"m0": true, "gone": true}
	light := map[string]float64{"m0": 0.1, "m1": 0.1}
	coming := server("c")
	coming.Coming = "m0"
	for _, test := range []struct {
		name    string
		models  int
		limited map[string]bool
		load    map[string]float64
		servers []residency.Server
		moves   []string // model and server
	}{
		{"room", 2, limited, light, []residency.Server{server("a", "m0"), server("b", "m1")}, []string{"m0 b"}},
		{"not limited", 2, nil, light, []residency.Server{server("a", "m0"), server("b", "m1")}, nil},
		{"a copy comes already", 2, limited, light, []residency.Server{server("a", "m0"), server("b", "m1"), coming}, nil},
		{"last copies stay", 4, limited, light, []residency.Server{server("a", "m0"), server("b", "m1", "m2", "m3")}, nil},
		{"a second copy goes", 4, limited, map[string]float64{"m0": 1, "m1": 0.1},
			[]residency.Server{server("a", "m0", "m2", "m1"), server("b", "m1", "m2", "m3")}, []string{"unload m2 b"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var got []string
			for _, m := range residency.Plan(residency.Input{Engine: engine(test.models), Servers: test.servers, Load: test.load,
				Limited: test.limited, Stores: 5}) {
				if m.Why == residency.Declared {
					continue
				}
				what := m.Model + " " + m.Server.ID
				if !m.Load {
					what = "unload " + what
				}
				got = append(got, what)
			}
			require.Equal(t, test.moves, got)
		})
	}
}
