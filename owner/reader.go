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
type registryReader struct {
	domain string
	// known holds the entry of each target as of the last read.
	known map[string]work.Target
	log   *slog.Logger
	count func(what, label string)
}

// registryChanges is what has changed in the registry.
type registryChanges struct {
	// changes are in the order in which the store returned them.
	changes []targetChange
	// snapshot is set if all rows were read; present then holds all targets of the domain.
	snapshot bool
	present  map[string]bool
}

// targetChange is the change of one entry.
type targetChange struct {
	id string
	// target is nil if the entry no longer describes a target of the failure domain.
	target *work.Target
}

// isEmpty reports whether there is nothing to apply.
func (n registryChanges) isEmpty() bool { return !n.snapshot && len(n.changes) == 0 }

// maxUnreadableRowLogs bounds the log lines on unreadable rows of one read. Hundreds of them
// would use up the log's limit, so that other lines of that second would be dropped.
const maxUnreadableRowLogs = 8

// read returns the changes in an answer of the store.
func (r *registryReader) read(update mirror.Update) registryChanges {
	n := registryChanges{snapshot: update.Snapshot}
	if n.snapshot {
		r.known = map[string]work.Target{}
		n.present = map[string]bool{}
	}
	unreadable := 0
	for _, row := range update.Rows.Rows {
		if row.Deleted {
			r.remove(&n, row.Key)
			continue
		}
		target, err := platform.DecodeTarget(row.Key, row.Value)
		switch {
		case err != nil:
			r.count("rows_unreadable", string(platform.TargetsTable))
			if unreadable++; unreadable <= maxUnreadableRowLogs {
				r.log.Warn("row not understood", "table", platform.TargetsTable, "key", row.Key, "version", row.Version, "error", err)
			}
			r.remove(&n, row.Key)
		case target.FailureDomain != r.domain:
			r.remove(&n, row.Key)
		default:
			r.addIfChanged(&n, target)
		}
	}
	if unreadable > maxUnreadableRowLogs {
		r.log.Warn("more rows not understood", "table", platform.TargetsTable, "rows", unreadable-maxUnreadableRowLogs)
	}
	return n
}

// addIfChanged adds a target to the changes if it is new or has changed.
func (r *registryReader) addIfChanged(n *registryChanges, target work.Target) {
	if n.snapshot {
		n.present[target.ID] = true
	}
	last, known := r.known[target.ID]
	r.known[target.ID] = target
	if known && sameTarget(last, target) {
		return
	}
	n.changes = append(n.changes, targetChange{id: target.ID, target: &target})
}

// sameTarget reports whether two entries of a target, the older one first, are equal. Progress
// of the warm-up is no change.
func sameTarget(a, b work.Target) bool {
	if a.WarmUpLeft > b.WarmUpLeft {
		a.WarmUpLeft = b.WarmUpLeft
	}
	return reflect.DeepEqual(a, b)
}

// remove adds to the changes that an entry no longer describes a target of the failure domain,
// if it did before.
func (r *registryReader) remove(n *registryChanges, id string) {
	if _, known := r.known[id]; known {
		delete(r.known, id)
		n.changes = append(n.changes, targetChange{id: id})
	}
}
