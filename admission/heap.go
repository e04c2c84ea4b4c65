package admission

// indexHeap is a binary heap whose items store their place in it, so that an
// item whose key changed is moved in O(log n). The place of an absent item is 0.
type indexHeap[T any] struct {
	items []*T
	less  func(a, b *T) bool
	place func(*T) *int
}

// top returns the first item, or nil when the heap is empty.
func (h *indexHeap[T]) top() *T {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

// has reports whether the item is in the heap.
func (h *indexHeap[T]) has(item *T) bool { return *h.place(item) != 0 }

// put adds the item, or repositions it when it is in the heap already.
func (h *indexHeap[T]) put(item *T) {
	if !h.has(item) {
		h.items = append(h.items, item)
		*h.place(item) = len(h.items)
	}
	i := *h.place(item) - 1
	if !h.down(i) {
		h.up(i)
	}
}

// remove removes the item; an absent item is ignored.
func (h *indexHeap[T]) remove(item *T) {
	i := *h.place(item) - 1
	if i < 0 {
		return
	}
	last := len(h.items) - 1
	h.swap(i, last)
	h.items[last] = nil
	h.items = h.items[:last]
	*h.place(item) = 0
	if i < last && !h.down(i) {
		h.up(i)
	}
}

// sumBefore returns the sum of weigh over the items that come before the given
// one, which need not be in the heap. It visits these items and their children;
// ok is false when this takes the given number of visits or more.
func (h *indexHeap[T]) sumBefore(item *T, visits int, weigh func(*T) int) (sum int, ok bool) {
	sum = h.sumBeforeFrom(0, item, &visits, weigh)
	return sum, visits > 0
}

func (h *indexHeap[T]) sumBeforeFrom(i int, item *T, visits *int, weigh func(*T) int) int {
	*visits--
	if *visits <= 0 || i >= len(h.items) || !h.less(h.items[i], item) {
		return 0
	}
	sum := weigh(h.items[i])
	sum += h.sumBeforeFrom(2*i+1, item, visits, weigh)
	sum += h.sumBeforeFrom(2*i+2, item, visits, weigh)
	return sum
}

func (h *indexHeap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.place(h.items[i]) = i + 1
	*h.place(h.items[j]) = j + 1
}

func (h *indexHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexHeap[T]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if right := child + 1; right < len(h.items) && h.less(h.items[right], h.items[child]) {
			child = right
		}
		if !h.less(h.items[child], h.items[i]) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > start
}
