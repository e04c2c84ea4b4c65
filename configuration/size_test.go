package configuration

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/profile"
)

// fullSet is a configuration with every field of its profiles set.
func fullSet(rows int) ChangeSet {
	set := ChangeSet{Version: uint64(rows)}
	for i := range rows {
		p := profile.Profile{
			Name: fmt.Sprintf("profile-number-%04d", i), Team: "team-number-042", Urgency: 5, GuaranteedSlots: 120,
			LimitSlots: 400, QueueTasks: 5000, DeadlineMS: 2000, MaxDeadlineMS: 10_000, MaxRunMS: 5000,
			Straggler: profile.StragglerStop, StragglerFactor: 8,
		}
		record := Record{Change: "01234567-89ab-cdef", Revision: 40, Operator: "operator@example", Time: "2026-01-01T00:00:00Z", Note: "more room at month-end", Profile: &p}
		value, _ := json.Marshal(record)
		set.Rows = append(set.Rows, Row{Key: RowKey(KindProfile, p.Name), Version: uint64(i + 1), Value: value})
	}
	return set
}

// TestMessageSizes bounds the encoded size of digests and change sets.
func TestMessageSizes(t *testing.T) {
	hour := digest{version: 1 << 40, sentAt: 1000 * time.Hour, readAt: 1000 * time.Hour, hasRead: true}
	one := len(encodeChanges(fullSet(1)))
	thousand := len(encodeChanges(fullSet(1000)))
	t.Logf("digest %d B, pull %d B, one profile %d B, 1,000 profiles %d B", len(hour.encode()), len(encodePull(1<<40)), one, thousand)
	must.LessEq(t, 32, len(hour.encode()))
	must.LessEq(t, 600, one)
	must.LessEq(t, 600_000, thousand)
}

// BenchmarkChange measures one change on a VM that holds 1,000 rows.
func BenchmarkChange(b *testing.B) {
	var s State
	set := fullSet(1000)
	_, _ = s.Apply(set)
	next := set.Rows[0]
	for b.Loop() {
		next.Version = s.Version() + 1
		_, _ = s.Apply(ChangeSet{Since: s.Version(), Version: next.Version, Rows: []Row{next}})
		_ = newSnapshot(&s, true)
	}
}
