package intake

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// A list of connections in the order in which they began to wait is the model of Places.
func TestFuzzPlacesGoToTheLongestWaiting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		places := NewPlaces[int](limit)
		var waiting, serving []int
		for next := range rapid.IntRange(1, 80).Draw(t, "steps") {
			all := slices.Concat(waiting, serving)
			switch action := rapid.SampledFrom([]string{"add", "serve", "wait", "remove"}).Draw(t, "action"); {
			case action == "add":
				places.Add(next)
				waiting = append(waiting, next)
			case len(all) == 0:
			case action == "remove":
				c := rapid.SampledFrom(all).Draw(t, "connection")
				must.True(t, places.Remove(c))
				must.False(t, places.Remove(c))
				waiting = slices.DeleteFunc(waiting, func(other int) bool { return other == c })
				serving = slices.DeleteFunc(serving, func(other int) bool { return other == c })
			case action == "serve":
				c := rapid.SampledFrom(all).Draw(t, "connection")
				places.SetServing(c)
				if i := slices.Index(waiting, c); i >= 0 {
					waiting = slices.Delete(waiting, i, i+1)
					serving = append(serving, c)
				}
			default:
				c := rapid.SampledFrom(all).Draw(t, "connection")
				places.SetWaiting(c)
				if i := slices.Index(serving, c); i >= 0 {
					serving = slices.Delete(serving, i, i+1)
					waiting = append(waiting, c)
				}
			}
			longest, ok := places.LongestWaiting()
			must.Eq(t, len(waiting) > 0, ok)
			if ok {
				must.Eq(t, waiting[0], longest)
			}
			must.Eq(t, len(waiting)+len(serving) >= limit, places.Full())
		}
	})
}

func TestClosedConnectionTakesNoPlaceAgain(t *testing.T) {
	places := NewPlaces[int](1)
	places.Add(1)
	places.Remove(1)
	places.SetWaiting(1)
	places.SetServing(1)
	must.False(t, places.Full())
}
