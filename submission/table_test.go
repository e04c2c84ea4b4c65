package submission

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Whatever begins and ends, the size counted is that of the entries without outcome, and only a single one may exceed
// the limit.
func TestFuzzHeldBytesAreThoseOfUnfinishedEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 100
		table := newTable(0, limit)
		var open []*entry
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(open) > 0 && rapid.Bool().Draw(t, "finish") {
				i := rapid.IntRange(0, len(open)-1).Draw(t, "entry")
				table.finish(open[i], &Outcome{})
				table.finish(open[i], &Outcome{})
				open = append(open[:i], open[i+1:]...)
			} else {
				key := fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "key"))
				bytes := int64(rapid.IntRange(1, 150).Draw(t, "bytes"))
				before := table.held
				e, first := table.reserve(key, 1, bytes)
				must.Eq(t, e == nil, table.get(key) == nil && before > 0 && before+bytes > limit)
				if first {
					open = append(open, e)
				}
			}
			held := int64(0)
			for _, e := range open {
				held += e.bytes
			}
			must.Eq(t, held, table.held)
			must.Eq(t, len(open), table.unfinished())
			must.True(t, held <= limit || len(open) == 1)
		}
	})
}
