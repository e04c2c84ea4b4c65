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

func TestTasksThatFailedOnceRunAgainOnASuspectedTarget(t *testing.T) { playScript(t, "9") }

func TestJobsOfAnEvacuatedZoneAreDone(t *testing.T) { playScript(t, "10") }

func TestMovedJobsSurviveATakeover(t *testing.T) { playScript(t, "11") }

func TestJobCancelledWhileItIsStoredIsNotRun(t *testing.T) { playScript(t, "12") }

func TestHugeCountsEndNoProcess(t *testing.T) { playScript(t, "13") }
