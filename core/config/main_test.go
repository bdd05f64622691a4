package config_test

import (
	"flag"
	"os"
	"testing"
)

// defaultSeed seeds the property tests unless -rapid.seed is set.
const defaultSeed = "20261202"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", defaultSeed)
	}
	os.Exit(m.Run())
}
