package owner

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/platform/wire"
	"github.com/burdockward/burdockward/scheduler"
)

// An owner that hands over while its own predecessor still uses targets hasn't released all: under a
// token that was passed on, nothing fences that predecessor.
func TestUnfinishedHandoverIsNotReleasedAsAll(t *testing.T) {
	options := testOptions()
	options.AskPredecessor = func(context.Context) (Released, error) { return Released{}, nil }
	o := New(options, newFencingTarget(), oneTarget{})
	o.applyRegistryChanges(time.Second, o.reader.read(updateOfOne(true, targetID, registryEntry(t, "domain", wire.StateReady))))
	go func() { (<-o.answers)(time.Second) }()
	must.False(t, o.Release(t.Context(), scheduler.Successor{}).All)
}
