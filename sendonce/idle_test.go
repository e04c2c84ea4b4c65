package sendonce

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"
)

// meetingServer holds requests until there are n of them, and then answers them.
func meetingServer(t *testing.T, n int) (url string) {
	var mu sync.Mutex
	waiting := 0
	all := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		mu.Lock()
		met := all
		if waiting++; waiting == n {
			waiting, all = 0, make(chan struct{})
			close(met)
		}
		mu.Unlock()
		<-met
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func countDials(dials *atomic.Int32) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		dials.Add(1)
		return new(net.Dialer).DialContext(ctx, network, address)
	}
}

// The test sends twice as many concurrent posts as idle connections are kept, and then as
// many again.
func TestIdleConnectionsOfOneHostAreBounded(t *testing.T) {
	const concurrent = 2 * DefaultMaxIdleOfHost
	url := meetingServer(t, concurrent)
	var dials atomic.Int32
	client := New(Options{Dial: countDials(&dials)})
	for range 2 {
		var all errgroup.Group
		for range concurrent {
			all.Go(func() error {
				_, err := client.Post(t.Context(), url, body)
				return err
			})
		}
		must.NoError(t, all.Wait())
	}
	must.Eq(t, concurrent+concurrent-DefaultMaxIdleOfHost, dials.Load())
}

// The client keeps one idle connection for two hosts.
func TestIdleConnectionsOfAllHostsAreBounded(t *testing.T) {
	first, second := okServer(t), okServer(t)
	var dials atomic.Int32
	client := New(Options{MaxIdle: 1, Dial: countDials(&dials)})
	for _, url := range []string{first, second, first, first} {
		_, err := client.Post(t.Context(), url, body)
		must.NoError(t, err)
	}
	must.Eq(t, 3, dials.Load())
}
