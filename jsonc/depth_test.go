package jsonc

import (
	"runtime"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Parsing a deeply nested text takes a stack of hundreds of megabytes: a process that reads such a row exceeds
// its memory each time it starts. Strings and comments don't hide the nesting, nor count as such.
func TestDeeplyNestedTextIsNotParsed(t *testing.T) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for _, text := range []string{
		strings.Repeat("[", 60_000),
		strings.Repeat(`{"a":`, 60_000),
		`{"a":` + strings.Repeat("[", maxDepth) + strings.Repeat("]", maxDepth) + "}",
		"// a \"\n" + strings.Repeat("[", 60_000),
		"/* \" */" + strings.Repeat("[", 60_000),
		`["\\",` + strings.Repeat("[", 60_000),
		`["//",` + strings.Repeat("[", 60_000),
		strings.Repeat("[]", 10) + strings.Repeat("[/*]*/", 60_000),
	} {
		document, problems := Parse([]byte(text))
		must.Nil(t, document)
		must.SliceLen(t, 1, problems)
		must.StrContains(t, problems[0].String(), "nested too deeply")
	}
	runtime.ReadMemStats(&after)
	must.Less(t, 8<<20, after.StackSys-before.StackSys)
}

func TestShallowTextIsParsed(t *testing.T) {
	for _, text := range []string{
		strings.Repeat("[", maxDepth) + strings.Repeat("]", maxDepth),
		`["` + strings.Repeat("[", 1000) + `\"` + strings.Repeat("{", 1000) + `"]`,
		"[ // " + strings.Repeat("[", 1000) + "\n1, /*" + strings.Repeat("{", 1000) + "*/ 2]",
		"[" + strings.Repeat("[[]],", 1000) + "]",
		"1 //\n",
		"1 /**/",
	} {
		document, problems := Parse([]byte(text))
		must.SliceEmpty(t, problems, must.Sprint(problems))
		must.NotNil(t, document)
	}
}
