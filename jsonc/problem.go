package jsonc

import (
	"fmt"
	"strings"
)

// Problem is one fault of a text.
type Problem struct {
	// Path is the key, with dots between levels, such as "limits.submissions".
	Path string
	// Line is the line in the text, from 1; 0 if the key is not in the text.
	Line int
	// Value is the faulty value as written; empty if it is missing.
	Value string
	// Fault says what is wrong.
	Fault string
	// Remedy says what to write instead.
	Remedy string
}

// String formats the problem on one line.
func (p Problem) String() string {
	var b strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", p.Line)
	}
	if p.Path != "" {
		b.WriteString(p.Path)
		if p.Value != "" {
			fmt.Fprintf(&b, " = %s", p.Value)
		}
		b.WriteString(": ")
	}
	fmt.Fprintf(&b, "%s; %s", p.Fault, p.Remedy)
	return b.String()
}

// IsCovered reports whether a problem of decoding concerns a path: the problem is at the path,
// above it or below it. A value that could not be decoded keeps its default, so that a later check
// of the path would report a misleading problem. A problem without a path concerns all paths.
func IsCovered(problems []Problem, path string) bool {
	for _, p := range problems {
		if p.Path == "" || p.Path == path || isBelow(path, p.Path) || isBelow(p.Path, path) {
			return true
		}
	}
	return false
}

// isBelow reports whether a path is inside the object or list at another path.
func isBelow(path, above string) bool {
	return strings.HasPrefix(path, above+".") || strings.HasPrefix(path, above+"[")
}

// JoinPath returns the path of a key inside the object at a path.
func JoinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// elementPath returns the path of an element of the list at a path.
func elementPath(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }
