// Package intake bounds what the requests of clients hold while they arrive, are decoded and are served: bytes of
// memory and places for connections.
//
// Budget decides how many bytes a request may hold, Places which connection makes way for a new one, Header what
// a header that is still arriving costs. They have no clock, socket or goroutine. Listener applies them to the
// connections of an HTTP server.
//
// Invariants: all accounts of a budget together hold at most their guaranteed bytes and the shared ones. A
// request within its guaranteed bytes is never refused for what others hold. A connection whose request is being
// served is never closed for another one. No more connections than places are open.
package intake

import (
	"sync"
	"sync/atomic"

	"github.com/zeebo/errs/v2"
	"golang.org/x/sync/semaphore"
)

// ErrFull means that requests hold all the memory that is set aside for them. Nothing of the refused request was
// handed on.
const ErrFull = errs.Tag("memory for requests is full")

// Budget is the memory for the requests of a server. Each connection may hold some guaranteed bytes, so that
// small requests are served beside large ones; what it holds beyond these comes from a part that all connections
// share. It is safe for concurrent use.
type Budget struct {
	guaranteed, shared int64
	free               *semaphore.Weighted
	used               atomic.Int64
}

// NewBudget returns a budget with guaranteed bytes for each connection and shared bytes for all of them.
func NewBudget(guaranteed, shared int64) *Budget {
	return &Budget{guaranteed: guaranteed, shared: shared, free: semaphore.NewWeighted(shared)}
}

// Used returns how many of the shared bytes are held.
func (b *Budget) Used() int64 { return b.used.Load() }

// Shared returns the number of shared bytes.
func (b *Budget) Shared() int64 { return b.shared }

// NewAccount returns an account that holds nothing.
func (b *Budget) NewAccount() *Account { return &Account{budget: b} }

// Account is what one connection holds of a budget. A nil account has no bound. It is safe for concurrent use.
type Account struct {
	budget *Budget
	mu     sync.Mutex
	held   int64
	closed bool
}

// Reserve adds bytes to what is held. With ErrFull it adds nothing.
func (a *Account) Reserve(bytes int64) error {
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	more := a.sharedPart(a.held+bytes) - a.sharedPart(a.held)
	if a.closed || !a.budget.free.TryAcquire(more) {
		return ErrFull.Errorf("%d bytes more than the %d that are always free are not available now: send the request again later, or a smaller one", more, a.budget.guaranteed)
	}
	a.budget.used.Add(more)
	a.held += bytes
	return nil
}

// Release gives back bytes that were reserved.
func (a *Account) Release(bytes int64) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shrinkTo(max(a.held-bytes, 0))
}

// Close gives back everything; nothing can be reserved after that.
func (a *Account) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shrinkTo(0)
	a.closed = true
}

// shrinkTo sets what is held to a smaller number of bytes.
func (a *Account) shrinkTo(held int64) {
	less := a.sharedPart(a.held) - a.sharedPart(held)
	a.held = held
	a.budget.used.Add(-less)
	a.budget.free.Release(less)
}

// sharedPart returns how many of the bytes held are not guaranteed.
func (a *Account) sharedPart(held int64) int64 { return max(held-a.budget.guaranteed, 0) }
