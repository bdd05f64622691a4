package sample_test

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/config"
	"guavapaddle/internal/testbed/sample"
)

var update = flag.Bool("update", false, "rewrite the sample files")

// TestSamplesAreCommittedAndValid checks that the committed sample files match the
// generated ones, load as valid configurations, have the sizes of the deployments, and
// accept the test keys of the teams.
func TestSamplesAreCommittedAndValid(t *testing.T) {
	tests := []struct {
		name                                             string
		doc                                              *config.Document
		models, adapters, engines, services, dataCentres int
	}{
		{name: "corella", doc: sample.Corella(), models: 20, adapters: 80, engines: 12, services: 4, dataCentres: 4},
		{name: "kabinaki", doc: sample.Kabinaki(), models: 30, adapters: 110, engines: 20, services: 3, dataCentres: 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			file := filepath.Join("..", "..", "..", "samples", tt.name+".json")
			if *update {
				require.NoError(t, os.WriteFile(file, sample.Text(tt.doc), 0o644))
			}
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			require.Equal(t, string(sample.Text(tt.doc)), string(text))
			doc, err := config.Load(text)
			require.NoError(t, err)
			require.Equal(t, tt.doc.Hash(), doc.Hash())
			require.Len(t, doc.Models, tt.models)
			require.Len(t, doc.Adapters, tt.adapters)
			engines, centres := 0, map[string]bool{}
			for _, s := range doc.Servers {
				centres[s.DataCentre] = true
				if s.Type == config.Engine {
					engines++
				}
			}
			require.Equal(t, tt.engines, engines)
			require.Equal(t, tt.services, len(doc.Servers)-engines)
			require.Len(t, centres, tt.dataCentres)
			index := config.NewIndex(doc, 1)
			for _, team := range doc.Teams {
				found, ok := index.TeamByKey(sample.Key(team.Name))
				require.True(t, ok)
				require.Equal(t, team.Name, found.Name)
			}
		})
	}
}
