package limits_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the fuzz tests unless one is given, so that a run
// can be repeated exactly.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
