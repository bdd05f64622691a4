package config_test

import (
	"flag"
	"os"
	"testing"
)

// seed is that of the property tests unless -rapid.seed gives another.
const seed = "20261202"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", seed)
	}
	os.Exit(m.Run())
}
