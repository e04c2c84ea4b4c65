package link

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/work"
)

// configured is a VM that has a configuration and knows no job.
type configured struct{ Handler }

func (configured) State(context.Context, string) work.JobState { return work.StateAbsent }

func (configured) Tables() Tables { return Tables{Configuration: []byte("{}")} }

// The open connection to a VM falls silent, and new ones work. The configuration must still come with the
// first call, within its time limit.
func TestTablesAreFetchedBesideSilentConnection(t *testing.T) {
	peer := NewServer(configured{})
	silent := ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch silent {
		case "":
			silent = r.RemoteAddr
		case r.RemoteAddr:
			<-r.Context().Done()
			return
		}
		peer.ServeHTTP(w, r)
	}))
	defer server.Close()
	client := NewClient()
	defer client.Close()
	address := server.Listener.Addr().String()
	_, err := client.State(t.Context(), address, "job")
	must.NoError(t, err)
	tables, err := client.Tables(t.Context(), address)
	must.NoError(t, err)
	must.Eq(t, "{}", string(tables.Configuration))
}
