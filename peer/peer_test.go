package peer

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/burdockward/burdockward/peer/peerpb"
	"github.com/shoenig/test/must"
)

// recorder is a handler that records messages, and replies to them if echo is set.
type recorder struct {
	got  chan string
	echo bool
}

func (r *recorder) HandlePeer(_ context.Context, from Sender, bodies [][]byte) [][]byte {
	var replies [][]byte
	for _, b := range bodies {
		r.got <- from.ID + " " + string(b)
		if r.echo {
			replies = append(replies, []byte("re:"+string(b)))
		}
	}
	return replies
}

func newVM(t *testing.T, id string, incarnation uint64, echo bool) (*Transport, *recorder, string) {
	t.Helper()
	tr := New(Options{Self: Sender{ID: id, Incarnation: incarnation}})
	r := &recorder{got: make(chan string, 16), echo: echo}
	tr.Register(peerpb.Duty_DUTY_CLAIM, r)
	s := httptest.NewServer(tr.Handler())
	t.Cleanup(func() { tr.Close(); s.Close() })
	return tr, r, strings.TrimPrefix(s.URL, "http://")
}

func TestReplyReachesSender(t *testing.T) {
	a, ra, _ := newVM(t, "a", 1, false)
	_, rb, addr := newVM(t, "b", 2, true)
	must.True(t, a.Send(addr, 2, peerpb.Duty_DUTY_CLAIM, []byte("x")))
	must.Eq(t, "a x", <-rb.got)
	must.Eq(t, "b re:x", <-ra.got)
}

// counter replies to each number with the next one, up to last.
type counter struct {
	last byte
	got  chan byte
}

func (c *counter) HandlePeer(_ context.Context, _ Sender, bodies [][]byte) [][]byte {
	n := bodies[0][0]
	c.got <- n
	if n == c.last {
		return nil
	}
	return [][]byte{{n + 1}}
}

func TestReplyToReplyIsSent(t *testing.T) {
	a, _, _ := newVM(t, "a", 1, false)
	b, _, addr := newVM(t, "b", 2, false)
	got := make(chan byte, 8)
	a.Register(peerpb.Duty_DUTY_MEMBERSHIP, &counter{last: 5, got: got})
	b.Register(peerpb.Duty_DUTY_MEMBERSHIP, &counter{last: 5, got: got})
	must.True(t, a.Send(addr, 2, peerpb.Duty_DUTY_MEMBERSHIP, []byte{1}))
	for want := byte(1); want <= 5; want++ {
		must.Eq(t, want, <-got)
	}
}

func TestMessagesToReplacedProcessAreNotDelivered(t *testing.T) {
	a, _, _ := newVM(t, "a", 1, false)
	_, rb, addr := newVM(t, "b", 2, false)
	must.True(t, a.Send(addr, 7, peerpb.Duty_DUTY_CLAIM, []byte("stale")))
	must.True(t, a.Send(addr, 2, peerpb.Duty_DUTY_CLAIM, []byte("fresh")))
	must.Eq(t, "a fresh", <-rb.got)
	must.Eq(t, 0, len(rb.got))
}

// burner reports every key as burned.
type burner struct{}

func (burner) ServeBurn(_ context.Context, r *peerpb.BurnRequest) *peerpb.BurnResponse {
	return &peerpb.BurnResponse{Key: r.GetKey(), State: peerpb.KeyState_KEY_STATE_NOT_RUN}
}

func TestBurnReachesRegisteredBurner(t *testing.T) {
	a, _, _ := newVM(t, "a", 1, false)
	b, _, addr := newVM(t, "b", 2, false)
	_, err := a.Burn(t.Context(), addr, &peerpb.BurnRequest{Key: "k"})
	must.ErrorContains(t, err, "this VM is starting")
	b.RegisterBurner(burner{})
	r, err := a.Burn(t.Context(), addr, &peerpb.BurnRequest{Key: "k"})
	must.NoError(t, err)
	must.Eq(t, "k", r.GetKey())
	must.Eq(t, peerpb.KeyState_KEY_STATE_NOT_RUN, r.GetState())
}

func TestSendAfterCloseIsRefused(t *testing.T) {
	a := New(Options{Self: Sender{ID: "a"}})
	a.Close()
	must.False(t, a.Send("127.0.0.1:1", 0, peerpb.Duty_DUTY_CLAIM, nil))
}
