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

func TestGrownProgressRowStopsNoOtherJob(t *testing.T) { playScript(t, "4") }

func TestTimedJobsDontExhaustMemory(t *testing.T) { playScript(t, "5") }

func TestJobDoesNotFailByCuts(t *testing.T) { playScript(t, "6") }

func TestManyQueuesWithWaitingJobsAreReported(t *testing.T) { playScript(t, "7") }

func TestKeptJobRunsWhereItsLabelIs(t *testing.T) { playScript(t, "8") }
