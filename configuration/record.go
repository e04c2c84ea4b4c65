package configuration

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/burdockward/burdockward/profile"
)

// Tables of the platform's table service.
const (
	// Table holds one row for each profile and team. Both kinds share a table,
	// so that one read gives a state of both at one commit.
	Table = "configuration"
	// HistoryTable holds the newest changes of each object for operators; VMs
	// never read it.
	HistoryTable = "configuration_history"
	// HistoryDepth is the number of changes kept for each profile and team.
	HistoryDepth = 32
)

// Kind is the kind of a configured object.
type Kind string

// The kinds.
const (
	KindProfile Kind = "profile"
	KindTeam    Kind = "team"
)

// RowKey is the key of an object's row.
func RowKey(kind Kind, name string) string { return string(kind) + "/" + name }

// historyKey is the key of the history row of an object's revision. Keys are
// reused after HistoryDepth changes, which bounds the size of the history.
func historyKey(kind Kind, name string, revision uint64) string {
	return fmt.Sprintf("%s/%d", RowKey(kind, name), revision%HistoryDepth)
}

// SplitRowKey splits a row key. ok is false when the kind is unknown or the name
// is empty.
func SplitRowKey(key string) (kind Kind, name string, ok bool) {
	first, name, found := strings.Cut(key, "/")
	kind = Kind(first)
	known := kind == KindProfile || kind == KindTeam
	return kind, name, found && known && name != ""
}

// Record is the value of a configuration row. A deleted object keeps its row,
// marked as deleted: an object that is created again never matches the
// expectation of an older change, so a repeated commit can't take effect twice.
type Record struct {
	// Change identifies the change that wrote the record; it is unique.
	Change string `json:"change"`
	// Revision counts the changes of the object from 1.
	Revision uint64 `json:"revision"`
	// Operator is who made the change, and Time when, in RFC 3339 form by the
	// operator's clock. Both are for reading only.
	Operator string `json:"operator,omitempty"`
	Time     string `json:"time,omitempty"`
	// Note is the operator's reason.
	Note string `json:"note,omitempty"`
	// Deleted says that the object doesn't exist.
	Deleted bool `json:"deleted,omitempty"`
	// Profile or Team is the object.
	Profile *profile.Profile `json:"profile,omitempty"`
	Team    *profile.Team    `json:"team,omitempty"`
}

// ParseRecord parses the value of a row and checks that it holds the object that
// the key names. Unknown fields, of newer versions of the program, are ignored.
func ParseRecord(key string, value []byte) (Record, error) {
	kind, name, ok := SplitRowKey(key)
	if !ok {
		return Record{}, fmt.Errorf("row %q is neither of a profile nor of a team: delete it", key)
	}
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, fmt.Errorf("row %q is not readable, apply it again: %w", key, err)
	}
	if r.Deleted {
		return r, nil
	}
	switch {
	case kind == KindProfile && r.Profile != nil && r.Profile.Name == name:
		r.Team = nil
		return r, nil
	case kind == KindTeam && r.Team != nil && r.Team.Name == name:
		r.Profile = nil
		return r, nil
	}
	return Record{}, fmt.Errorf("row %q doesn't hold the object of that name: apply it again", key)
}
