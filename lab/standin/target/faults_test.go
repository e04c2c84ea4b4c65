package target

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	client "github.com/burdockward/burdockward/targetclient"
	"github.com/shoenig/test/must"
)

func TestLeasesLapseWhileTargetIsPaused(t *testing.T) {
	bubble(t, Options{TTL: time.Second}, func(t *testing.T, s *Server, lease string) {
		running := goStart(t, s, lease, 0, Payload{RunMS: 10})
		s.SetFaults(Faults{PauseMS: 3000})
		must.Eq(t, 1, s.Stats().Leases)
		got := startTask(t, s, lease, 1, Payload{}, 0)
		must.Eq(t, 3*time.Second, got.elapsed)
		must.Eq(t, string(client.ReasonLeaseLapsed), got.Reason)
		must.Eq(t, 0, s.Stats().Leases)
		ended := <-running
		must.Eq(t, client.OutcomeDone, ended.Outcome)
		must.Eq(t, 3*time.Second, ended.elapsed)
	})
}

func TestFrozenTargetDoesNothingUntilFaultsChange(t *testing.T) {
	bubble(t, Options{}, func(t *testing.T, s *Server, lease string) {
		s.SetFaults(Faults{Frozen: true})
		waiting := goStart(t, s, lease, 0, Payload{})
		time.Sleep(time.Second)
		must.Eq(t, 0, s.Log().Summary().Total)
		must.Eq(t, 1, s.Stats().Waiting)
		s.SetFaults(Faults{})
		must.Eq(t, client.OutcomeDone, (<-waiting).Outcome)
		must.Eq(t, 0, s.Stats().Waiting)
	})
}

func TestOlderPauseDoesNotEndNewerFreeze(t *testing.T) {
	bubble(t, Options{}, func(t *testing.T, s *Server, lease string) {
		s.SetFaults(Faults{PauseMS: 1000})
		s.SetFaults(Faults{Frozen: true})
		waiting := goStart(t, s, lease, 0, Payload{})
		time.Sleep(2 * time.Second)
		synctest.Wait()
		must.Eq(t, 0, len(waiting))
		s.SetFaults(Faults{})
		must.Eq(t, client.OutcomeDone, (<-waiting).Outcome)
	})
}

func TestRestartForgetsLeasesAndCutsTasks(t *testing.T) {
	bubble(t, Options{}, func(t *testing.T, s *Server, lease string) {
		running := goStart(t, s, lease, 0, Payload{RunMS: 1000})
		s.SetFaults(Faults{Restart: true})
		got := <-running
		must.True(t, got.cut)
		must.Eq(t, 0, got.elapsed)
		must.Eq(t, 0, s.Stats().Running)
		must.Eq(t, string(client.ReasonLeaseLapsed), startTask(t, s, lease, 1, Payload{}, 0).Reason)
		must.NotEq(t, lease, takeLease(t, s, "vm/1"))
		must.Eq(t, 1, s.Log().Summary().Total)
	})
}

func TestRestartCutsRequestsOfTheFrozenProcess(t *testing.T) {
	bubble(t, Options{}, func(t *testing.T, s *Server, lease string) {
		s.SetFaults(Faults{Frozen: true})
		waiting := goStart(t, s, lease, 0, Payload{})
		s.SetFaults(Faults{Restart: true})
		must.True(t, (<-waiting).cut)
		must.Eq(t, 0, s.Stats().StartRequests)
	})
}

func TestDropAfterStartRunsTheTask(t *testing.T) {
	bubble(t, Options{}, func(t *testing.T, s *Server, lease string) {
		s.SetFaults(Faults{DropAfterStart: true})
		got := startTask(t, s, lease, 0, Payload{RunMS: 100}, 0)
		must.True(t, got.cut)
		must.Eq(t, 0, got.elapsed)
		must.Eq(t, 1, s.Stats().Running)
		time.Sleep(101 * time.Millisecond)
		must.Eq(t, 0, s.Stats().Running)
		must.Eq(t, 1, s.Log().Summary().Total)
	})
}

func TestBlackHoleRunsAndNeverAnswers(t *testing.T) {
	bubble(t, Options{}, func(t *testing.T, s *Server, lease string) {
		s.SetFaults(Faults{BlackHole: true})
		waiting := goStart(t, s, lease, 0, Payload{RunMS: 100})
		time.Sleep(time.Hour)
		must.Eq(t, 0, len(waiting))
		must.Eq(t, 0, s.Stats().Running)
		must.Eq(t, 1, s.Log().Summary().Total)
		s.Close()
		must.True(t, (<-waiting).cut)
	})
}

func TestFaultsChangeOutcomesOfTasks(t *testing.T) {
	bubble(t, Options{}, func(t *testing.T, s *Server, lease string) {
		s.SetFaults(Faults{FailAll: true})
		got := startTask(t, s, lease, 0, Payload{RunMS: 100}, 0)
		must.Eq(t, errorFailAll, got.Error)
		must.Eq(t, 0, got.elapsed)
		s.SetFaults(Faults{SlowFactor: 2.5})
		must.Eq(t, 250*time.Millisecond, startTask(t, s, lease, 1, Payload{RunMS: 100}, 0).elapsed)
		s.SetFaults(Faults{Refuse: "full"})
		got = startTask(t, s, lease, 2, Payload{}, 0)
		must.Eq(t, http.StatusConflict, got.status)
		must.Eq(t, "full", got.Reason)
		must.Eq(t, 2, s.Log().Summary().Total)
	})
}
