package daemon

import (
	"math/rand/v2"
	"time"

	"github.com/burdockward/burdockward/admission"
	"github.com/burdockward/burdockward/configuration"
	"github.com/burdockward/burdockward/dispatch"
	"github.com/burdockward/burdockward/peer"
	"github.com/burdockward/burdockward/peer/peerpb"
	"github.com/burdockward/burdockward/ring"
	"github.com/burdockward/burdockward/sendonce"
	"github.com/burdockward/burdockward/settings"
	"github.com/burdockward/burdockward/submission"
	"github.com/burdockward/burdockward/tableservice"
	"github.com/burdockward/burdockward/targetclient"
	"github.com/burdockward/burdockward/telemetry"
)

// newDaemon creates the duties and connects them.
func newDaemon(s *settings.Settings, tel *telemetry.Telemetry) (*Daemon, error) {
	client, err := tableservice.New(tableservice.Options{
		URL:         s.Platform.URL,
		ReadTimeout: s.Platform.Timeout,
		HTTP:        sendonce.Options{Header: tel.InjectHTTP},
	})
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings:  s,
		telemetry: tel,
		log:       tel.Log(),
		// The start time in nanoseconds is higher for later processes of a VM.
		incarnation: uint64(time.Now().UnixNano()),
		started:     time.Now(),
		platform:    client,
		targets:     targetclient.New(targetclient.Options{HTTP: sendonce.Options{Header: tel.InjectHTTP}}),
	}
	self := peer.Sender{ID: s.VMID, Incarnation: d.incarnation}
	d.peers = peer.New(peer.Options{Self: self, Scope: tel.Scope(), Header: tel.InjectHTTP})
	d.outcomes = ring.New[endedKey](outcomesSize)
	d.droppedOutcomes = tel.Scope().Counter("outcomes_dropped")
	d.viewChanged = make(chan struct{}, 1)
	d.claims = d.newClaims()
	d.claims.OnView(d.signalView)
	d.claims.OnDigest(d.onDigest)
	d.shared = d.newShared()
	d.dispatch = d.newDispatch()
	d.domains = d.newDomains()
	d.service = submission.NewService(submission.Options{
		Domain:          s.FailureDomain,
		VM:              s.VMID,
		CallersAddress:  s.Advertise.Callers.String(),
		AnswerBytes:     s.Limits.AnswerBytes,
		SubmissionBytes: s.Limits.SubmissionBytes,
		ClaimTimeout:    claimTimeout,
		DrainRetryAfter: drainRetryAfter,
		Claims:          submissionClaims{d},
		Dispatcher:      d.dispatch,
		Peers:           d.peers,
		Domains:         d.domains,
		Scope:           tel.Scope(),
	})
	d.configuration = configuration.New(configuration.Options{
		Self:   self,
		Store:  client,
		Sender: d.peers,
		Now:    d.now,
		Log:    d.log,
		Scope:  tel.Scope(),
	})
	d.configuration.OnChange(d.onConfiguration)
	d.vmList = d.newVMList()
	d.quota = d.newQuota()
	d.peers.Register(peerpb.Duty_DUTY_MEMBERSHIP, d.claims.MembershipHandler())
	d.peers.Register(peerpb.Duty_DUTY_CLAIM, d.claims.ClaimHandler())
	d.peers.Register(peerpb.Duty_DUTY_CAPACITY, capacityHandler{d})
	d.peers.Register(peerpb.Duty_DUTY_CONFIGURATION, d.configuration)
	d.peers.Register(peerpb.Duty_DUTY_VM_LIST, d.vmList)
	d.peers.RegisterWaiter(d.service)
	d.peers.RegisterBurner(d.service)
	d.frontend = d.newFrontend()
	return d, nil
}

func (d *Daemon) newDispatch() *dispatch.Duty {
	return dispatch.New(dispatch.Options{
		Holder:      targetclient.Holder(d.settings.VMID, d.incarnation),
		Submissions: d.settings.Limits.Submissions,
		Placer:      d.newPlacer(),
		Limits:      d.shared,
		Admission: admission.New(admission.Config{
			Domain:  d.settings.FailureDomain,
			Domains: d.settings.FailureDomains,
			Order:   admissionOrder(d.settings.Dispatch.Order),
		}),
		Targets:  d.targets,
		LogEvent: func(keyText string, e submission.Event) { d.service.AddEvent(keyText, e) },
		Scope:    d.telemetry.Scope(),
		Log:      d.log,
	})
}

func admissionOrder(o settings.Order) admission.Order {
	switch o {
	case settings.OrderFIFO:
		return admission.FIFO{}
	case settings.OrderDeadline:
		return admission.EarliestDeadline{}
	}
	return admission.DefaultOrder
}

func (d *Daemon) newPlacer() dispatch.Placer {
	rng := rand.New(rand.NewPCG(d.incarnation, 0))
	vms := 1 + len(d.settings.Peers.Seeds)
	switch d.settings.Dispatch.Policy {
	case settings.PolicyRandom:
		return dispatch.NewBaseline(dispatch.BaselineRandom, rng, vms)
	case settings.PolicyRoundRobin:
		return dispatch.NewBaseline(dispatch.BaselineRoundRobin, rng, vms)
	case settings.PolicyLeastOutstanding:
		return dispatch.NewBaseline(dispatch.BaselineLeastOutstanding, rng, vms)
	}
	return d.shared
}
