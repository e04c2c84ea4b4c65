package link

import (
	"context"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/sendonce/sendoncetest"
	"github.com/burdockward/burdockward/work"
)

// configured is a VM that has a configuration and knows no job.
type configured struct{ Handler }

func (configured) State(context.Context, string) work.JobState { return work.StateAbsent }

func (configured) Tables() Tables { return Tables{Configuration: []byte("{}")} }

// The open connection to a VM falls silent, and new ones work. The configuration must still come with the
// first call, within its time limit.
func TestTablesAreFetchedBesideSilentConnection(t *testing.T) {
	server := sendoncetest.NewSilentServer(t, 1, NewServer(configured{}))
	client := NewClient()
	defer client.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	_, err := client.State(t.Context(), address, "job")
	must.NoError(t, err)
	server.Silence()
	tables, err := client.Tables(t.Context(), address)
	must.NoError(t, err)
	must.Eq(t, "{}", string(tables.Configuration))
}
