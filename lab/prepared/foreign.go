package prepared

import (
	"encoding/base64"
	"fmt"

	"github.com/burdockward/burdockward/platform/wire"
)

// foreignValues are values that another writer may leave in a row of any table: invalid Base64, no
// value, invalid JSON, JSON of another shape, and targets with invalid or missing fields.
var foreignValues = []string{
	"%%%",
	"",
	base64.StdEncoding.EncodeToString([]byte("\xff\xfe")),
	base64.StdEncoding.EncodeToString([]byte("null")),
	base64.StdEncoding.EncodeToString([]byte(`["x"]`)),
	base64.StdEncoding.EncodeToString([]byte(`{"service":7,"address":[],"zone":"domain-0","state":"ready"}`)),
	base64.StdEncoding.EncodeToString([]byte(`{"service":"s","address":"127.0.0.1:9","zone":"domain-0","state":"asleep"}`)),
	base64.StdEncoding.EncodeToString([]byte(`{"service":"s","zone":"domain-1","state":"ready","capacity":{"cpu":99000}}`)),
}

// foreignTables are the tables whose rows are in the empty partition.
var foreignTables = []string{wire.TargetsTable, claimsTable}

// claimsTable is the daemon's table of claims.
const claimsTable = "owners"

// writeForeignRows adds unreadable rows to the tables and overwrites the row of a target with one.
// The returned function removes them and restores the target's row.
func (s *soaker) writeForeignRows() (end func()) {
	for i, value := range foreignValues {
		for _, table := range foreignTables {
			s.Store.WriteRaw(table, fmt.Sprintf("foreign-%d", i), value)
		}
	}
	target := s.Targets[s.random.IntN(len(s.Targets))]
	s.Store.WriteRaw(wire.TargetsTable, target.ID, foreignValues[s.random.IntN(len(foreignValues))])
	return func() {
		s.register(target)
		for i := range foreignValues {
			for _, table := range foreignTables {
				s.Store.Remove(table, fmt.Sprintf("foreign-%d", i))
			}
		}
	}
}
