package domains

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed, so that every run gives the same result. A flag of the command
// line overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
