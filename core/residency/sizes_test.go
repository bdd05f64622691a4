package residency_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/fleet"
	"guavapaddle/core/residency"
)

func TestAdapterPlacesUseMemoryLeftByModels(t *testing.T) {
	e := fleet.Engine{WeightsMB: 1000, AdapterSlots: 4, Models: map[string]fleet.Model{
		"a": {MB: 400, Adapters: 3, AdapterMB: 50},
		"b": {MB: 500, AdapterMB: 900}, // has no adapters
	}}
	require.InDelta(t, 200, residency.NewSizes(e).Adapters(), 1e-9)
	for _, c := range []struct {
		name   string
		models []string
		places int
	}{
		{"no models held", nil, 4},
		{"room for all", []string{"a"}, 4},
		{"room for two", []string{"a", "b"}, 2},
		{"a model that is not declared counts as the largest", []string{"b", "c"}, 0},
		{"more models than memory", []string{"a", "b", "b"}, 0},
	} {
		require.Equal(t, c.places, residency.NewSizes(e).AdapterPlaces(c.models), c.name)
	}
	e.Models["a"] = fleet.Model{MB: 400}
	require.Equal(t, 4, residency.NewSizes(e).AdapterPlaces([]string{"a", "b"}), "without adapters no memory is needed")
}
