package node

import (
	"log/slog"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/owner"
)

func idleOwner() *ownedGroup {
	o := owner.New(owner.Options{Log: slog.New(slog.DiscardHandler), Count: func(string, string) {}}, nil, nil)
	return &ownedGroup{Owner: o, end: func() {}}
}

// A successor that hears of its claim before the owner does must not take the
// targets that the owner still uses.
func TestNothingIsReleasedBeforeTheHandoverIsKnown(t *testing.T) {
	n := &Node{own: idleOwner()}
	released := peerCalls{n}.Release(t.Context(), "g")
	must.False(t, released.All)
	must.SliceEmpty(t, released.Targets)
}

// A VM that has nothing of the group any more says so.
func TestAllIsReleasedWhereNothingIsLeft(t *testing.T) {
	must.True(t, peerCalls{&Node{}}.Release(t.Context(), "g").All)
}
