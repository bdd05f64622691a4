package claim_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests unless one is given, and lets
// them run long enough for a call to be made, answered and asked for again.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261202")
		_ = flag.Set("rapid.checks", "300")
		_ = flag.Set("rapid.steps", "100")
	}
	os.Exit(m.Run())
}
