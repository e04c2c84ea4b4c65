package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/burdockward/burdockward/jsonc"
)

// Problem is one fault of a settings file.
type Problem = jsonc.Problem

// Error has all problems of one settings file.
type Error struct {
	// Path is the path of the file.
	Path string
	// Problems has the file's faults in the order of its lines.
	Problems []Problem
}

// Error lists each problem on a line of its own.
func (e *Error) Error() string {
	var b strings.Builder
	noun := "problems"
	if len(e.Problems) == 1 {
		noun = "problem"
	}
	fmt.Fprintf(&b, "%s: %d %s", e.Path, len(e.Problems), noun)
	for _, p := range e.Problems {
		b.WriteString("\n  ")
		b.WriteString(p.String())
	}
	return b.String()
}

// merge joins the problems of decoding and checking in the order of the file. Problems that the
// check finds at a key that could not be decoded are left out: the key has its default there.
func merge(decoded, checked []Problem, lines map[string]int) []Problem {
	all := slices.Clone(decoded)
	for _, p := range checked {
		if jsonc.IsCovered(decoded, p.Path) {
			continue
		}
		p.Line = lines[p.Path]
		all = append(all, p)
	}
	slices.SortStableFunc(all, func(a, b Problem) int {
		return cmp.Compare(sortLine(a), sortLine(b))
	})
	return all
}

// sortLine returns the line to sort a problem by. Missing keys have no line and come last.
func sortLine(p Problem) int {
	if p.Line == 0 {
		return int(^uint(0) >> 1)
	}
	return p.Line
}
