package jobstore

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/bootclock"
	"github.com/burdockward/burdockward/platform"
	"github.com/burdockward/burdockward/work"
)

// putRow writes a row as another writer.
func (f *fakeStore) putRow(partition string, table platform.Table, key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.table(partition, table)[key] = platform.Row{Table: table, Key: key, Value: []byte(value), Version: f.version}
}

const maxInt = "9223372036854775807"

// oddJobs are jobs rows that decode, and that no owner may have written.
func oddJobs() map[string]string {
	row := func(steps, rest string) string {
		return fmt.Sprintf(`{"job":{"ID":%q,"Durable":true,"Steps":[%s]%s},"queue":{"Service":"s","MaxAttempts":3},"home":"a"}`, testJob, steps, rest)
	}
	return map[string]string{
		"counts that overflow":      row(`{"Tasks":`+maxInt+`},{"Tasks":`+maxInt+`},{"Tasks":10}`, ""),
		"a huge count":              row(`{"Tasks":2000000}`, ""),
		"occurrences that overflow": row(`{"Tasks":4}`, `,"Repeats":{"Count":4611686018427387905}`),
		"negative occurrences":      row(`{"Tasks":1}`, `,"Repeats":{"Count":-7}`),
		"a negative amount":         row(`{"Tasks":1,"Each":{"CPU":-1}}`, ""),
		"a huge amount":             row(`{"Tasks":2,"Each":{"CPU":`+maxInt+`}}`, ""),
		"a negative time":           row(`{"Tasks":1,"Estimate":-5}`, ""),
		"a negative spread":         row(`{"Tasks":1,"Spread":-1}`, ""),
		"a gang that lasts":         row(`{"Tasks":2,"Gang":true,"Lasting":true}`, ""),
		"a number too large":        row(`{"Tasks":1e400}`, ""),
		"deep nesting":              `{"job":` + strings.Repeat(`[`, 30000) + strings.Repeat(`]`, 30000) + `}`,
	}
}

// A jobs row that another writer left is no job to run, and keeps no other job from being run. A count that
// overflows would have each owner of the group, one after the other, exceed its memory.
func TestOddJobsRowIsNotRun(t *testing.T) {
	for name, value := range oddJobs() {
		t.Run(name, func(t *testing.T) {
			store := newFakeStore()
			a := startWriter(t, store, "a", 1, 1)
			must.Eq(t, Stored, acceptJob(a, "0000000000000001"))
			store.putRow(PartitionOf(testJob), jobsTable, testJob, value)
			_, unfinished := openWriter(t, store, "a", 2, 2)
			must.SliceLen(t, 1, unfinished)
			must.Eq(t, "0000000000000001", unfinished[0].Job.ID)
		})
	}
}

// What another writer left in the progress row of a job is dropped, as far as no owner writes it: tasks that no
// job has, counts and states without a meaning. The rest counts. A list of such tasks would end each
// process that writes the row in its compact form.
func TestOddProgressIsDropped(t *testing.T) {
	for name, c := range map[string]struct {
		row  string
		want Progress
	}{
		"huge task":         {`{"home":"a","state":1,"done":[0,` + maxInt + `]}`, Progress{Group: "a", State: work.StateQueued, Done: []int{0}}},
		"negative task":     {`{"home":"a","state":1,"done":[-1,1],"saved":{"-5":"x"},"fails":{"-1":2}}`, Progress{Group: "a", State: work.StateQueued, Done: []int{1}}},
		"huge set":          {`{"home":"a","state":1,"done_set":{"list":[1,` + maxInt + `]}}`, Progress{Group: "a", State: work.StateQueued, Done: []int{1}}},
		"negative failures": {`{"home":"a","state":1,"fails":{"0":-3,"1":1}}`, Progress{Group: "a", State: work.StateQueued, Failures: map[int]int{1: 1}}},
		"losses of no task": {`{"home":"a","state":1,"crashed":{"123456789":[{"target":"t"}]}}`, Progress{Group: "a", State: work.StateQueued}},
		"failures that sum": {`{"home":"a","state":1,"fails_sets":[{"n":` + maxInt + `,"tasks":{"list":[0]}},{"n":5,"tasks":{"list":[0]}}]}`, Progress{Group: "a", State: work.StateQueued, Failures: map[int]int{0: maxStoredFailures}}},
	} {
		t.Run(name, func(t *testing.T) {
			var p Progress
			must.NoError(t, json.Unmarshal([]byte(c.row), &p))
			want, _ := json.Marshal(plainProgress(c.want))
			got, _ := json.Marshal(plainProgress(p))
			must.Eq(t, string(want), string(got))
			_, _, err := p.encode(10)
			must.ErrorIs(t, err, ErrRowTooLarge)
		})
	}
}

// A progress row in a state that no owner writes is unreadable: taken for an ended job's, it would have the job
// removed.
func TestProgressInUnknownStateIsUnreadable(t *testing.T) {
	for _, state := range []string{"-1", "7", "99", "1e400", `"x"`} {
		var p Progress
		must.Error(t, json.Unmarshal([]byte(`{"home":"a","state":`+state+`}`), &p), must.Sprint(state))
	}
	store := newFakeStore()
	a := startWriter(t, store, "a", 1, 1)
	must.Eq(t, Stored, acceptJob(a, testJob))
	store.putRow(PartitionOf(testJob), progressTable, testJob, `{"home":"a","state":99}`)
	_, unfinished := openWriter(t, store, "a", 2, 2)
	must.SliceLen(t, 1, unfinished)
}

// The end of a job in the far future doesn't keep its row for good, nor does it remove it early.
func TestEndInTheFutureKeepsRowAsLongAsUsual(t *testing.T) {
	for _, ended := range []string{maxInt, "9000000000000000000", "4000000000000"} {
		store := newFakeStore()
		store.putRow(PartitionOf(testJob), progressTable, testJob, `{"home":"a","state":3,"ended":`+ended+`}`)
		w, _ := openWriter(t, store, "a", 1, 1)
		s, _ := w.shardOf(testJob)
		must.Positive(t, s.jobs[testJob].expiresAt)
		must.LessEq(t, w.retention(), s.jobs[testJob].expiresAt-bootclock.Now())
		must.Greater(t, w.retention()/2, s.jobs[testJob].expiresAt-bootclock.Now())
	}
}

// A fence with a token that the store has not given yet is no owner's: it would keep each owner of the group
// from taking over for good.
func TestFenceWithImpossibleTokenIsReplaced(t *testing.T) {
	for i, partition := range []string{partitionName(0), recordsPartition("a")} {
		store := newFakeStore()
		store.putRow(partition, fencesTable, "a", `{"life":7,"writer":1,"token":`+maxInt+`}`)
		w := New(Options{
			Group: "a", Incarnation: 1, Log: slog.New(slog.DiscardHandler), Count: func(string, string) {}, Clock: func() time.Duration { return time.Hour },
		}, store)
		if i == 0 {
			_, err := w.Open(context.Background(), 1)
			must.NoError(t, err)
			continue
		}
		_, err := w.TargetRecords().Open(context.Background(), 1, 0)
		must.NoError(t, err)
	}
}
