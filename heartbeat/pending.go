package heartbeat

import (
	"maps"
	"slices"

	"github.com/burdockward/burdockward/link/linkpb"
)

// An owner's answer carries the pending jobs of all queues while they take little space. Otherwise it
// carries a page of them, in the order of the queues' names. The entry VM's next ping names the last
// queue that it has, so that a lost datagram only delays the page that it held. The entry VM uses the
// counts once it has all pages.

// Sizes of a page.
const (
	// minPageBytes leaves a datagram with a page below the usual MTU.
	minPageBytes = 900
	// maxPages is how many pages all queues take at most, unless a page would exceed maxPageBytes: they
	// are known within a second.
	maxPages     = 20
	maxPageBytes = 6 << 10
	// entryBytes is what an entry takes in a datagram besides its queue's name.
	entryBytes = 12
)

// pendingPage returns the pending jobs for an answer to a ping that has all queues up to after. The
// page is nil if the answer holds all queues.
func pendingPage(pending map[string]int32, after string) (map[string]int32, *linkpb.PendingPage) {
	total := 0
	for queue := range pending {
		total += len(queue) + entryBytes
	}
	if total <= minPageBytes {
		return pending, nil
	}
	limit := min(max(minPageBytes, total/maxPages), maxPageBytes)
	entries, page := map[string]int32{}, &linkpb.PendingPage{After: after}
	size := 0
	for _, queue := range slices.Sorted(maps.Keys(pending)) {
		if queue <= after {
			continue
		}
		if size += len(queue) + entryBytes; size > limit && len(entries) > 0 {
			page.HasMore = true
			break
		}
		entries[queue], page.Last = pending[queue], queue
	}
	return entries, page
}

// pendingPages collects the pages of an owner's pending jobs.
type pendingPages struct {
	// collected are the queues up to last, or none before the first page.
	collected map[string]int32
	last      string
}

// take adds a page and returns all queues once it is the last one. It ignores an answer to an
// earlier ping.
func (p *pendingPages) take(entries map[string]int32, page *linkpb.PendingPage) (pending map[string]int32, complete bool) {
	if page.GetAfter() != p.last {
		return nil, false
	}
	if p.collected == nil {
		p.collected = map[string]int32{}
	}
	maps.Copy(p.collected, entries)
	if page.GetHasMore() {
		p.last = page.GetLast()
		return nil, false
	}
	pending = p.collected
	*p = pendingPages{}
	return pending, true
}

// fitDatagram leaves out what an answer can do without until its size is below a limit: whether an
// owner counts as alive must not depend on how much it has to report. It returns whether anything was
// left out.
func fitDatagram(pong *linkpb.Pong, size func(*linkpb.Pong) int, limit int) bool {
	if size(pong) <= limit {
		return false
	}
	pong.Pending, pong.PendingPage = nil, nil
	for size(pong) > limit && len(pong.GetLoads()) > 0 {
		pong.Loads = pong.Loads[:len(pong.GetLoads())/2]
	}
	return true
}
