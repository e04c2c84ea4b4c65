package tableservice

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"github.com/burdockward/burdockward/sendonce/sendoncetest"
)

// All open connections fall silent at once, and new ones work. After one unanswered read, the next one must
// not wait on another silent connection that was idle.
func TestReadAfterUnansweredOneUsesNoIdleConnection(t *testing.T) {
	const connections = 3
	server := sendoncetest.NewSilentServer(t, connections, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{}`))
	}))
	client, err := New(Options{URL: server.URL, ReadTimeout: 200 * time.Millisecond})
	must.NoError(t, err)
	defer client.Close()
	var reads errgroup.Group
	for range connections {
		reads.Go(func() error {
			_, err := client.Changes(t.Context(), "t", 0)
			return err
		})
	}
	must.NoError(t, reads.Wait())
	server.Silence()
	_, err = client.Changes(t.Context(), "t", 0)
	must.ErrorIs(t, err, ErrUnavailable)
	_, err = client.Changes(t.Context(), "t", 0)
	must.NoError(t, err)
}
