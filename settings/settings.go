// Package settings reads and checks the settings file of the daemon, which is JSON with comments
// and trailing commas. Its input is the text of a file; its output is the settings with defaults
// for the missing keys, or all faults of the file, each with its line, path, value and remedy.
// A file with a fault yields no settings.
//
// examples/reference.jsonc lists every key with its default.
package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/jsonc"
)

// ErrFile tags the errors of a settings file that can't be read or has faults.
const ErrFile = errs.Tag("settings")

// Settings is the configuration of one process. It does not change while the process runs.
// Profiles and quotas come from the platform instead.
type Settings struct {
	// VMID names the entry VM; it stays the same over restarts. Required.
	VMID string `json:"vm_id"`
	// FailureDomain is the failure domain of the VM. Required.
	FailureDomain string `json:"failure_domain"`
	// FailureDomains lists every failure domain of the deployment, over which
	// quotas are split. Required; all VMs must have the same list.
	FailureDomains []string `json:"failure_domains"`
	// Listen holds the addresses to listen on. Required.
	Listen Addresses `json:"listen"`
	// Advertise holds the addresses that others connect to. Each one defaults to that of Listen.
	Advertise Addresses `json:"advertise"`
	// Platform is how to reach the platform.
	Platform Platform `json:"platform"`
	// Peers is how to find other entry VMs.
	Peers Peers `json:"peers"`
	// Membership configures the view of the failure domain and its epochs.
	Membership Membership `json:"membership"`
	// Leases configures when the capacity of lost VMs is used again.
	Leases Leases `json:"leases"`
	// Limits bounds the requests, answers and memory of the daemon.
	Limits Limits `json:"limits"`
	// Dispatch selects the order of submissions and the choice of targets.
	Dispatch Dispatch `json:"dispatch"`
	// DrainTimeout bounds a planned stop. Submissions that still run after it are answered as
	// failed. Default 30s.
	DrainTimeout time.Duration `json:"drain_timeout"`
	// Log configures the log on standard error.
	Log Log `json:"log"`
	// Trace configures the export of spans.
	Trace Trace `json:"trace"`
}

// Addresses has the IP addresses and ports of one VM. Host names are refused.
type Addresses struct {
	// Callers is the address for submissions.
	Callers netip.AddrPort `json:"callers"`
	// Peers is the address for other entry VMs.
	Peers netip.AddrPort `json:"peers"`
	// Admin is the address for operators: state, explanations and metrics.
	Admin netip.AddrPort `json:"admin"`
}

// Platform is how to reach the platform's table service and VM list.
type Platform struct {
	// URL is the base URL. Its host is an IP address. Required.
	URL string `json:"url"`
	// PollInterval is the time between two polls for changes. Default 1s.
	PollInterval time.Duration `json:"poll_interval"`
	// Timeout bounds one call. Default 2s.
	Timeout time.Duration `json:"timeout"`
}

// Peers is how to find other entry VMs.
type Peers struct {
	// Seeds are peer addresses of this failure domain to contact first. The platform's VM list
	// adds others. Default none.
	Seeds []netip.AddrPort `json:"seeds"`
	// DomainSeeds are peer addresses of other failure domains, by failure domain, at most three
	// each. They are used while the platform's VM lists can't be read. Default none.
	DomainSeeds map[string][]netip.AddrPort `json:"domain_seeds"`
}

// Membership configures the view of the failure domain and its epochs.
type Membership struct {
	// HeartbeatInterval is the time between two heartbeats of a pair of VMs.
	// Default 2s.
	HeartbeatInterval time.Duration `json:"heartbeat_interval"`
	// ProbeTimeout is how long one probe of a silent VM waits for its answer.
	// Default 300ms.
	ProbeTimeout time.Duration `json:"probe_timeout"`
	// ProbeAttempts is the number of unanswered probes after which a view without the probed VM
	// is proposed. Default 3.
	ProbeAttempts int `json:"probe_attempts"`
	// ViewLease is how long the VM may use units of limits and quotas after every other member has
	// acknowledged it, counted from the time of its request. It must be more than two heartbeat
	// intervals. Default 5s.
	ViewLease time.Duration `json:"view_lease"`
	// EpochLength is the time between two epochs. Default 30s.
	EpochLength time.Duration `json:"epoch_length"`
	// RetainedEpochs is the number of epochs whose submission keys are remembered. Default 10.
	RetainedEpochs int `json:"retained_epochs"`
	// RecordLimit is the number of records of claimed keys above which the oldest epoch is retired
	// early. Above 1.25 times that number, new keys are refused as unavailable. Default 300000.
	RecordLimit int `json:"record_limit"`
}

