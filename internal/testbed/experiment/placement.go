package experiment

import (
	"time"

	"guavapaddle/core/backend"
	"guavapaddle/core/config"
	"guavapaddle/core/place"
)

// initialPlacement returns the items that are resident on each engine when a run
// starts: the plan for empty engines without demand, which is the same for all
// policies.
func initialPlacement(doc *config.Document) map[string][]backend.Item {
	in := place.Input{Models: doc.Models, Adapters: doc.Adapters, Placement: doc.Placement}
	for _, s := range doc.Servers {
		in.Servers = append(in.Servers, place.Server{
			Name: s.Name, DataCentre: s.DataCentre, MemoryBytes: s.MemoryBytes, KVReserveBytes: s.KVReserveBytes,
			Slots: s.Slots, Reachable: true,
		})
	}
	return (&place.Gain{}).Plan(time.Time{}, in).Plan
}

// itemBytes returns the size of each declared item.
func itemBytes(doc *config.Document) map[backend.Item]int64 {
	out := map[backend.Item]int64{}
	for _, m := range doc.Models {
		out[m.Item()] = m.Bytes
	}
	for _, a := range doc.Adapters {
		out[a.Item()] = a.Bytes
	}
	return out
}
