package prepared

import (
	"encoding/base64"
	"fmt"

	"github.com/burdockward/burdockward/platform/wire"
)

// foreignValues are what another writer may leave in a row of any table.
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

// foreignTables are those that hold a row for each key in their empty part.
var foreignTables = []string{wire.TargetsTable, claimsTable}

// claimsTable is the daemon's own table of claims.
const claimsTable = "owners"

// foreignRows has another writer leave rows that can't be read, and one in the place of a
// target's, until its own word is back.
func (s *soaker) foreignRows() (end func()) {
	for i, value := range foreignValues {
		for _, table := range foreignTables {
			s.Store.WriteRaw(table, fmt.Sprintf("foreign-%d", i), value)
		}
	}
	target := s.Targets[s.random.IntN(len(s.Targets))]
	s.Store.WriteRaw(wire.TargetsTable, target.ID, foreignValues[s.random.IntN(len(foreignValues))])
	return func() {
		s.list(target)
		for i := range foreignValues {
			for _, table := range foreignTables {
				s.Store.Remove(table, fmt.Sprintf("foreign-%d", i))
			}
		}
	}
}
