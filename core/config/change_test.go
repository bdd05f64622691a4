package config_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/config"
)

func TestVersionsAreImmutable(t *testing.T) {
	tests := []struct {
		name   string
		change func(*config.Document)
		want   string
	}{
		{"nothing", func(*config.Document) {}, ""},
		{"new version with other sizes", func(d *config.Document) { d.Models[0].Version, d.Models[0].Bytes = "2", 17000 }, ""},
		{"copies", func(d *config.Document) { d.Models[1].MinCopies = 2 }, ""},
		{"model removed", func(d *config.Document) { d.Models = d.Models[:1] }, ""},
		{"bytes", func(d *config.Document) { d.Models[0].Bytes = 17000 },
			`models[0].bytes: immutable-version: version "1" of "drafter" has 16000 in force; give a new version`},
		{"load peak", func(d *config.Document) { d.Adapters[0].LoadPeakBytes = 5 },
			`adapters[0].load-peak-bytes: immutable-version: version "2" of "terse" has 0 in force; give a new version`},
		{"base of an adapter", func(d *config.Document) { d.Adapters[0].Model = "checker" },
			`adapters[0].model: immutable-version: version "2" of "terse" has "drafter" in force; give a new version`},
		{"model becomes adapter", func(d *config.Document) {
			d.Models = d.Models[:1]
			d.Adapters = append(d.Adapters, config.Adapter{Name: "checker", Model: "drafter", Version: "4", Bytes: 8000})
		}, `adapters[1].version: immutable-version: version "4" of "checker" is a model in force; give a new version`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			doc := document(t)
			tt.change(doc)
			var got string
			for _, p := range config.ValidateChange(document(t), doc) {
				got += p.String()
			}
			require.Equal(t, tt.want, got)
		})
	}
}
