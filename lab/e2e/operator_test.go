//go:build linux

package e2e

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/ctl"
	"github.com/burdockward/burdockward/profile"
)

// ran is the result of one command of burdockctl.
type ran struct {
	code   int
	text   string
	change ctl.ChangeResult
}

// apply applies profiles with burdockctl.
func (w *world) apply(profiles ...profile.Profile) ran {
	return w.applyWith(nil, profiles...)
}

// applyWith applies profiles with burdockctl and further arguments.
func (w *world) applyWith(args []string, profiles ...profile.Profile) ran {
	w.t.Helper()
	return w.ctl(append([]string{"profile", "apply", w.profileFile(profiles...)}, args...)...)
}

// applyTeams applies teams with burdockctl, if there are any.
func (w *world) applyTeams(teams ...profile.Team) ran {
	w.t.Helper()
	if len(teams) == 0 {
		return ran{}
	}
	return w.ctl("team", "apply", w.objectsFile(teams))
}

// profileFile writes profiles to a file for burdockctl and returns its path.
func (w *world) profileFile(profiles ...profile.Profile) string {
	w.t.Helper()
	return w.objectsFile(profiles)
}

func (w *world) objectsFile(objects any) string {
	w.t.Helper()
	text, err := json.Marshal(objects)
	must.NoError(w.t, err)
	path := filepath.Join(w.dir, fmt.Sprintf("objects-%d.jsonc", w.unique.Add(1)))
	must.NoError(w.t, os.WriteFile(path, text, 0o600))
	return path
}

func version(v uint64) string { return strconv.FormatUint(v, 10) }

// tableReads returns how many reads of tables the platform has answered.
func (w *world) tableReads() int {
	var stats struct{ Reads map[string]int }
	must.NoError(w.t, json.Unmarshal(w.call(http.MethodGet, w.platformURL+"/stats", nil), &stats))
	n := 0
	for _, reads := range stats.Reads {
		n += reads
	}
	return n
}

// ctl runs one command of burdockctl to its end.
func (w *world) ctl(args ...string) ran {
	w.t.Helper()
	var admins []string
	for _, vm := range w.vms {
		if vm.process != nil {
			admins = append(admins, vm.admin.String())
		}
	}
	cmd := exec.Command(binaries.ctl, append(args,
		"--platform", w.platformURL, "--domains", domain, "--operator", "e2e", "--output", "json",
		"--vms", strings.Join(admins, ","), "--timeout", waitTimeout.String())...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		must.NoError(w.t, err)
	}
	r := ran{code: cmd.ProcessState.ExitCode(), text: stdout.String() + stderr.String()}
	_ = json.Unmarshal(stdout.Bytes(), &r.change)
	return r
}
