package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/burdockward/burdockward/link/linkpb"
	"github.com/burdockward/burdockward/work"
)

func TestChooseBalanced(t *testing.T) {
	far := func(delay time.Duration) Candidate { return Candidate{HasReport: true, Wait: delay} }
	near := func(delay time.Duration) Candidate {
		return Candidate{Near: true, HasReport: true, Wait: delay}
	}
	for name, test := range map[string]struct {
		candidates []Candidate
		draw       float64
		want       int
	}{
		"no candidates":                 {nil, 0, -1},
		"near within the penalty":       {[]Candidate{far(0), near(farPenalty)}, 0, 1},
		"near beyond the penalty":       {[]Candidate{far(0), near(farPenalty + 1)}, 0, 0},
		"another far one is drawn":      {[]Candidate{far(0), far(10 * ms), near(30 * ms)}, 0.99, 1},
		"near beyond the range":         {[]Candidate{far(0), near(60 * ms)}, 1, 0},
		"answers of near are slow":      {[]Candidate{far(0), {Near: true, HasReport: true, AnswerTime: 40 * ms}}, 1, 0},
		"answers of far are slow":       {[]Candidate{{HasReport: true, AnswerTime: 40 * ms}, near(60 * ms)}, 0, 1},
		"far is of an older build":      {[]Candidate{far(0), {Near: true, HasReport: true, AnswerTime: 16 * ms}}, 0, 1},
		"far without a report":          {[]Candidate{{}, near(200 * ms)}, 0, 1},
		"near has just changed":         {[]Candidate{far(0), {Near: true}}, 0, 1},
		"only one without a report":     {[]Candidate{{}, {Near: true, HasRefused: true}}, 0, 0},
		"near has refused":              {[]Candidate{far(300 * ms), {Near: true, HasReport: true, HasRefused: true}}, 0, 0},
		"reports of near have stopped":  {[]Candidate{far(300 * ms), {Near: true, HasReport: true, Unconfirmed: true}}, 0, 0},
		"cut off: far reports are late": {[]Candidate{{HasReport: true, Unconfirmed: true}, near(300 * ms)}, 0, 1},
		"all reports have stopped":      {[]Candidate{{HasReport: true, Unconfirmed: true}, {Near: true, Unconfirmed: true, HasReport: true}}, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, test.want, ChooseBalanced(test.candidates, test.draw).Index)
		})
	}
}

// VMs with the same reports don't all choose the same owner: each is drawn more often the shorter
// its delay is.
func TestOwnersAreDrawnByTheirDelays(t *testing.T) {
	candidates := []Candidate{{HasReport: true}, {HasReport: true, Wait: balanceRange / 2}, {Near: true, HasReport: true, Wait: time.Second}}
	counts := make([]int, len(candidates))
	const draws = 300
	for i := range draws {
		counts[ChooseBalanced(candidates, float64(i)/draws).Index]++
	}
	must.Eq(t, []int{200, 100, 0}, counts)
}

// Jobs leave a near owner whose wait is long even where the others have little free capacity, and
// only with the option.
func TestBalancedJobsLeaveDelayedOwner(t *testing.T) {
	for balance, want := range map[bool]string{false: "near", true: "far"} {
		f := newFakePeers([]work.Outcome{{Result: work.Completed}}, []work.Outcome{{Result: work.Completed}})
		for incarnation, answer := range map[uint64]int64{1: 60_000, 2: 1_000} {
			view := f.views[incarnation]
			view.Loads = []*linkpb.Load{{Group: view.ControlAddress, Service: "s", FreeCpu: 0, Cpu: 10, AnswerUs: answer}}
			f.views[incarnation] = view
		}
		e := newEntry(f)
		counted := map[string]int{}
		e.options.BalanceDomains, e.options.Count = balance, func(what, label string) { counted[what+" "+label]++ }
		must.Eq(t, work.Completed, e.Dispatch(t.Context(), job, queue, 0).Result)
		must.Eq(t, []string{want}, f.asked)
		must.Eq(t, balance, counted["owner_chosen far, "+reasonDrawn] == 1)
	}
}
