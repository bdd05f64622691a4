package head_test

import (
	"flag"
	"os"
	"testing"
)

// settings are those of the property tests unless the command line gives others.
var settings = map[string]string{"rapid.seed": "20261202", "rapid.checks": "500", "rapid.steps": "200"}

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { delete(settings, f.Name) })
	for name, value := range settings {
		_ = flag.Set(name, value)
	}
	os.Exit(m.Run())
}
