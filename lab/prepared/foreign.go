package prepared

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strings"

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

const hugeNumber = "9223372036854775807"

// oddTargets are entries that decode, in part at least, and that no target writes: deep nesting, numbers that
// are too large, ports out of range, unknown failure domains and services.
var oddTargets = []string{
	strings.Repeat("[", 40_000),
	strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000),
	oddTarget(`"labels":` + strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000)),
	oddTarget(`"born":` + hugeNumber),
	oddTarget(`"born":1e400`),
	coldTarget(1e308),
	oddTarget(`"capacity":{"cpu":` + hugeNumber + `,"mem_mb":` + hugeNumber + `,"gpu":` + hugeNumber + `}`),
	oddTarget(`"capacity":{"cpu":1e400}`),
	oddTarget(`"address":"127.0.0.1:70000"`),
	oddTarget(`"address":"0.0.0.0:0"`),
	oddTarget(`"zone":"nowhere"`),
	oddTarget(`"zone":"` + strings.Repeat("z", 50_000) + `"`),
	oddTarget(`"service":"` + strings.Repeat("s", 50_000) + `"`),
	oddTarget(`"labels":["` + strings.Repeat(`a","`, 10_000) + `"]`),
}

// oddTarget returns the entry of a target with other fields in place of some of its own.
func oddTarget(fields string) string {
	return `{"service":"s","address":"127.0.0.1:9","zone":"domain-0","state":"ready","capacity":{"cpu":4000,"mem_mb":1024,"gpu":0},"labels":["a","r"],` + fields + `}`
}

// coldTarget returns the entry of a target that is slow for so much longer.
func coldTarget(milliseconds float64) string {
	capacity := wire.Capacity{HasCPU: true, Resources: wire.Resources{CPU: 4000, MemoryMB: 1024}}
	entry, err := json.Marshal(wire.Target{
		Service: "s", Address: "127.0.0.1:9", Zone: "domain-0", State: "ready", Capacity: capacity,
		Labels: []string{"a", "r"}, ColdLeftMS: milliseconds,
	})
	if err != nil {
		panic(err)
	}
	return string(entry)
}

// oddRows are rows that another writer may leave in the other tables.
var oddRows = []struct{ table, partition, value string }{
	{"jobs", "jobs-0", `{"job":{"ID":"KEY","Durable":true,"Steps":[{"Tasks":` + hugeNumber + `},{"Tasks":` + hugeNumber + `},{"Tasks":10}]},"queue":{"Service":"s"},"home":"domain-0"}`},
	{"jobs", "jobs-1", `{"job":{"ID":"KEY","Durable":true,"Steps":[{"Tasks":4}],"Repeats":{"Count":4611686018427387905}},"queue":{"Service":"s"},"home":"domain-0"}`},
	{"jobs", "jobs-2", strings.Repeat("[", 40_000)},
	{"progress", "jobs-0", `{"home":"domain-0","state":1,"done":[-5,` + hugeNumber + `]}`},
	{"progress", "jobs-1", `{"home":"domain-1","state":99,"ended":` + hugeNumber + `}`},
	{"progress", "jobs-2", `{"home":"domain-2","state":3,"ended":` + hugeNumber + `}`},
	{"moves", "jobs-3", `{"to":"domain-0"}`},
	{"moves", "jobs-3", strings.Repeat(`{"a":`, 9_000)},
	{"targets", "targets-domain-0", `{"service":"s","address":"127.0.0.1:70000","life":` + hugeNumber + `}`},
	{claimsTable, "", strings.Repeat("\x0b", 40_000)},
	{wire.OperatorTable, "", "x"},
}

// WriteOddRows adds odd rows to all tables, beside one in place of a target's entry. The returned function
// removes them and restores the entry.
func (d *Deployment) WriteOddRows(target *Target, entry int) (end func()) {
	encode := func(value string) string { return base64.StdEncoding.EncodeToString([]byte(value)) }
	for i, value := range oddTargets {
		d.Store.WriteRaw(wire.TargetsTable, fmt.Sprintf("odd-%d", i), encode(value))
	}
	key := func(i int) string {
		if oddRows[i].table == wire.OperatorTable {
			return wire.CordonPrefix + strings.Repeat("x", 150)
		}
		return fmt.Sprintf("odd-%d", i)
	}
	for i, row := range oddRows {
		d.Store.writeRawTo(row.table, row.partition, key(i), encode(strings.ReplaceAll(row.value, "KEY", key(i))))
	}
	d.Store.WriteRaw(wire.TargetsTable, target.ID, encode(oddTargets[entry%len(oddTargets)]))
	return func() {
		d.register(target)
		for i := range oddTargets {
			d.Store.Remove(wire.TargetsTable, fmt.Sprintf("odd-%d", i))
		}
		for i, row := range oddRows {
			d.Store.removeFrom(row.table, row.partition, key(i))
		}
	}
}