// Leases configures when the capacity of lost VMs is used again.
type Leases struct {
	// ReclaimAfter is the least time after the loss of a VM before its units of limits and quotas
	// are given to other VMs, where targets do not report their runs. The daemon waits for the sum
	// of these where that is longer: view lease, longest delay of a start (2s), longest lease of a
	// target, longest run that a limited profile allows, and 1s. Default 5s.
	ReclaimAfter time.Duration `json:"reclaim_after"`
}

// Limits bounds the requests, answers and memory of the daemon.
type Limits struct {
	// MaxBodyBytes is the largest request body, in bytes. Default 4 MiB, which is also the
	// maximum.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// MaxHeaderBytes is the largest request header, in bytes. Default 16 KiB.
	MaxHeaderBytes int `json:"max_header_bytes"`
	// MaxInFlight is the most requests of callers that are served at once. Default 4000.
	MaxInFlight int `json:"max_in_flight"`
	// ReadTimeout bounds the reading of one request. Default 5s.
	ReadTimeout time.Duration `json:"read_timeout"`
	// AnswerBytes is the total size of the answers that are stored for repeated requests, in
	// bytes. Default 16 MiB.
	AnswerBytes int64 `json:"answer_bytes"`
	// MemoryBytes is the soft limit of the memory that the Go runtime manages, in bytes. The pages
	// of the program's file are not part of it. Near the limit the garbage collector runs more
	// often. 0 means no limit. Default 96 MiB.
	MemoryBytes int64 `json:"memory_bytes"`
	// RequestBytes is what the requests of callers may hold together while they are read, decoded and answered, in
	// bytes, beside a little for each connection. Further large requests are refused. The requests of peers have
	// as much. At least four times MaxBodyBytes. Default 16 MiB.
	RequestBytes int64 `json:"request_bytes"`
	// SubmissionBytes is the total size of the submissions without outcome, whether their callers wait or not, in
	// bytes. Further ones are refused. At least MaxBodyBytes. Default 32 MiB.
	SubmissionBytes int64 `json:"submission_bytes"`
	// Connections is the most open connections of callers. One more takes the place of the connection that has
	// waited longest for its caller. It is lowered to what the process's limit of open files allows. Default 4000.
	Connections int `json:"connections"`
	// Submissions is the most waiting and running submissions of the VM. Default 20000.
	Submissions int `json:"submissions"`
}

// Dispatch selects the order of submissions and the choice of targets.
type Dispatch struct {
	// Order is the order of submissions within a profile. Default OrderFair.
	Order Order `json:"order"`
	// Policy is the choice of targets. Default PolicyShared.
	Policy Policy `json:"policy"`
}

// Order is the order of the waiting submissions of one profile. The order between profiles follows
// from their guarantees and urgency.
type Order string

// The orders of waiting submissions.
const (
	// OrderFair takes submissions in the order of arrival, but lets small ones overtake larger ones
	// by a bounded share of the profile's work; see docs/ADMISSION.md.
	OrderFair Order = "fair"
	// OrderFIFO takes submissions in the order of arrival. It is a baseline for measurements.
	OrderFIFO Order = "fifo"
	// OrderDeadline takes the earliest deadline first. It is a baseline for measurements.
	OrderDeadline Order = "deadline"
)

// Policy is the choice of targets.
type Policy string

