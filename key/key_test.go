package key

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that every run gives the same result. A flag of the command
// line overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func TestParseReadsWhatStringWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := func(name string, maxLength int) string {
			return rapid.StringMatching(fmt.Sprintf("[a-zA-Z0-9_-]{1,%d}", maxLength)).Draw(t, name)
		}
		k := Key{Domain: part("domain", MaxDomain), Epoch: part("epoch", MaxEpoch), Unique: part("unique", MaxUnique)}
		parsed, err := Parse(k.String())
		must.NoError(t, err)
		must.Eq(t, k, parsed)
	})
}

func TestParseRefusesMalformedKeys(t *testing.T) {
	long := strings.Repeat("a", 65)
	for text, says := range map[string]string{
		"":                       "three parts",
		"a.e":                    "three parts",
		"a.e.k.k":                "three parts",
		".e.k":                   "failure domain of the key must have 1 to 63",
		"a..k":                   "epoch of the key must have 1 to 40",
		"a.e.":                   "unique part of the key must have 1 to 64",
		long[:64] + ".e.k":       "failure domain of the key must have",
		"a." + long[:41] + ".k":  "epoch of the key must have",
		"a.e." + long:            "unique part of the key must have",
		"a.e.k k":                "may hold letters",
		"a.e.ä":                  "may hold letters",
		"a/b.e.k":                "failure domain of the key may hold",
		"a.e\x00.k":              "epoch of the key may hold",
		strings.Repeat("é", 500): "three parts",
	} {
		_, err := Parse(text)
		must.ErrorContains(t, err, says)
		must.Less(t, 400, len(err.Error()))
	}
}

// VMs of two versions have to agree on ranks, so the test compares with a known value.
func TestRankIsFixed(t *testing.T) {
	must.Eq(t, 13859996150717462282, Rank("a", "vm1"))
	must.NotEq(t, Rank("a", "vm1"), Rank("a", "vm2"))
	must.NotEq(t, Rank("ab", "c"), Rank("a", "bc"))
}
