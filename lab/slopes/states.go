package slopes

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/claim"
	"github.com/burdockward/burdockward/key"
	"github.com/burdockward/burdockward/membership"
	"github.com/burdockward/burdockward/submission"
)

// Bounds of the benchmarked states, larger than any point needs.
const (
	benchRecords     = 1 << 30
	benchAnswerBytes = 1 << 40
	// resultOfBench is the result of one small task.
	resultOfBench = `{"balance":"1234.56","currency":"EUR"}`
)

func stateExperiments() []experiment {
	return []experiment{
		{
			name:     "decide-claim",
			title:    "one claim of a known key, and the memory of records, against records; no network",
			variable: "records",
			points:   []float64{1000, 10_000, 100_000, 300_000},
			alone:    true,
			measure:  decision(benchClaim),
		},
		{
			name:     "state-answers",
			title:    "one repeated request, and the memory of kept answers of one task, against answers; no network",
			variable: "answers",
			points:   []float64{1000, 4000, 16_000, 64_000},
			alone:    true,
			measure:  decision(benchAnswers),
		},
	}
}

// benchClaim claims a number of keys in a view of one VM, and returns a decision that claims one of
// them again.
func benchClaim(records int) func() {
	self := membership.Member{ID: "vm-0", Incarnation: 1, Address: "127.0.0.1:1"}
	nonce := uint64(0)
	m := membership.New(membership.Config{
		Self:  self,
		Nonce: func() uint64 { nonce++; return nonce },
	}, 0)
	s := claim.New(claim.Config{MaxRecords: benchRecords}, m)
	now := time.Duration(0)
	for m.CurrentEpoch() == "" {
		now += 100 * time.Millisecond
		s.Tick(now)
	}
	token := m.CurrentEpoch()
	// Hashes are computed anew each time, so that only the records take memory.
	hash := func(i int) claim.Hash {
		return claim.HashKey(key.Key{Domain: baseDomain, Epoch: token, Unique: strconv.Itoa(i)})
	}
	for i := range records {
		s.Claim(now, uint64(i), token, hash(i))
		s.SetOutcome(token, hash(i), claim.OutcomeCompleted)
		s.TakeDone()
	}
	n := 0
	return func() {
		n++
		s.Claim(now, uint64(n), token, hash(n%records))
		if len(s.TakeDone()) != 1 {
			panic("the claim did not end")
		}
	}
}

// benchAnswers runs submissions that are answered at once, and returns a decision that submits one
// of them again.
func benchAnswers(answers int) func() {
	s := submission.NewService(submission.Options{
		Domain:       baseDomain,
		VM:           "vm-0",
		AnswerBytes:  benchAnswerBytes,
		ClaimTimeout: time.Second,
		Claims:       grantAll{},
		Dispatcher:   answerAtOnce{},
	})
	ctx := context.Background()
	submit := func(i int) {
		k := key.Key{Domain: baseDomain, Epoch: "epoch", Unique: strconv.Itoa(i)}
		request := &api.Submission{Key: k.String(), Profile: "slope-0", Tasks: []api.Task{{Payload: json.RawMessage(`{}`)}}}
		if s.Submit(ctx, submission.New(request, k)) == nil {
			panic("the submission was not answered")
		}
	}
	for i := range answers {
		submit(i)
	}
	n := 0
	return func() {
		n++
		submit(n % answers)
	}
}

// grantAll is a claim service that grants every key.
type grantAll struct{}

func (grantAll) Claim(context.Context, key.Key) (submission.Claim, error) {
	return submission.Claim{Granted: true, Self: true}, nil
}

func (grantAll) Lookup(context.Context, key.Key) (submission.Claim, error) {
	return submission.Claim{State: submission.ClaimUnknown}, nil
}

func (grantAll) Burn(context.Context, key.Key) (submission.Claim, error) {
	return submission.Claim{State: submission.ClaimUnknown}, nil
}

func (grantAll) SetOutcome(key.Key, api.RunState) {}

// answerAtOnce is a dispatcher that answers every submission at once with a small result.
type answerAtOnce struct{}

func (answerAtOnce) Submit(s *submission.Submission, done func(*submission.Outcome)) {
	done(submission.Answered(s.KeyText, []json.RawMessage{json.RawMessage(resultOfBench)}))
}

func (answerAtOnce) Cancel(string) {}

func (answerAtOnce) Look(string) (string, int, int) { return "", 0, 0 }
