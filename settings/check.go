package settings

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/burdockward/burdockward/api"
	"github.com/burdockward/burdockward/key"
)

// Bounds of values. The text of each problem names its bound.
const (
	// minInterval keeps a mistaken unit from turning a timer into a busy loop.
	minInterval = 10 * time.Millisecond
	// minEpochLength keeps the time that a new epoch takes to reach all VMs well below its length.
	minEpochLength = time.Second
	// minRetainedEpochs keeps a key known that was made just before a new epoch.
	minRetainedEpochs = 2
	// leaseHeartbeats is the number of heartbeat intervals that a view lease has to outlast: an
	// acknowledgement arrives one heartbeat after the message that it acknowledges.
	leaseHeartbeats = 2
	// minHeaderBytes is the least bound on the bytes of headers and bodies.
	minHeaderBytes = 1 << 10
	// requestCopies is how many times its size a request takes while it is read and decoded, at most.
	requestCopies = 4
	// maxDomainSeeds is the most seed addresses of one other failure domain.
	maxDomainSeeds = 3
	// baseMemoryBytes is the memory of a daemon without answers and records, with the requests in
	// flight at the size that CONTRIBUTING.md names. recordMemoryBytes is the memory of one record
	// of a claimed key.
	baseMemoryBytes   = 32 << 20
	recordMemoryBytes = 55
)

// checker collects the problems of settings.
type checker struct{ problems []Problem }

// Check returns all faults of the values in the order of the fields.
func (s *Settings) Check() []Problem {
	c := &checker{}
	c.checkIdentity(s)
	c.checkAddresses(s)
	c.checkPlatform(&s.Platform)
	c.checkMembership(&s.Membership)
	c.checkReclaim(s)
	c.checkLimits(&s.Limits)
	c.checkMemory(s)
	checkOneOf(c, "dispatch.order", s.Dispatch.Order, OrderFair, OrderFIFO, OrderDeadline)
	checkOneOf(c, "dispatch.policy", s.Dispatch.Policy, PolicyShared, PolicyRandom, PolicyRoundRobin, PolicyLeastOutstanding)
	c.checkAtLeast("drain_timeout", s.DrainTimeout, minInterval)
	checkOneOf(c, "log.level", s.Log.Level, "debug", "info", "warn", "error")
	checkOneOf(c, "log.format", s.Log.Format, "json", "text")
	c.checkTrace(&s.Trace)
	return c.problems
}

// checkIdentity checks the names of the VM and the failure domains.
func (c *checker) checkIdentity(s *Settings) {
	c.checkName("vm_id", s.VMID)
	c.checkName("failure_domain", s.FailureDomain)
	if len(s.FailureDomains) == 0 {
		c.addProblem("failure_domains", "", "is missing", "list every failure domain of the deployment; quotas are divided among them")
		return
	}
	for i, domain := range s.FailureDomains {
		path := fmt.Sprintf("failure_domains[%d]", i)
		c.checkName(path, domain)
		if slices.Contains(s.FailureDomains[:i], domain) {
			c.addProblem(path, quote(domain), "is listed twice", "list each failure domain once")
		}
	}
	if s.FailureDomain != "" && !slices.Contains(s.FailureDomains, s.FailureDomain) {
		c.addProblem("failure_domain", quote(s.FailureDomain), "is not in failure_domains", "add it there, or correct its spelling")
	}
}

// checkName checks a name that occurs in submission keys or URLs.
func (c *checker) checkName(path, value string) {
	switch {
	case value == "":
		c.addProblem(path, "", "is missing", "give a name of letters, digits, '-' and '_'")
	case len(value) > key.MaxDomain:
		c.addProblem(path, quote(value), fmt.Sprintf("is longer than %d characters", key.MaxDomain), "give a shorter name")
	case strings.ContainsFunc(value, isForbiddenInName):
		c.addProblem(path, quote(value), "has characters that are not allowed in names", "use letters, digits, '-' and '_' only")
	}
}

// isForbiddenInName reports whether a name may not have a character.
func isForbiddenInName(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	digit := r >= '0' && r <= '9'
	return !letter && !digit && r != '-' && r != '_'
}

