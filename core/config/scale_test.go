package config_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/config"
)

// Sizes of the deployment that is expected in two years.
const (
	scaleModels   = 1200
	scaleAdapters = 4800
	scaleEngines  = 600
	scaleTeams    = 2000
)

// largeDocument returns a document of the size that is expected in two years.
func largeDocument() *config.Document {
	d := &config.Document{Deployment: "large", Limits: config.DefaultLimits(), Placement: config.DefaultPlacement()}
	d.Kinds = []config.Kind{{Name: "live", Urgency: config.Urgent, Value: 1, DeadlineMS: 1000, Repeatable: true}}
	for i := range scaleModels {
		d.Models = append(d.Models, config.Model{Name: fmt.Sprintf("model-%04d", i), Version: "1", Bytes: int64(5+i%40) * 1e9, LoadPeakBytes: 1e9, MinCopies: 1 + i%2})
	}
	for i := range scaleAdapters {
		d.Adapters = append(d.Adapters, config.Adapter{Name: fmt.Sprintf("adapter-%05d", i), Model: d.Models[i%scaleModels].Name, Version: "1", Bytes: 2e8, MinCopies: 1})
	}
	for i := range scaleEngines {
		d.Servers = append(d.Servers, config.BackendServer{
			Name: fmt.Sprintf("engine-%03d", i), Type: config.Engine, Address: fmt.Sprintf("10.0.%d.%d:8000", i/200, i%200+1),
			DataCentre: fmt.Sprintf("dc-%d", i%7), MemoryBytes: 640e9, KVReserveBytes: 160e9, ChecksOrders: true, Slots: 64, StepMS: 7,
		})
	}
	for i := range scaleTeams {
		sum := sha256.Sum256(fmt.Append(nil, i))
		d.Teams = append(d.Teams, config.Team{
			Name: fmt.Sprintf("team-%04d", i), KeyHashes: []string{config.KeyHashPrefix + hex.EncodeToString(sum[:])},
			Models: []string{d.Models[i%scaleModels].Name, d.Adapters[i].Name}, Kinds: []string{"live"}, DefaultKind: "live", Weight: 1,
		})
	}
	return d
}

func BenchmarkLargeDocument(b *testing.B) {
	doc := largeDocument()
	body := doc.Canonical()
	b.Run("parse", func(b *testing.B) {
		b.SetBytes(int64(len(body)))
		for b.Loop() {
			if _, err := config.Parse(body); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("validate", func(b *testing.B) {
		for b.Loop() {
			require.Empty(b, doc.Validate())
		}
	})
	b.Run("index", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			config.NewIndex(doc, 1)
		}
	})
	b.Run("team by key", func(b *testing.B) {
		x := config.NewIndex(doc, 1)
		for b.Loop() {
			x.TeamByKey("7")
		}
	})
}
