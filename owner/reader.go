package owner

import (
	"log/slog"
	"reflect"

	"github.com/burdockward/burdockward/mirror"
	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/work"
)

// registryReader extracts the changes from what the store returns of the registry. Each target
// rewrites its entry at each heartbeat, mostly without a change. Those rows are dropped here:
// the loop spends time on changes alone, and the message that a target leaves doesn't wait
// behind the heartbeats of all others.
type reader struct {
	domain string
	// known holds the entry of each target as of the last read.
	last  map[string]work.Target
	log   *slog.Logger
	count func(what, label string)
}

// registryChanges is what has changed in the registry.
type news struct {
	// changes are in the order in which the store returned them.
	changes []change
	// snapshot is set if all rows were read; present then holds all targets of the domain.
	whole   bool
	present map[string]bool
}

// targetChange is the change of one entry.
type change struct {
	id string
	// target is nil if the entry no longer describes a target of the failure domain.
	target *work.Target
}

// isEmpty reports whether there is nothing to apply.
func (n news) empty() bool { return !n.whole && len(n.changes) == 0 }

// maxUnreadableRowLogs bounds the log lines on unreadable rows of one read. Hundreds of them
// would use up the log's limit, so that other lines of that second would be dropped.
const maxFaultyLines = 8

// read returns the changes in an answer of the store.
func (r *reader) read(update mirror.Update) news {
	n := news{whole: update.Whole}
	if n.whole {
		r.last = map[string]work.Target{}
		n.present = map[string]bool{}
	}
	unreadable := 0
	for _, row := range update.Rows.Rows {
		if row.Deleted {
			r.drop(&n, row.Key)
			continue
		}
		target, err := platform.DecodeTarget(row.Key, row.Value)
		switch {
		case err != nil:
			r.count("rows_unreadable", string(platform.TargetsTable))
			if unreadable++; unreadable <= maxFaultyLines {
				r.log.Warn("row not understood", "table", platform.TargetsTable, "key", row.Key, "version", row.Version, "error", err)
			}
			r.drop(&n, row.Key)
		case target.FailureDomain != r.domain:
			r.drop(&n, row.Key)
		default:
			r.pass(&n, target)
		}
	}
	if unreadable > maxFaultyLines {
		r.log.Warn("more rows not understood", "table", platform.TargetsTable, "rows", unreadable-maxFaultyLines)
	}
	return n
}

// addIfChanged adds a target to the changes if it is new or has changed.
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

// sameTarget reports whether two entries of a target, the older one first, are equal. Progress
// of the warm-up is no change.
func sameTarget(a, b work.Target) bool {
	if a.WarmIn > b.WarmIn {
		a.WarmIn = b.WarmIn
	}
	return reflect.DeepEqual(a, b)
}

// remove adds to the changes that an entry no longer describes a target of the failure domain,
// if it did before.
func (r *reader) drop(n *news, id string) {
	if _, known := r.last[id]; known {
		delete(r.last, id)
		n.changes = append(n.changes, change{id: id})
	}
}