// checkAddresses checks the addresses of the VM and of its seeds.
func (c *checker) checkAddresses(s *Settings) {
	taken := map[netip.AddrPort]string{}
	for _, a := range []struct {
		name              string
		listen, advertise netip.AddrPort
	}{
		{"callers", s.Listen.Callers, s.Advertise.Callers},
		{"peers", s.Listen.Peers, s.Advertise.Peers},
		{"admin", s.Listen.Admin, s.Advertise.Admin},
	} {
		path := "listen." + a.name
		if !c.checkAddress(path, a.listen) {
			continue
		}
		if other, twice := taken[a.listen]; twice {
			c.addProblem(path, quote(a.listen), "is the same as "+other, "give each port an address of its own")
		}
		taken[a.listen] = path
		c.checkAdvertised("advertise."+a.name, a.advertise)
	}
	for i, seed := range s.Peers.Seeds {
		c.checkAddress(fmt.Sprintf("peers.seeds[%d]", i), seed)
	}
	for _, domain := range slices.Sorted(maps.Keys(s.Peers.DomainSeeds)) {
		c.checkDomainSeeds(s, domain, s.Peers.DomainSeeds[domain])
	}
}

// checkDomainSeeds checks the seed addresses of another failure domain.
func (c *checker) checkDomainSeeds(s *Settings, domain string, seeds []netip.AddrPort) {
	path := "peers.domain_seeds." + domain
	switch {
	case domain == s.FailureDomain:
		c.addProblem(path, "", "names the VM's own failure domain", "list its addresses in peers.seeds")
	case !slices.Contains(s.FailureDomains, domain):
		c.addProblem(path, "", "is not in failure_domains", "add it there, or correct its spelling")
	case len(seeds) > maxDomainSeeds:
		c.addProblem(path, "", fmt.Sprintf("has more than %d addresses", maxDomainSeeds), "remove some")
	}
	for i, seed := range seeds {
		c.checkAddress(fmt.Sprintf("%s[%d]", path, i), seed)
	}
}

// checkAddress checks an address and reports whether it is valid.
func (c *checker) checkAddress(path string, address netip.AddrPort) bool {
	switch {
	case !address.Addr().IsValid():
		c.addProblem(path, "", "is missing", `write IP:port, such as "192.0.2.7:7100"`)
	case address.Port() == 0:
		c.addProblem(path, quote(address), "has no fixed port", "give a port from 1 to 65535, so that others can find it")
	default:
		return true
	}
	return false
}

// checkAdvertised checks an address that others connect to.
func (c *checker) checkAdvertised(path string, address netip.AddrPort) {
	if !c.checkAddress(path, address) {
		return
	}
	if address.Addr().IsUnspecified() {
		c.addProblem(path, quote(address), "is an address that others can't reach", "set "+path+" to the VM's own IP:port")
	}
}

// checkPlatform checks how the platform is reached.
func (c *checker) checkPlatform(p *Platform) {
	c.checkURL(platformURL, p.URL)
	c.checkAtLeast("platform.poll_interval", p.PollInterval, minInterval)
	c.checkAtLeast("platform.timeout", p.Timeout, minInterval)
}

// checkURL checks an HTTP base URL, whose host has to be an IP address.
func (c *checker) checkURL(path, value string) {
	const remedy = `write a URL with an IP address, such as "http://192.0.2.9:7000"`
	if value == "" {
		c.addProblem(path, "", "is missing", remedy)
		return
	}
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		c.addProblem(path, quote(value), "is not an HTTP URL", remedy)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		c.addProblem(path, quote(value), "has a host that is not an IP address", remedy)
	}
	if u.Scheme == "https" && path == platformURL {
		c.addProblem(path, quote(value), "asks for TLS, which the platform's client does not speak", remedy)
	}
}

// platformURL is the path of the platform's URL in the settings.
const platformURL = "platform.url"

// checkMembership checks the times and sizes of the view, the epochs and their records.
func (c *checker) checkMembership(m *Membership) {
	c.checkAtLeast("membership.heartbeat_interval", m.HeartbeatInterval, minInterval)
	c.checkAtLeast("membership.probe_timeout", m.ProbeTimeout, minInterval)
	checkRange(c, "membership.probe_attempts", m.ProbeAttempts, 1, 20)
	if bound := leaseHeartbeats * m.HeartbeatInterval; m.ViewLease <= bound {
		c.addProblem("membership.view_lease", quote(m.ViewLease),
			fmt.Sprintf("does not outlast %d heartbeat intervals", leaseHeartbeats),
			fmt.Sprintf("set it to more than %q, or shorten membership.heartbeat_interval", bound))
	}
	c.checkAtLeast("membership.epoch_length", m.EpochLength, minEpochLength)
	checkRange(c, "membership.retained_epochs", m.RetainedEpochs, minRetainedEpochs, 1000)
	checkRange(c, "membership.record_limit", m.RecordLimit, 1000, 10_000_000)
}

