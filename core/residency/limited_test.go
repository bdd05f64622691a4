package residency_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/residency"
)

// TestLimitedModelGetsOneMoreCopy guards against a model staying unavailable because all its
// servers refuse requests while its load is too low for another copy.
func TestLimitedModelGetsOneMoreCopy(t *testing.T) {
	limited := map[string]bool{"m0": true, "gone": true}
	light := map[string]float64{"m0": 0.1, "m1": 0.1}
	loading := server("c")
	loading.Loading = "m0"
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
		{"a copy is already loading", 2, limited, light, []residency.Server{server("a", "m0"), server("b", "m1"), loading}, nil},
		{"last copies are kept", 4, limited, light, []residency.Server{server("a", "m0"), server("b", "m1", "m2", "m3")}, nil},
		{"a second copy is evicted", 4, limited, map[string]float64{"m0": 1, "m1": 0.1},
			[]residency.Server{server("a", "m0", "m2", "m1"), server("b", "m1", "m2", "m3")}, []string{"unload m2 b"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var got []string
			for _, m := range residency.Plan(residency.Input{Engine: engine(test.models), Servers: test.servers, Load: test.load,
				Limited: test.limited, StoreLoads: 5}) {
				if m.Reason == residency.Declared {
					continue
				}
				move := m.Model + " " + m.Server.ID
				if !m.Load {
					move = "unload " + move
				}
				got = append(got, move)
			}
			require.Equal(t, test.moves, got)
		})
	}
}
