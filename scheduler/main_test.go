package scheduler

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed, so that all runs test the same cases; a command line flag overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
