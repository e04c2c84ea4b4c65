// Package ring provides a bounded queue between goroutines that never blocks the sender.
package ring

// Ring is a bounded first-in-first-out queue. A full ring refuses new items, so that the sender
// decides whether to drop them or to refuse its own caller. It is safe for concurrent use.
type Ring[T any] struct {
	items chan T
}

// New creates a ring for size items.
func New[T any](size int) *Ring[T] { return &Ring[T]{items: make(chan T, size)} }

// Offer adds an item unless the ring is full, and reports whether it did.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

// Items returns the channel from which items are received.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.items) }
