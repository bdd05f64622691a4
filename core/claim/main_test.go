package claim_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests unless one is given, and
// enough steps for a call to be sent, answered and repeated.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261202")
		_ = flag.Set("rapid.checks", "300")
		_ = flag.Set("rapid.steps", "100")
	}
	os.Exit(m.Run())
}
