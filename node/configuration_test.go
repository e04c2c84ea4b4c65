package node

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/ownership"
	"github.com/burdockward/burdockward/platform/wire"
)

// A configuration with an older or equal version is never put in force, whichever source sends it.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	c := configuration{log: slog.New(slog.DiscardHandler)}
	must.Eq(t, 0, c.version())
	must.True(t, c.updateIfNewer([]byte(`{"version":7}`), "store"))
	must.False(t, c.updateIfNewer([]byte(`{"version":3}`), "peer"))
	must.False(t, c.updateIfNewer([]byte(`{"version":7}`), "peer"))
	must.False(t, c.updateIfNewer([]byte(`junk`), "peer"))
	must.Eq(t, 7, c.version())
	must.True(t, c.updateIfNewer([]byte(`{"version":8}`), "peer"))
	must.Eq(t, 8, c.version())
}

// A VM that is cut off from the store receives a configuration of a quarter of a megabyte from a
// peer over a real socket, complete, and finds each of its routes.
func TestLargeConfigurationReachesPeersComplete(t *testing.T) {
	const size = 256 << 10
	sent := wire.Configuration{Version: 9}
	var raw []byte
	for i := 0; len(raw) < size; i++ {
		for range 100 {
			at := len(sent.Routes)
			sent.Routes = append(sent.Routes, wire.Route{
				Name: fmt.Sprint("queue-", at), Host: fmt.Sprintf("h%d.example", at%7), PathPrefix: fmt.Sprintf("/a%d/", at), Service: "s",
			})
		}
		var err error
		raw, err = json.Marshal(sent)
		must.NoError(t, err)
	}
	log := slog.New(slog.DiscardHandler)
	from := &Node{config: configuration{log: log}, keeper: ownership.New(ownership.Options{}, nil, nil)}
	must.True(t, from.config.updateIfNewer(raw, "store"))
	server := httptest.NewServer(from.handler())
	t.Cleanup(server.Close)
	tables, err := linkpb.NewFleetProtobufClient(server.URL, server.Client()).Tables(t.Context(), &linkpb.TablesRequest{})
	must.NoError(t, err)
	to := configuration{log: log}
	must.True(t, to.updateIfNewer(tables.GetConfiguration(), "peer"))
	held := to.held.Load()
	must.SliceLen(t, len(sent.Routes), held.Routes)
	for _, want := range sent.Routes {
		route, found := held.FindRoute(want.Host, want.PathPrefix+"5c0e7a21d94b36f8")
		must.True(t, found)
		must.Eq(t, want.Name, route.Queue.Name)
	}
}

// The time behind peers counts from the first report of a newer version until that one is in force.
func TestTimeBehindPeersEndsWithNewerConfiguration(t *testing.T) {
	c := configuration{log: slog.New(slog.DiscardHandler)}
	must.True(t, c.updateIfNewer([]byte(`{"version":7}`), "store"))
	c.recordPeerVersion(7, 10*time.Second)
	must.Eq(t, 0, c.behind(11*time.Second))
	c.recordPeerVersion(8, 12*time.Second)
	c.recordPeerVersion(9, 13*time.Second)
	must.Eq(t, 3*time.Second, c.behind(15*time.Second))
	must.True(t, c.updateIfNewer([]byte(`{"version":9}`), "peer"))
	must.Eq(t, 0, c.behind(16*time.Second))
}