// The policies.
const (
	// PolicyShared moves slots of targets between VMs according to demand.
	PolicyShared Policy = "shared"
	// PolicyRandom picks a target at random. It is a baseline for measurements.
	PolicyRandom Policy = "random"
	// PolicyRoundRobin takes targets in turn. It is a baseline for measurements.
	PolicyRoundRobin Policy = "round_robin"
	// PolicyLeastOutstanding picks the target with the fewest requests of this VM in flight. It is
	// a baseline for measurements.
	PolicyLeastOutstanding Policy = "least_outstanding"
)

// Log configures the log on standard error.
type Log struct {
	// Level is debug, info, warn or error. Default info.
	Level string `json:"level"`
	// Format is json or text. Default json.
	Format string `json:"format"`
}

// Exporter says where spans are sent.
type Exporter string

// The exporters.
const (
	// ExporterNone records no spans.
	ExporterNone Exporter = "none"
	// ExporterStdout writes spans as JSON on standard output.
	ExporterStdout Exporter = "stdout"
	// ExporterOTLP sends spans by OTLP over HTTP.
	ExporterOTLP Exporter = "otlp"
)

// Trace configures the export of spans.
type Trace struct {
	// Exporter says where spans are sent. Default ExporterNone.
	Exporter Exporter `json:"exporter"`
	// Endpoint is the base URL of the OTLP collector. Its host is an IP address. Required with
	// ExporterOTLP.
	Endpoint string `json:"endpoint"`
	// Ratio is the share of traces that are recorded, from 0 to 1, where the caller has not decided
	// that. Default 0.01.
	Ratio float64 `json:"ratio"`
}

// Default returns the default settings, with the required values empty.
func Default() *Settings {
	return &Settings{
		Platform: Platform{PollInterval: time.Second, Timeout: 2 * time.Second},
		Membership: Membership{
			HeartbeatInterval: 2 * time.Second,
			ProbeTimeout:      300 * time.Millisecond,
			ProbeAttempts:     3,
			ViewLease:         5 * time.Second,
			EpochLength:       30 * time.Second,
			RetainedEpochs:    10,
			RecordLimit:       300_000,
		},
		Leases: Leases{ReclaimAfter: 5 * time.Second},
		Limits: Limits{
			MaxBodyBytes:    api.MaxBodyBytes,
			MaxHeaderBytes:  16 << 10,
			MaxInFlight:     4000,
			ReadTimeout:     5 * time.Second,
			AnswerBytes:     16 << 20,
			RequestBytes:    16 << 20,
			SubmissionBytes: 32 << 20,
			Connections:     4000,
			MemoryBytes:     96 << 20,
			Submissions:     20_000,
		},
		Dispatch:     Dispatch{Order: OrderFair, Policy: PolicyShared},
		DrainTimeout: 30 * time.Second,
		Log:          Log{Level: "info", Format: "json"},
		Trace:        Trace{Exporter: ExporterNone, Ratio: 0.01},
	}
}

// Load reads a settings file, adds the defaults and checks the result. If the file can be read but
// has faults, the error wraps an *Error with all of them.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrFile.Errorf("%w: give the path of a readable settings file", err)
	}
	s, problems := Parse(text)
	if len(problems) > 0 {
		return nil, ErrFile.Wrap(&Error{Path: path, Problems: problems})
	}
	return s, nil
}

// Parse decodes the text of a settings file, adds the defaults and checks the result.
func Parse(text []byte) (*Settings, []Problem) {
	s := Default()
	decoded := jsonc.Decode(text, s)
	s.defaultAdvertise()
	return s, merge(decoded.Problems, s.Check(), decoded.Lines)
}

// defaultAdvertise sets each missing advertised address to the address to listen on.
func (s *Settings) defaultAdvertise() {
	for _, pair := range []struct{ advertise, listen *netip.AddrPort }{
		{&s.Advertise.Callers, &s.Listen.Callers},
		{&s.Advertise.Peers, &s.Listen.Peers},
		{&s.Advertise.Admin, &s.Listen.Admin},
	} {
		if !pair.advertise.IsValid() {
			*pair.advertise = *pair.listen
		}
	}
}
