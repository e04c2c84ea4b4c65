package claim

import (
	"encoding/binary"
	"runtime"
	"testing"

	"github.com/burdockward/burdockward/membership"
	"github.com/shoenig/test/must"
)

// recordBytes returns the heap bytes of one record, with its share of the maps.
func recordBytes(n int) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	r := newRecords()
	runner := r.internRunner(membership.Member{ID: "vm"})
	for i := range n {
		var h Hash
		binary.LittleEndian.PutUint64(h[:], uint64(i)*0x9e3779b97f4a7c15)
		r.put([]string{"a", "b", "c"}[i%3], h, record{runner: runner})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(r)
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
}

func TestRecordsAreCompact(t *testing.T) {
	for _, n := range []int{100_000, 500_000, 700_000} {
		bytes := recordBytes(n)
		t.Logf("%d records: %.1f bytes each", n, bytes)
		must.Less(t, 64, bytes)
	}
}

func TestRunnersWithoutRecordsAreDropped(t *testing.T) {
	r := newRecords()
	for i := range uint64(10) {
		runner := r.internRunner(membership.Member{ID: "vm", Incarnation: i + 1})
		r.put([]string{"old", "new"}[i/5], Hash{byte(i)}, record{runner: runner})
	}
	r.dropEpoch("old")
	must.Eq(t, 5, r.count)
	r.compactTables(1)
	must.SliceLen(t, 6, r.runners)
	for i := range uint64(5) {
		rec, ok := r.get("new", Hash{byte(i + 5)})
		must.True(t, ok)
		must.Eq(t, i+6, r.runner(rec).Incarnation)
	}
}
