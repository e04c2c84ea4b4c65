package peer

import (
	"context"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/burdockward/burdockward/peer/peerpb"
	"github.com/shoenig/test/must"
)

// header holds the Host and the names of the header fields of one exchange.
type header struct {
	host              string
	request, response []string
}

// exchangeHeaders calls Wait at a VM and returns the names of the header fields.
func exchangeHeaders(t *testing.T, incarnation uint64) (h header, err error) {
	a, _, _ := newVM(t, "a", 1, false)
	b := New(Options{Self: Sender{ID: "b", Incarnation: 2}})
	b.RegisterWaiter(knownWaiter{})
	// This server sees the request before the handler, and so before twirp.
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.host = r.Host
		h.request = slices.Sorted(maps.Keys(r.Header))
		b.Handler().ServeHTTP(w, r)
	}))
	defer s.Close()
	a.client = &http.Client{Transport: responseHeaders{a.client.Transport, &h.response}}
	_, err = a.Wait(t.Context(), strings.TrimPrefix(s.URL, "http://"), &peerpb.WaitRequest{Key: "k", ReceiverIncarnation: incarnation})
	return h, err
}

// responseHeaders records the header fields of responses.
type responseHeaders struct {
	http.RoundTripper
	names *[]string
}

func (n responseHeaders) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := n.RoundTripper.RoundTrip(r)
	if err == nil {
		*n.names = slices.Sorted(maps.Keys(response.Header))
	}
	return response, err
}

func TestExchangeHasFewHeaderFields(t *testing.T) {
	h, err := exchangeHeaders(t, 2)
	must.NoError(t, err)
	must.Eq(t, host, h.host)
	must.Eq(t, []string{"Content-Length", "Content-Type"}, h.request)
	must.Eq(t, []string{"Content-Length"}, h.response)
}

func TestErrorKeepsItsContentType(t *testing.T) {
	h, err := exchangeHeaders(t, 7)
	must.ErrorContains(t, err, "has been replaced")
	must.Eq(t, []string{"Content-Length", "Content-Type"}, h.response)
}

// knownWaiter reports every submission as known.
type knownWaiter struct{}

func (knownWaiter) ServeWait(context.Context, *peerpb.WaitRequest) *peerpb.WaitResponse {
	return &peerpb.WaitResponse{Known: true}
}
