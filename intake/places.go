package intake

import "container/list"

// Places decides which connection makes way for a new one once a limit is reached. A connection waits while its
// client owes something: a request, or the rest of one. The one that has waited longest makes way first.
type Places[C comparable] struct {
	limit int
	// open has all connections with their elements of waiting; nil for those whose requests are being served.
	open map[C]*list.Element
	// waiting has the connections that wait, the longest first.
	waiting *list.List
}

// NewPlaces returns places for up to limit connections.
func NewPlaces[C comparable](limit int) *Places[C] {
	return &Places[C]{limit: limit, open: map[C]*list.Element{}, waiting: list.New()}
}

// Full reports whether all places are taken.
func (p *Places[C]) Full() bool { return len(p.open) >= p.limit }

// Len returns the number of connections.
func (p *Places[C]) Len() int { return len(p.open) }

// Add adds a connection, which waits for its first request. It takes a place even if there is none.
func (p *Places[C]) Add(c C) { p.open[c] = p.waiting.PushBack(c) }

// LongestWaiting returns the connection that is to make way; false if none waits.
func (p *Places[C]) LongestWaiting() (c C, ok bool) {
	first := p.waiting.Front()
	if first == nil {
		return c, false
	}
	return first.Value.(C), true
}

// SetServing notes that a connection's request is being served: it keeps its place.
func (p *Places[C]) SetServing(c C) {
	if element := p.open[c]; element != nil {
		p.waiting.Remove(element)
		p.open[c] = nil
	}
}

// SetWaiting notes that a connection waits for its client from now on.
func (p *Places[C]) SetWaiting(c C) {
	if element, open := p.open[c]; open && element == nil {
		p.open[c] = p.waiting.PushBack(c)
	}
}

// Remove frees the place of a connection and reports whether it had one.
func (p *Places[C]) Remove(c C) bool {
	element, open := p.open[c]
	if element != nil {
		p.waiting.Remove(element)
	}
	delete(p.open, c)
	return open
}
