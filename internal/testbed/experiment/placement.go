package experiment

import (
	"time"

	"guavapaddle/core/backend"
	"guavapaddle/core/config"
	"guavapaddle/core/place"
)

// firstPlacement returns what each engine holds when a run begins: the plan for
// empty engines without any demand, which is the same for all policies.
func firstPlacement(doc *config.Document) map[string][]backend.Item {
	in := place.Input{Models: doc.Models, Adapters: doc.Adapters, Placement: doc.Placement}
	for _, s := range doc.Servers {
		in.Servers = append(in.Servers, place.Server{
			Name: s.Name, DataCentre: s.DataCentre, MemoryBytes: s.MemoryBytes, KVReserveBytes: s.KVReserveBytes,
			Slots: s.Slots, Reachable: true,
		})
	}
	return (&place.Gain{}).Plan(time.Time{}, in).Plan
}

// sizes returns the bytes of each declared item.
func sizes(doc *config.Document) map[backend.Item]int64 {
	out := map[backend.Item]int64{}
	for _, m := range doc.Models {
		out[m.Item()] = m.Bytes
	}
	for _, a := range doc.Adapters {
		out[a.Item()] = a.Bytes
	}
	return out
}
