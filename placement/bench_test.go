package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/burdockward/burdockward/capacity"
)

// BenchmarkTask places one task and ends it, on targets of eight slots of which
// nine in ten are in use.
func BenchmarkTask(b *testing.B) {
	for _, slots := range []int{35, 350, 3500, 35000} {
		b.Run(fmt.Sprintf("slots=%d", slots), func(b *testing.B) { benchmarkTask(b, slots) })
	}
}

func benchmarkTask(b *testing.B, slots int) {
	place := New(Options{})
	self := capacity.Member{ID: "a", Incarnation: 1}
	units := capacity.New(capacity.Options{Self: self, OnFree: place.SetFree})
	units.SetView(0, capacity.View{ID: "v", Members: []capacity.Member{self}})
	var list []Target
	for i := range (slots + 7) / 8 {
		id := fmt.Sprintf("target-%05d", i)
		list = append(list, Target{ID: id, Rack: fmt.Sprint(i / 8)})
		units.SetPool(0, capacity.Pool{Name: id, Kind: capacity.KindSlots, Capacity: min(8, slots-8*i)})
	}
	place.SetTargets(0, list)
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Duration(0)
	var running []string
	start := func() {
		id, ok := place.Pick(now, rng)
		if !ok || !units.Take(id) {
			b.Fatal("no target picked")
		}
		place.RecordStart(now, id, "class", "job")
		running = append(running, id)
	}
	for range slots * 9 / 10 {
		start()
	}
	b.ReportAllocs()
	for b.Loop() {
		now += 100 * time.Microsecond
		start()
		end := rng.IntN(len(running))
		id := running[end]
		running[end] = running[len(running)-1]
		running = running[:len(running)-1]
		place.RecordEnd(now, Result{Target: id, Class: "class", Submission: "job", Runtime: 200 * time.Millisecond, Outcome: OutcomeDone})
		units.Give(now, id)
	}
}
