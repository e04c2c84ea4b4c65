// Package jsonc decodes JSON with comments and trailing commas into structs. Its input is a text
// and a struct with defaults; its output is the filled struct, the line of each path and the
// problems.
//
// Decoding continues after a fault, so that all faults of a text are reported at once, each with
// its path, line, value and remedy. A missing or faulty value leaves the default in place.
package jsonc

import (
	"bytes"
	"fmt"

	"github.com/tailscale/hujson"
)

// Document is a parsed text, or one element of a text that is a list.
type Document struct {
	text  []byte
	path  string
	value *hujson.Value
}

// Decoded is what decoding returns besides the values.
type Decoded struct {
	// Lines has the line of each path of the text, from 1.
	Lines map[string]int
	// Problems has the faults in the order of the text.
	Problems []Problem
}

// maxDepth bounds how deeply lists and objects are nested: parsing takes about a kilobyte of stack a level.
const maxDepth = 64

// Parse parses a text. A text with a syntax error, or that is nested too deeply, has only that problem and no
// document.
func Parse(text []byte) (*Document, []Problem) {
	if isTooDeep(text) {
		return nil, []Problem{{Fault: "lists and objects are nested too deeply", Remedy: fmt.Sprintf("write at most %d levels", maxDepth)}}
	}
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, []Problem{{Fault: err.Error(), Remedy: "correct the JSON syntax; comments and trailing commas are allowed"}}
	}
	return &Document{text: text, value: &root}, nil
}

// isTooDeep reports whether a text is nested in more than maxDepth levels, outside of strings and comments.
func isTooDeep(text []byte) bool {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i += endOfString(text[i+1:])
		case '/':
			i += endOfComment(text[i:])
		case '[', '{':
			if depth++; depth > maxDepth {
				return true
			}
		case ']', '}':
			depth--
		}
	}
	return false
}

// endOfString returns the length of a string without its first quote.
func endOfString(text []byte) int {
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(text)
}

// endOfComment returns by how much the index of a slash has to grow to be that of the last byte of its
// comment; 0 if it begins none.
func endOfComment(text []byte) int {
	for _, kind := range [][2]string{{"//", "\n"}, {"/*", "*/"}} {
		rest, is := bytes.CutPrefix(text, []byte(kind[0]))
		if !is {
			continue
		}
		if end := bytes.Index(rest, []byte(kind[1])); end >= 0 {
			return len(kind[0]) + end + len(kind[1]) - 1
		}
		return len(text)
	}
	return 0
}

// Decode parses a text and decodes it into out, as Document.Decode does.
func Decode(text []byte, out any) Decoded {
	document, problems := Parse(text)
	if document == nil {
		return Decoded{Problems: problems}
	}
	return document.Decode(out)
}

// Path returns the path of the document, such as "[3]"; empty for a whole text.
func (d *Document) Path() string { return d.path }

// Elements returns the elements of a document that is a list, otherwise only the document itself.
func (d *Document) Elements() []*Document {
	array, ok := d.value.Value.(*hujson.Array)
	if !ok {
		return []*Document{d}
	}
	elements := make([]*Document, 0, len(array.Elements))
	for i := range array.Elements {
		elements = append(elements, &Document{text: d.text, path: elementPath(d.path, i), value: &array.Elements[i]})
	}
	return elements
}
