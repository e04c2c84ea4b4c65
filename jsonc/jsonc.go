// Package jsonc decodes JSON with comments and trailing commas into structs. Its input is a text
// and a struct with defaults; its output is the filled struct, the line of each path and the
// problems.
//
// Decoding continues after a fault, so that all faults of a text are reported at once, each with
// its path, line, value and remedy. A missing or faulty value leaves the default in place.
package jsonc

import (
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

// Parse parses a text. A text with a syntax error has only that problem and no document.
func Parse(text []byte) (*Document, []Problem) {
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, []Problem{{Fault: err.Error(), Remedy: "correct the JSON syntax; comments and trailing commas are allowed"}}
	}
	return &Document{text: text, value: &root}, nil
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
