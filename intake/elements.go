package intake

// CountElements returns the number of elements of a valid JSON list, at least 1. A list is counted before it is
// decoded where an element of a few bytes takes much more memory once it is decoded.
func CountElements(list []byte) int {
	n, depth, inText := 1, 0, false
	for i := 0; i < len(list); i++ {
		switch c := list[i]; {
		case inText && c == '\\':
			i++
		case c == '"':
			inText = !inText
		case inText:
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			depth--
		case c == ',' && depth == 1:
			n++
		}
	}
	return n
}
