package owner

import (
	"log/slog"
	"reflect"

	"github.com/burdockward/burdockward/mirror"
	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/work"
)

// reader makes news of what the store tells of the registry. Each target writes its entry
// once a heartbeat, and most of that says nothing new: it is left out here, so that the
// decisions take time for what has changed alone, and a target that leaves isn't behind the
// heartbeats of all others.
type reader struct {
	domain string
	// last holds what was last passed on.
	last  map[string]work.Target
	log   *slog.Logger
	count func(what, label string)
}

// news is what has changed in the registry.
type news struct {
	// changes are in the order in which they came.
	changes []change
	// whole says that present is all there is.
	whole   bool
	present map[string]bool
}

// change is that of one entry.
type change struct {
	id string
	// target is nil where the entry names no target of the failure domain any more.
	target *work.Target
}

// empty reports whether there is nothing to take.
func (n news) empty() bool { return !n.whole && len(n.changes) == 0 }

// maxFaultyLines bounds the lines on faulty rows of one reading: hundreds of them would take
// the place of all else that is logged in that second.
const maxFaultyLines = 8

// read takes an answer of the store.
func (r *reader) read(update mirror.Update) news {
	n := news{whole: update.Whole}
	if n.whole {
		r.last = map[string]work.Target{}
		n.present = map[string]bool{}
	}
	faulty := 0
	for _, row := range update.Rows.Rows {
		if row.Deleted {
			r.drop(&n, row.Key)
			continue
		}
		target, err := platform.DecodeTarget(row.Key, row.Value)
		switch {
		case err != nil:
			r.count("rows_unreadable", string(platform.TargetsTable))
			if faulty++; faulty <= maxFaultyLines {
				r.log.Warn("row not understood", "table", platform.TargetsTable, "key", row.Key, "version", row.Version, "error", err)
			}
			r.drop(&n, row.Key)
		case target.FailureDomain != r.domain:
			r.drop(&n, row.Key)
		default:
			r.pass(&n, target)
		}
	}
	if faulty > maxFaultyLines {
		r.log.Warn("more rows not understood", "table", platform.TargetsTable, "rows", faulty-maxFaultyLines)
	}
	return n
}

// pass passes a target on that is new or has changed.
func (r *reader) pass(n *news, target work.Target) {
	if n.whole {
		n.present[target.ID] = true
	}
	last, known := r.last[target.ID]
	r.last[target.ID] = target
	if known && sameTarget(last, target) {
		return
	}
	n.changes = append(n.changes, change{id: target.ID, target: &target})
}

// sameTarget reports whether two entries say the same of a target; that it gets warm is no
// news.
func sameTarget(a, b work.Target) bool {
	if a.WarmIn > b.WarmIn {
		a.WarmIn = b.WarmIn
	}
	return reflect.DeepEqual(a, b)
}

// drop passes on that an entry names no target of the failure domain any more, if it did.
func (r *reader) drop(n *news, id string) {
	if _, known := r.last[id]; known {
		delete(r.last, id)
		n.changes = append(n.changes, change{id: id})
	}
}
