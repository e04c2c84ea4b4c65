//go:build review

package main

import (
	"os/exec"
	"testing"
)

// playScript plays the script of a case, which exits with 0 if the rule held.
func playScript(t *testing.T, number string) {
	t.Helper()
	if output, err := exec.Command("../" + number + "/run.sh").CombinedOutput(); err != nil {
		t.Errorf("case %s: %v\n%s", number, err, output)
	}
}

func TestLastingTaskRunsAgainAfterItsExecutorIsLost(t *testing.T) { playScript(t, "1") }

func TestLargeJobThatWaitsStopsNoOtherJob(t *testing.T) { playScript(t, "2") }

func TestKeptJobsOfALostZoneAreDone(t *testing.T) { playScript(t, "3") }
