package scheduler

import "time"

// Options configures a State; zero values take the defaults.
type Options struct {
	// Lease is the length of the leases that the State asks for.
	Lease time.Duration
	// MaxLease is the longest lease that a target grants, however late an end is asked for.
	MaxLease time.Duration
	// PollWait is the longest wait of a poll at a target with work.
	PollWait time.Duration
	// StopTimeout bounds how long a target may take to carry out a stop.
	StopTimeout time.Duration
	// PauseThreshold is the gap between two ticks that counts as a pause of this process.
	PauseThreshold time.Duration
	// ResendDelay is how long after a broken connection callers send their job again.
	ResendDelay time.Duration
	// KeepaliveTimeout is for how long after its timestamp a keepalive counts.
	KeepaliveTimeout time.Duration
	// SendOnce sends each order once and does not shorten polls when answers get lost. It is the
	// baseline that the resending of orders is compared with.
	SendOnce bool
	// AwaitCordon blocks starts until CordonReported says whether the failure domain is cordoned,
	// and again after a pause of this process.
	AwaitCordon bool
	// ConfirmClaims delays the use of targets that appear later, or restart, until ClaimConfirmed
	// confirms the claim as of a later time.
	ConfirmClaims bool
	// RecordTargets starts tasks of durable jobs only at targets that the store has recorded, and
	// only while the claim is confirmed.
	RecordTargets bool
	// MaxJobBytes is about how much memory the jobs that have not ended may take together; further ones are
	// refused. 0 means no bound.
	MaxJobBytes int64
	// PlaceByEnd prefers targets on which a task is expected to end in time, by their usual speed.
	PlaceByEnd bool
	// CorrectAdmission corrects the forecasts by which jobs are accepted or refused.
	CorrectAdmission bool
	// ReturnTimes gives each refused caller its own time to come again.
	ReturnTimes bool
}

// Defaults of Options.
const (
	// DefaultLease must outlast a poll and its margin, and lapse before a caller sends a job again,
	// 1.3 s after a broken answer.
	DefaultLease = 800 * time.Millisecond
	// DefaultMaxLease is the platform's usual bound.
	DefaultMaxLease = time.Second
	// DefaultPollWait renews the lease twice within its length.
	DefaultPollWait = 300 * time.Millisecond
	// DefaultStopTimeout is the platform's bound.
	DefaultStopTimeout = 50 * time.Millisecond
	// DefaultPauseThreshold is five times the longest stretch without processor under a CPU quota
	// of 0.4 core per 100 ms, plus a margin.
	DefaultPauseThreshold = 400 * time.Millisecond
	// DefaultResendDelay is the platform's bound.
	DefaultResendDelay = 1300 * time.Millisecond
	// DefaultKeepaliveTimeout is that of heartbeats.
	DefaultKeepaliveTimeout = 320 * time.Millisecond
)

func (o Options) withDefaults() Options {
	setDefault(&o.Lease, DefaultLease)
	setDefault(&o.MaxLease, DefaultMaxLease)
	setDefault(&o.PollWait, DefaultPollWait)
	setDefault(&o.StopTimeout, DefaultStopTimeout)
	setDefault(&o.PauseThreshold, DefaultPauseThreshold)
	setDefault(&o.ResendDelay, DefaultResendDelay)
	setDefault(&o.KeepaliveTimeout, DefaultKeepaliveTimeout)
	return o
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}
