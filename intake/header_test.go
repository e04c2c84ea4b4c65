package intake

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestHeaderCostsItsBytesAndItsFields(t *testing.T) {
	header := "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	var h Header
	must.Eq(t, int64(len(header)+3*fieldBytes), h.Add([]byte(header+strings.Repeat("body\n", 100))))
	must.Eq(t, 0, h.Add([]byte("more\nof\nthe body")))
}

// However a header is cut into pieces, its cost is the same, and its body costs nothing.
func TestFuzzHeaderCostDoesNotDependOnPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fields := rapid.IntRange(0, 20).Draw(t, "fields")
		header := "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", fields) + "\r\n"
		rest := header + "body\n\n"
		var h Header
		cost := int64(0)
		for len(rest) > 0 {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			cost += h.Add([]byte(rest[:n]))
			rest = rest[n:]
		}
		must.Eq(t, int64(len(header)+(fields+2)*fieldBytes), cost)
	})
}

// Fields that arrive in one piece with the previous request cost as much as others.
func TestFieldsBehindTheFirstRequestAreCounted(t *testing.T) {
	first := "GET / HTTP/1.1\r\n\r\n"
	fields := strings.Repeat("a:\r\n", 500)
	var h Header
	cost := h.Add([]byte(first + fields))
	h.End()
	// The server reads a byte while it serves the request.
	cost += h.Add([]byte("a"))
	cost += h.Next()
	must.GreaterEq(t, int64(len(fields)+500*fieldBytes), cost)
	cost += h.Add([]byte("b:\r\n"))
	must.GreaterEq(t, int64(len(fields)+501*fieldBytes), cost)
}
