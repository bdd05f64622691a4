package workload

import (
	"crypto/sha256"
	"encoding/hex"

	"guavapaddle/core/config"
)

// Key returns the API key of a team.
func Key(team string) string { return "key-of-" + team }

// Document returns the configuration of the deployment. The number of addresses must
// be that of its engines.
func (d Deployment) Document(engines []string) config.Document {
	doc := config.Document{Deployment: d.Name, Placement: d.Placement, Limits: config.Limits{
		BodyBytes: 1 << 20, HeaderBytes: 1 << 14, StreamsPerNode: 4096, IdleMS: 60000,
		QueuePerServer: 256, RetryShare: 0.1, WeightLoads: d.FullSpeed, WeightLoadsRate: d.LoadsPerSecond,
	}}
	var kinds []string
	for _, m := range d.Mixes {
		doc.Kinds = append(doc.Kinds, m.Kind)
		kinds = append(kinds, m.Name)
	}
	for i := range d.Teams {
		name := d.TeamName(i)
		sum := sha256.Sum256([]byte(Key(name)))
		doc.Teams = append(doc.Teams, config.Team{
			Name: name, KeyHashes: []string{"sha256:" + hex.EncodeToString(sum[:])},
			Models: []string{"*"}, Kinds: kinds, DefaultKind: kinds[0], Weight: zipfWeight(i, teamExponent),
		})
	}
	for i := range d.Models {
		bytes := d.ModelBytes/2 + d.ModelBytes/2*int64(i%4)/3
		doc.Models = append(doc.Models, config.Model{
			Name: d.ModelName(i), Version: "1", Bytes: bytes, LoadPeakBytes: bytes / 8, MinCopies: 1,
		})
	}
	for i := range d.Adapters {
		doc.Adapters = append(doc.Adapters, config.Adapter{
			Name: d.AdapterName(i), Model: d.ModelName(i % d.Models), Version: "1",
			Bytes: d.AdapterBytes, LoadPeakBytes: d.AdapterBytes / 8, MinCopies: 1,
		})
	}
	for i, address := range engines {
		doc.Servers = append(doc.Servers, config.BackendServer{
			Name: d.EngineName(i), Type: config.Engine, Address: address, DataCentre: d.DataCentre(i),
			MemoryBytes: d.MemoryBytes, KVReserveBytes: d.KVReserveBytes, ChecksOrders: true, OrderLifetimeMS: 30000,
			Slots: d.Slots, StepMS: float64(d.FullStep().Microseconds()) / 1000,
		})
	}
	return doc
}
