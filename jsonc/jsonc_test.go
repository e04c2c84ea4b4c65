package jsonc_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/jsonc"
)

type inner struct {
	Wait time.Duration `json:"wait,omitempty"`
}

type outer struct {
	Name   string           `json:"name"`
	Count  int              `json:"count"`
	Ratio  float64          `json:"ratio"`
	On     bool             `json:"on"`
	Addr   netip.AddrPort   `json:"addr"`
	Inner  inner            `json:"inner"`
	Shares map[string]int   `json:"shares"`
	Inners map[string]inner `json:"inners"`
	List   []int            `json:"list"`
	Rest   int              `json:"rest"`
}

func TestDecodeFillsEveryKind(t *testing.T) {
	out := outer{Name: "kept", Shares: map[string]int{"old": 9}}
	decoded := jsonc.Decode([]byte(`{
	  // A comment.
	  "count": 3, "ratio": 0.5, "on": true,
	  "addr": "192.0.2.7:7100", "inner": {"wait": "2s"},
	  "shares": {"a": 1, "b": 2},
	  "inners": {"x": {"wait": "1ms"}}, "list": [4, 5,],
	}`), &out)
	must.SliceEmpty(t, decoded.Problems)
	must.Eq(t, outer{
		Name: "kept", Count: 3, Ratio: 0.5, On: true,
		Addr: netip.MustParseAddrPort("192.0.2.7:7100"), Inner: inner{2 * time.Second},
		Shares: map[string]int{"a": 1, "b": 2},
		Inners: map[string]inner{"x": {time.Millisecond}}, List: []int{4, 5},
	}, out)
	must.Eq(t, 3, decoded.Lines["count"])
	must.Eq(t, 5, decoded.Lines["shares.b"])
	must.Eq(t, 6, decoded.Lines["list[1]"])
}

// Each text has one fault, in its second line; the other values are decoded.
func TestDecodeNamesTheFault(t *testing.T) {
	const keys = "addr, count, inner, inners, list, name, on, ratio, rest, shares"
	long := `"` + strings.Repeat("x", 100) + `"`
	for text, want := range map[string]string{
		`"colour": 1`:               `colour = 1: is not a known key; remove it or use one of ` + keys,
		`"Name": "x"`:               `Name = "x": is not a known key; remove it or use one of ` + keys,
		`"on": false, "on": true`:   `on = true: is given twice; keep one of the two`,
		`"name": 7`:                 `name = 7: is not a string; write a string, or remove the key to take the default`,
		`"name": null`:              `name = null: is not a string; write a string, or remove the key to take the default`,
		`"ratio": "x"`:              `ratio = "x": is not a number; write a number, or remove the key to take the default`,
		`"on": 1`:                   `on = 1: is not true or false; write true or false, or remove the key to take the default`,
		`"inner": [1]`:              `inner = [1]: is not an object; write {...} with the keys wait`,
		`"inner": {"x": 1}`:         `inner.x = 1: is not a known key; remove it or use one of wait`,
		`"inner": {"wait": 2}`:      `inner.wait = 2: is not a duration; write a string with a unit, such as "500ms" or "2s"`,
		`"inner": {"wait": "2"}`:    `inner.wait = "2": is not a duration; write a string with a unit, such as "500ms" or "2s"`,
		`"addr": "host:1"`:          `addr = "host:1": is not an IP address with a port; write IP:port without a host name, such as "192.0.2.7:7100" or "[2001:db8::7]:7100"`,
		`"shares": 1`:               `shares = 1: is not an object; write {...} with a whole number for each name`,
		`"shares": null`:            `shares = null: is not an object; write {...} with a whole number for each name`,
		`"shares": {"a": 1.5}`:      `shares.a = 1.5: is not a whole number; write a whole number, or remove the key to take the default`,
		`"shares": {"a":1, "a":2}`:  `shares.a = 2: is given twice; keep one of the two`,
		`"inners": {"a": {"b": 1}}`: `inners.a.b = 1: is not a known key; remove it or use one of wait`,
		`"list": "x"`:               `list = "x": is not a list; write [...]`,
		`"list": [1, "x"]`:          `list[1] = "x": is not a whole number; write a whole number, or remove the key to take the default`,
		`"count": ` + long:          `count = ` + long[:60] + `...: is not a whole number; write a whole number, or remove the key to take the default`,
	} {
		var out outer
		decoded := jsonc.Decode([]byte("{\n"+text+",\n\"rest\": 3}"), &out)
		must.SliceLen(t, 1, decoded.Problems, must.Sprintf("%s: %v", text, decoded.Problems))
		must.Eq(t, "line 2: "+want, decoded.Problems[0].String())
		must.Eq(t, 3, out.Rest, must.Sprint("the key after the fault was not decoded"))
	}
}

func TestDecodeReportsEveryFault(t *testing.T) {
	var out outer
	decoded := jsonc.Decode([]byte(`{"name": 1, "list": ["a", 2, null], "shares": {"a": "x", "b": 1, "b": 2, "b": 3}, "x": 1}`), &out)
	var paths []string
	for _, p := range decoded.Problems {
		paths = append(paths, p.Path+" = "+p.Value)
	}
	must.Eq(t, []string{`name = 1`, `list[0] = "a"`, `list[2] = null`, `shares.a = "x"`, `shares.b = 2`, `shares.b = 3`, `x = 1`}, paths)
	must.Eq(t, 1, out.Shares["b"])
}

func TestElementsOfListAreDecodedSeparately(t *testing.T) {
	document, problems := jsonc.Parse([]byte("[{\"name\": \"a\"},\n7]"))
	must.SliceEmpty(t, problems)
	elements := document.Elements()
	must.SliceLen(t, 2, elements)
	var out outer
	must.SliceEmpty(t, elements[0].Decode(&out).Problems)
	must.Eq(t, "a", out.Name)
	must.Eq(t, "[1]", elements[1].Path())
	must.StrHasPrefix(t, "line 2: [1] = 7: is not an object", elements[1].Decode(&out).Problems[0].String())

	document, _ = jsonc.Parse([]byte(`{"name": "b"}`))
	must.SliceLen(t, 1, document.Elements())
	must.True(t, document == document.Elements()[0])
	must.Eq(t, "", document.Path())
}

func TestSyntaxErrorIsTheOnlyProblem(t *testing.T) {
	document, problems := jsonc.Parse([]byte(`{"name" 1}`))
	must.Nil(t, document)
	must.SliceLen(t, 1, problems)
	must.StrContains(t, problems[0].String(), "; correct the JSON syntax; comments and trailing commas are allowed")
	must.Eq(t, problems, jsonc.Decode([]byte(`{"name" 1}`), &outer{}).Problems)
}

func TestIsCoveredBySamePathAboveOrBelow(t *testing.T) {
	at := func(path string) []jsonc.Problem { return []jsonc.Problem{{Path: path}} }
	for _, c := range []struct {
		problem, path string
		want          bool
	}{
		{"", "a", true},
		{"a", "a", true},
		{"a", "a.b", true},
		{"a", "a[0]", true},
		{"a.b", "a", true},
		{"a[0]", "a", true},
		{"a", "ab", false},
		{"ab", "a", false},
		{"a.b", "a.c", false},
	} {
		must.Eq(t, c.want, jsonc.IsCovered(at(c.problem), c.path), must.Sprintf("%q and %q", c.problem, c.path))
	}
	must.False(t, jsonc.IsCovered(nil, "a"))
}
