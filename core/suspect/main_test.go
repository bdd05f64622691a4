package suspect_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261202")
		_ = flag.Set("rapid.checks", "300")
		_ = flag.Set("rapid.steps", "300")
	}
	os.Exit(m.Run())
}
