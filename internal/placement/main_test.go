package placement_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed of the fuzz tests to 1 unless -rapid.seed is given, so that
// test runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
