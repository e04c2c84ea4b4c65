package platform

import (
	"cmp"
	"slices"

	client "github.com/burdockward/burdockward/tableservice"
)

// store holds every write of every table, so that reads can be answered from any earlier state. It
// is not safe for concurrent use.
type store struct {
	version uint64
	tables  map[string]*table
}

type table struct {
	// log holds all writes, oldest first.
	log []client.Row
	// current holds the newest version of each row that exists, by key.
	current map[string]uint64
}

func newStore() *store { return &store{tables: map[string]*table{}} }

func (s *store) table(name string) *table {
	t := s.tables[name]
	if t == nil {
		t = &table{current: map[string]uint64{}}
		s.tables[name] = t
	}
	return t
}

// changes returns the rows written after commit since, up to commit until: the newest write of each
// key.
func (s *store) changes(name string, since, until uint64) client.Changes {
	answer := client.Changes{Version: until, Rows: []client.Row{}}
	t := s.tables[name]
	if t == nil {
		return answer
	}
	from := firstAfter(t.log, since)
	to := firstAfter(t.log, until)
	if from >= to {
		return answer
	}
	answer.Rows = newestOfEachKey(t.log[from:to])
	return answer
}

// firstAfter returns the index of the first write after a commit.
func firstAfter(log []client.Row, version uint64) int {
	i, _ := slices.BinarySearchFunc(log, version, func(row client.Row, v uint64) int {
		if row.Version <= v {
			return -1
		}
		return 1
	})
	return i
}

func newestOfEachKey(log []client.Row) []client.Row {
	newest := make(map[string]int, len(log))
	for i, row := range log {
		newest[row.Key] = i
	}
	rows := make([]client.Row, 0, len(newest))
	for i, row := range log {
		if newest[row.Key] == i {
			rows = append(rows, row)
		}
	}
	return rows
}

// commit applies all writes and returns the new version. When an expectation does not hold it
// applies none, and returns the expectation with the row's present version.
func (s *store) commit(c client.Commit) (uint64, *client.Expectation) {
	for _, expected := range c.Expect {
		present := s.table(expected.Table).current[expected.Key]
		if present != expected.Version {
			expected.Version = present
			return 0, &expected
		}
	}
	s.version++
	for _, write := range c.Writes {
		s.table(write.Table).apply(s.version, write)
	}
	return s.version, nil
}

// apply writes one row; a null value deletes it.
func (t *table) apply(version uint64, write client.Write) {
	row := client.Row{Key: write.Key, Version: version, Value: write.Value}
	if isNull(write.Value) {
		row.Value = nil
		delete(t.current, write.Key)
	} else {
		t.current[write.Key] = version
	}
	t.log = append(t.log, row)
}

func isNull(value []byte) bool { return len(value) == 0 || string(value) == "null" }

func sortVMs(vms []client.VM) {
	slices.SortFunc(vms, func(a, b client.VM) int { return cmp.Compare(a.ID, b.ID) })
}
