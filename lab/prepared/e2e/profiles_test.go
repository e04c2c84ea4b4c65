package e2e

import (
	"encoding/base64"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/lab/prepared"
	"github.com/burdockward/burdockward/platform/wire"
)

// awaitLine waits for a text in a VM's log, and returns it with the rest of its line.
func awaitLine(t *testing.T, vm *prepared.VM, want string) string {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for {
		log, err := os.ReadFile(vm.Log())
		must.NoError(t, err)
		if strings.Contains(string(log), want) {
			return restOfLine(string(log), want)
		}
		must.True(t, time.Now().Before(deadline), must.Sprint(want))
		wait(20 * time.Millisecond)
	}
}

func writeProfiles(d *prepared.Deployment, text string) {
	d.Store.WriteRaw(wire.OperatorTable, wire.ProfilesKey, base64.StdEncoding.EncodeToString([]byte(text)))
}

// An owner for which the store is unavailable puts the operator's profiles in force that another VM has
// read. An invalid row is reported with its remedy and goes no further.
func TestProfilesReachOwnerWithoutStore(t *testing.T) {
	d := start(t, 1, 2)
	owner, reader := awaitOwner(t, d, d.VMs), d.VMs[1]
	if owner == reader {
		reader = d.VMs[0]
	}
	d.Store.SetUnavailable(owner.StoreIP, true)
	writeProfiles(d, `{
		// The queue of the load may use half of each failure domain.
		"version": 2, "profiles": [{"name": "half", "queues": ["queue"], "limit": 0.5},],
	}`)
	must.StrNotContains(t, awaitLine(t, owner, `"profiles in force","version":2`), `"from":"store"`)
	awaitLine(t, owner, `"owner applies profiles","group":"domain-0","version":2`)
	writeProfiles(d, `{"version": 3, "profiles": [{"name": "half", "guarantee": 0.7, "limit": 0.5}]}`)
	must.StrContains(t, awaitLine(t, reader, `"profiles not valid`), "lower the guarantee or raise the limit")
	withLoad(t, d, func() { wait(time.Second) })
	writeProfiles(d, `{"version": 4, "profiles": []}`)
	awaitLine(t, owner, `"owner applies profiles","group":"domain-0","version":4`)
	log, err := os.ReadFile(owner.Log())
	must.NoError(t, err)
	must.StrNotContains(t, string(log), `"version":3,"before"`)
}