// checkReclaim checks that a lost VM's lease has lapsed before its units are used again.
func (c *checker) checkReclaim(s *Settings) {
	if s.Leases.ReclaimAfter < s.Membership.ViewLease {
		c.addProblem("leases.reclaim_after", quote(s.Leases.ReclaimAfter),
			"is less than membership.view_lease, so that two VMs could use the same unit",
			fmt.Sprintf("set it to at least %q", s.Membership.ViewLease))
	}
}

// checkLimits checks the bounds of requests, answers and submissions.
func (c *checker) checkLimits(l *Limits) {
	checkRange(c, "limits.max_body_bytes", l.MaxBodyBytes, minHeaderBytes, api.MaxBodyBytes)
	checkRange(c, "limits.max_header_bytes", l.MaxHeaderBytes, minHeaderBytes, 1<<20)
	checkRange(c, "limits.max_in_flight", l.MaxInFlight, 1, 1_000_000)
	c.checkAtLeast("limits.read_timeout", l.ReadTimeout, minInterval)
	checkRange(c, "limits.answer_bytes", l.AnswerBytes, 0, 1<<30)
	checkRange(c, "limits.submission_bytes", l.SubmissionBytes, min(l.MaxBodyBytes, api.MaxBodyBytes), 1<<30)
	checkRange(c, "limits.connections", l.Connections, 1, 1_000_000)
	if least := requestCopies * min(l.MaxBodyBytes, api.MaxBodyBytes); l.RequestBytes < least {
		c.addProblem("limits.request_bytes", fmt.Sprint(l.RequestBytes), "is less than the largest request takes while it is decoded",
			fmt.Sprintf("give at least %d, or lower limits.max_body_bytes", least))
	}
	checkRange(c, "limits.submissions", l.Submissions, 1, 1_000_000)
}

// checkMemory checks that the answers and records that the daemon may hold fit below the memory
// limit. Otherwise the garbage collector would run all the time.
func (c *checker) checkMemory(s *Settings) {
	records := int64(s.Membership.RecordLimit)
	least := baseMemoryBytes + s.Limits.AnswerBytes + (records+records/4)*recordMemoryBytes
	if s.Limits.MemoryBytes != 0 && s.Limits.MemoryBytes < least {
		c.addProblem("limits.memory_bytes", fmt.Sprint(s.Limits.MemoryBytes),
			"is less than the daemon, limits.answer_bytes and membership.record_limit may take",
			fmt.Sprintf("give at least %d, or 0 for no limit, or lower the other two", least))
	}
}

// checkTrace checks the export of spans.
func (c *checker) checkTrace(t *Trace) {
	checkOneOf(c, "trace.exporter", t.Exporter, ExporterNone, ExporterStdout, ExporterOTLP)
	if t.Exporter == ExporterOTLP {
		c.checkURL("trace.endpoint", t.Endpoint)
	}
	// The condition is negated so that NaN fails as well.
	if !(t.Ratio >= 0 && t.Ratio <= 1) {
		c.addProblem("trace.ratio", fmt.Sprint(t.Ratio), "is not a share", "give a number from 0 to 1")
	}
}

// checkAtLeast adds a problem if a duration is below its least value.
func (c *checker) checkAtLeast(path string, value, least time.Duration) {
	if value < least {
		c.addProblem(path, quote(value), fmt.Sprintf("is less than %q", least), fmt.Sprintf("give at least %q", least))
	}
}

func (c *checker) addProblem(path, value, fault, remedy string) {
	c.problems = append(c.problems, Problem{Path: path, Value: value, Fault: fault, Remedy: remedy})
}

// checkRange adds a problem if a value is not from least to most.
func checkRange[T cmp.Ordered](c *checker, path string, value, least, most T) {
	if value < least || value > most {
		c.addProblem(path, fmt.Sprint(value), "is out of range", fmt.Sprintf("give a number from %v to %v", least, most))
	}
}

// checkOneOf adds a problem if a value is not among the allowed ones.
func checkOneOf[T ~string](c *checker, path string, value T, allowed ...T) {
	if slices.Contains(allowed, value) {
		return
	}
	names := make([]string, len(allowed))
	for i, a := range allowed {
		names[i] = quote(a)
	}
	c.addProblem(path, quote(value), "is not a known value", "use one of "+strings.Join(names, ", "))
}

// quote writes a value as a string of the file.
func quote(value any) string { return fmt.Sprintf("%q", fmt.Sprint(value)) }
