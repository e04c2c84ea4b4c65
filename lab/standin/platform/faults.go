package platform

import (
	"time"
)

// Faults holds the faults that the stand-in injects. The zero value has none.
type Faults struct {
	// Down refuses every call with 503, without any effect.
	Down bool `json:"down,omitempty"`
	// Cut breaks the connection of every call before the call has an effect. A caller can't tell
	// this from LoseAnswers.
	Cut bool `json:"cut,omitempty"`
	// SlowMS delays every call by this many milliseconds. A delayed commit takes effect after the
	// delay, even when its caller has disconnected.
	SlowMS int64 `json:"slow_ms,omitempty"`
	// LoseAnswers applies commits and breaks their connections instead of answering.
	LoseAnswers bool `json:"lose_answers,omitempty"`
	// StaleCommits answers table reads from the state this many commits ago.
	StaleCommits uint64 `json:"stale_commits,omitempty"`
	// StaleAlternate makes only every second read stale.
	StaleAlternate bool `json:"stale_alternate,omitempty"`
	// ListLagMS serves the VM list as it was this many milliseconds ago.
	ListLagMS int64 `json:"list_lag_ms,omitempty"`
}

// faultRequest is the body of POST /fault. It replaces all faults. Reset clears all faults and
// ignores the others in the request.
type faultRequest struct {
	Faults
	Reset bool `json:"reset,omitempty"`
}

// bucket is a token bucket that holds at most the tokens of one second.
type bucket struct {
	perSecond float64
	tokens    float64
	filled    time.Time
}

func newBucket(perSecond float64, now time.Time) *bucket {
	return &bucket{perSecond: perSecond, tokens: perSecond, filled: now}
}

// take takes one token and returns how long the caller must wait until it is available. A rate of 0
// means no limit.
func (b *bucket) take(now time.Time) time.Duration {
	if b.perSecond <= 0 {
		return 0
	}
	b.fill(now)
	b.tokens--
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / b.perSecond * float64(time.Second))
}

// giveBack returns the token of a call that was refused.
func (b *bucket) giveBack() { b.tokens++ }

// fill adds the tokens of the time since the last fill.
func (b *bucket) fill(now time.Time) {
	b.tokens += now.Sub(b.filled).Seconds() * b.perSecond
	b.tokens = min(b.tokens, b.perSecond)
	b.filled = now
}
