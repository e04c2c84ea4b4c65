package owner

import (
	"errors"
	"log/slog"
	"reflect"
	"slices"
	"time"

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
	// domains are the failure domains of the deployment; empty if they aren't known.
	domains []string
	// known holds the entry of each target as of the last read.
	known map[string]work.Target
	// foreign holds the entries of other failure domains' targets as of the last read.
	foreign map[string]work.Target
	log     *slog.Logger
	count   func(what, label string)
}

// registryChanges is what has changed in the registry.
type registryChanges struct {
	// changes are in the order in which the store returned them.
	changes []targetChange
	// snapshot is set if all rows were read; present then holds all targets of the domain.
	snapshot bool
	present  map[string]bool
	// foreign are the changes to targets of other failure domains.
	foreign []targetChange
}

// targetChange is the change of one entry.
type targetChange struct {
	id string
	// target is nil if the entry no longer describes a target of the failure domain.
	target *work.Target
}

// isEmpty reports whether there is nothing to apply.
func (n registryChanges) isEmpty() bool {
	return !n.snapshot && len(n.changes) == 0 && len(n.foreign) == 0
}

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
	unlisted := map[string]bool{}
	if n.snapshot {
		for id := range r.foreign {
			unlisted[id] = true
		}
	}
	unreadable := 0
	for _, row := range update.Rows.Rows {
		if row.Deleted {
			r.remove(&n, row.Key)
			r.removeForeign(&n, row.Key)
			continue
		}
		target, err := r.decode(row)
		switch {
		case err != nil:
			r.count("rows_unreadable", string(platform.TargetsTable))
			if unreadable++; unreadable <= maxUnreadableRowLogs {
				r.log.Warn("row not understood", "table", platform.TargetsTable, "key", row.Key, "version", row.Version, "error", err)
			}
			r.remove(&n, row.Key)
			r.removeForeign(&n, row.Key)
		case target.FailureDomain != r.domain:
			r.remove(&n, row.Key)
			r.addForeign(&n, target)
			delete(unlisted, row.Key)
		default:
			r.removeForeign(&n, row.Key)
			r.addIfChanged(&n, target)
		}
	}
	for id := range unlisted {
		r.removeForeign(&n, id)
	}
	if unreadable > maxUnreadableRowLogs {
		r.log.Warn("more rows not understood", "table", platform.TargetsTable, "rows", unreadable-maxUnreadableRowLogs)
	}
	return n
}

// maxClockLead is by how much the time of day of a target's VM may be ahead of this VM's.
const maxClockLead = time.Hour

// Faults of entries that decode. Another writer's entry names no target to use: jobs would move to a failure
// domain that nobody owns, and a target that seems to have started later is not heard any more.
var (
	errUnknownDomain = errors.New("it names a failure domain that the deployment doesn't have")
	errFutureStart   = errors.New("it started in the future")
)

// decode decodes the entry in a row.
func (r *registryReader) decode(row platform.Row) (work.Target, error) {
	target, err := platform.DecodeTarget(row.Key, row.Value)
	switch {
	case err != nil:
		return target, err
	case len(r.domains) > 0 && !slices.Contains(r.domains, target.FailureDomain):
		return target, errUnknownDomain
	case target.Incarnation > time.Now().Add(maxClockLead).UnixMilli():
		return target, errFutureStart
	}
	return target, nil
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

// addForeign adds another failure domain's target to the changes if it is new or has changed.
func (r *registryReader) addForeign(n *registryChanges, target work.Target) {
	last, known := r.foreign[target.ID]
	if known && sameTarget(last, target) {
		return
	}
	if r.foreign == nil {
		r.foreign = map[string]work.Target{}
	}
	r.foreign[target.ID] = target
	n.foreign = append(n.foreign, targetChange{id: target.ID, target: &target})
}

// removeForeign adds to the changes that an entry describes no target of another failure domain any
// more, if it did before.
func (r *registryReader) removeForeign(n *registryChanges, id string) {
	if _, known := r.foreign[id]; known {
		delete(r.foreign, id)
		n.foreign = append(n.foreign, targetChange{id: id})
	}
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
