package peer

import (
	"context"
	"net/http"

	"github.com/burdockward/burdockward/peer/peerpb"
)

// host is the Host header of requests. A peers' port serves one process, so the name has
// no meaning.
const host = "vm"

// Handler returns the handler of the peers' port.
func (t *Transport) Handler() http.Handler {
	peers := peerpb.NewPeerServer(&server{t})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		peers.ServeHTTP(briefWriter{w}, r)
	})
}

// briefWriter leaves out header fields that no peer reads. With those of briefTransport
// they are more than half of the bytes of an exchange of heartbeats.
type briefWriter struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (b briefWriter) WriteHeader(status int) {
	b.Header()["Date"] = nil
	if status == http.StatusOK {
		b.Header()["Content-Type"] = nil
	}
	b.ResponseWriter.WriteHeader(status)
}

func newHTTPClient(o Options) *http.Client {
	return &http.Client{Transport: &briefTransport{
		header: o.Header,
		next: &http.Transport{
			MaxIdleConnsPerHost: o.Parallel + 2,
			IdleConnTimeout:     o.IdleLink,
			DisableCompression:  true,
			// Peers are reached by IP address, never through a proxy.
			Proxy: nil,
		},
	}}
}

// briefTransport leaves out header fields that no peer reads, and adds those of
// Options.Header.
type briefTransport struct {
	next *http.Transport
	// header may be nil.
	header func(ctx context.Context, header http.Header)
}

// RoundTrip implements http.RoundTripper.
func (b *briefTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Host = host
	r.Header.Del("Accept")
	r.Header.Del("Twirp-Version")
	// With an empty value, net/http does not add its own User-Agent.
	r.Header.Set("User-Agent", "")
	if b.header != nil {
		b.header(r.Context(), r.Header)
	}
	return b.next.RoundTrip(r)
}

// CloseIdleConnections is called by http.Client to close unused connections.
func (b *briefTransport) CloseIdleConnections() { b.next.CloseIdleConnections() }
