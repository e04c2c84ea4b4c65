package intake

// fieldBytes is what a field of a decoded header takes beside its text: an entry of a map and a slice.
const fieldBytes = 160

// Header counts what the headers of a connection cost while they arrive. A field of a few bytes takes many times as
// much when decoded, so lines are counted beside bytes.
type Header struct {
	// ended says that the header is complete, blank that the present line has no text yet.
	ended, blank bool
	cost         int64
	// newest is what the data that came last, and that the server may hold in its buffer, would cost as a part of
	// a header.
	newest int64
}

// Add counts data that has arrived and returns by how much the cost has grown. What follows the end of the header
// is the body, which costs nothing here.
func (h *Header) Add(data []byte) int64 {
	before := h.cost
	// While it serves a request the server reads a single byte beside its buffer.
	if len(data) > 1 {
		h.newest = 0
	}
	for _, c := range data {
		cost := int64(1)
		if c == '\n' {
			cost += fieldBytes
		}
		h.newest += cost
		if !h.ended {
			h.cost += cost
			h.endLine(c)
		}
	}
	return h.cost - before
}

// endLine follows the lines of the header up to the first one without text.
func (h *Header) endLine(c byte) {
	switch c {
	case '\n':
		h.ended = h.blank
		h.blank = true
	case '\r':
	default:
		h.blank = false
	}
}

// End notes that the header is complete.
func (h *Header) End() { h.ended = true }

// Next begins the next header of the connection. Its beginning may be a part of the data that came last, for all
// of which it counts. Next returns by how much the cost has changed.
func (h *Header) Next() int64 {
	change := h.newest - h.cost
	*h = Header{cost: h.newest, newest: h.newest}
	return change
}
