package head_test

import (
	"flag"
	"os"
	"testing"
)

// defaultFlags are the flags of the property tests that apply unless they are set
// on the command line.
var defaultFlags = map[string]string{"rapid.seed": "20261202", "rapid.checks": "500", "rapid.steps": "200"}

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { delete(defaultFlags, f.Name) })
	for name, value := range defaultFlags {
		_ = flag.Set(name, value)
	}
	os.Exit(m.Run())
}
