package membership

import "time"

// Config holds the settings of a State. Zero durations and counts stand for the
// defaults.
type Config struct {
	// Self is this process.
	Self Member
	// Seeds are peer addresses where other members may be found.
	Seeds []string
	// EpochBase is the smallest number of a new epoch. With Unix seconds, epochs stay
	// ordered through a restart of the whole failure domain.
	EpochBase uint64
	// Nonce returns random numbers.
	Nonce func() uint64

	// HeartbeatInterval is the time between two heartbeats of a pair of members.
	HeartbeatInterval time.Duration
	// ProbeInterval is the time between probes of a silent member, and between
	// repetitions of an unanswered message.
	ProbeInterval time.Duration
	// Probes is the number of unanswered probes after which a member is
	// suspected.
	Probes int
	// ViewLease is how long an answer of a member counts for LeaseEnd, from the time at
	// which the answered message was sent.
	ViewLease time.Duration
	// StartWait is how long a new process waits for others before it forms a view of
	// its own.
	StartWait time.Duration
	// ContactInterval is the time between attempts to reach an address that
	// belongs to no member.
	ContactInterval time.Duration
	// EpochLength is the time between two timed epochs.
	EpochLength time.Duration
	// RetainedEpochs is the number of timed epochs whose keys are answered.
	RetainedEpochs int
}

// Defaults of Config.
const (
	DefaultHeartbeatInterval = 2 * time.Second
	DefaultProbeInterval     = 300 * time.Millisecond
	DefaultProbes            = 3
	DefaultViewLease         = 6 * time.Second
	DefaultStartWait         = time.Second
	DefaultContactInterval   = 10 * time.Second
	DefaultEpochLength       = time.Minute
	DefaultRetainedEpochs    = 11
)

// maxEpochs bounds an epoch list whatever the number of view changes.
const maxEpochs = 256

func (c *Config) setDefaults() {
	setDuration(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDuration(&c.ProbeInterval, DefaultProbeInterval)
	setDuration(&c.ViewLease, DefaultViewLease)
	setDuration(&c.StartWait, DefaultStartWait)
	setDuration(&c.ContactInterval, DefaultContactInterval)
	setDuration(&c.EpochLength, DefaultEpochLength)
	if c.Probes == 0 {
		c.Probes = DefaultProbes
	}
	if c.RetainedEpochs == 0 {
		c.RetainedEpochs = DefaultRetainedEpochs
	}
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
