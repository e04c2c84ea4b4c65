package submission

import (
	"runtime"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// liveHeap returns the size of the reachable heap.
func liveHeap() int64 {
	// The second collection ends the sweep of the first one.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// keepAnswers puts n answers into a table whose submissions ran here.
func keepAnswers(t *testing.T, table *table, n, bytes int) {
	for i := range n {
		e, first := table.reserve(keyOf(strconv.Itoa(bytes)+"-"+strconv.Itoa(i)).String(), uint64(i), 0)
		must.True(t, first)
		table.setLocal(e)
		table.finish(e, &Outcome{Status: statusOK, Body: []byte(strings.Repeat("x", bytes))})
	}
}

// The counted size of kept answers is compared with the heap that they take, below the
// budget and once answers are dropped.
func TestCountedBytesMatchHeap(t *testing.T) {
	const budget = 8 << 20
	for _, c := range []struct{ small, bytes, large int }{
		{5000, 40, 0}, {100_000, 40, 0}, {100_000, 90, 0}, {20_000, 1000, 0}, {0, 0, 400}, {100_000, 40, 40}, {100_000, 40, 60}, {100_000, 40, 200},
	} {
		before := liveHeap()
		table := newTable(budget, 0)
		keepAnswers(t, table, c.small, c.bytes)
		keepAnswers(t, table, c.large, 100_000)
		heap := liveHeap() - before
		counted, _ := table.keptAnswers()
		what := must.Sprintf("%+v: counted %d, heap %d", c, counted, heap)
		must.LessEq(t, budget, counted, what)
		must.Less(t, counted+counted/20, heap, what)
		must.Greater(t, counted*3/4, heap, what)
		// Memory of dropped small answers is usable for large ones.
		must.GreaterEq(t, min(c.large, 60), len(table.answers.index), what)
		runtime.KeepAlive(table)
	}
}

// An answer larger than the budget is dropped itself; the others stay.
func TestAnswerLargerThanBudgetDropsNoOther(t *testing.T) {
	a := newAnswers(10_000)
	a.put("a.e.small", 1, &Outcome{Status: statusOK, Body: []byte("small")})
	a.put("a.e.large", 2, &Outcome{Status: statusOK, Body: make([]byte, 10_000)})
	o, fingerprint, ok := a.get("a.e.small")
	must.True(t, ok)
	must.Eq(t, 1, fingerprint)
	must.Eq(t, "small", string(o.Body))
	_, _, ok = a.get("a.e.large")
	must.False(t, ok)
	must.Eq(t, 1, a.dropped)

	none := newAnswers(0)
	none.put("a.e.small", 1, o)
	must.Eq(t, 0, none.bytes())
	must.Eq(t, 1, none.dropped)
}
